#include "hollow/topology.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace ladderstream::hollow {

Topology LayOut(const TopologyOptions& options) {
  Topology topology;
  std::vector<int> in_zone(options.zones, 0);
  std::vector<std::vector<size_t>> by_region(options.regions);
  int racks = 0;
  std::vector<int> open_rack(options.zones, 0);
  for (int node = 0; node < options.nodes; ++node) {
    Place place;
    place.zone = node % options.zones;
    place.region = place.zone % options.regions;
    if (in_zone[place.zone]++ % options.rack_size == 0) {
      open_rack[place.zone] = racks++;
    }
    place.rack = open_rack[place.zone];
    topology.places.push_back(place);
    by_region[place.region].push_back(static_cast<size_t>(node));
  }
  for (const std::vector<size_t>& nodes : by_region) {
    const double wanted = static_cast<double>(nodes.size()) / options.group_size;
    const auto count = std::max<size_t>(1, static_cast<size_t>(std::lround(wanted)));
    const size_t first = topology.groups.size();
    topology.groups.resize(first + count);
    // Nodes come zone after zone, so that consecutive ones lie in different zones.
    for (size_t i = 0; i < nodes.size(); ++i) {
      const size_t group = first + i * count / nodes.size();
      topology.groups[group].push_back(nodes[i]);
      topology.places[nodes[i]].group = static_cast<uint32_t>(group);
    }
  }
  return topology;
}

std::string RegionName(int region) { return absl::StrCat("region-", region); }

std::string ZoneName(int zone) { return absl::StrCat("zone-", zone); }

}  // namespace ladderstream::hollow
