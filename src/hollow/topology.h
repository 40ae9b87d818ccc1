// Where hollow nodes stand: regions, zones, racks, and the replica group of each.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ladderstream::hollow {

struct TopologyOptions {
  int nodes = 50;
  int regions = 6;
  int zones = 23;
  int rack_size = 8;
  /// A group takes nodes of one region, spread over its zones.
  int group_size = 8;
};

struct Place {
  int region = 0;
  int zone = 0;
  int rack = 0;
  uint32_t group = 0;
};

struct Topology {
  /// By node.
  std::vector<Place> places;
  /// By group: its nodes.
  std::vector<std::vector<size_t>> groups;
};

/// Spreads the nodes evenly over the zones, and cuts each region's nodes into groups of about
/// `group_size`.
Topology LayOut(const TopologyOptions& options);

std::string RegionName(int region);
std::string ZoneName(int zone);

}  // namespace ladderstream::hollow
