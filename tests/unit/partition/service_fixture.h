// A service whose moves are carried out at once, and whose load a test dictates.
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/partition/partitioner.h"

namespace ladderstream::partition {

using ownership::Assignments;
using ownership::Key;
using ownership::KeyRange;

/// Load on the keys of a range, in requests per second.
struct Flow {
  KeyRange range;
  double rate = 0;
};

class ServiceFixture {
 public:
  static constexpr Duration kInterval = absl::Milliseconds(300);
  static constexpr Duration kWork = absl::Milliseconds(60);

  explicit ServiceFixture(uint32_t count, const PartitionWeights& weights = {});

  /// Reports an interval's requests, drawn at random from `flows`, and service times.
  void Report(const std::vector<Flow>& flows);
  /// Proposes, checks that the moves are sound, and carries them out.
  std::vector<ProposedMove> Step();
  /// Reports and proposes for a while; gives all moves.
  std::vector<ProposedMove> Run(const std::vector<Flow>& flows, Duration length);

  std::string OwnerOf(Key key) const;
  /// Requests per second that each owner would get.
  std::map<std::string, double> Loads(const std::vector<Flow>& flows) const;
  void Assign(const KeyRange& range, const std::string& owner);

  Partitioner partitioner;
  std::vector<PartitionBackend> backends;
  /// Mean work of a back end over that of a typical one.
  std::map<std::string, double> slowness;
  bool tells_service_times = true;
  Assignments assignments = {{{0, ownership::kLastKey}, "", 0}};
  std::vector<KeyRange> busy;
  Time now = absl::UnixEpoch();

 private:
  std::mt19937_64 random_{7};
};

/// All keys evenly, at this many requests per second in all.
std::vector<Flow> Even(double rate);

double KeysOf(const std::vector<ProposedMove>& moves);
std::set<std::string> TargetsOf(const std::vector<ProposedMove>& moves);

}  // namespace ladderstream::partition
