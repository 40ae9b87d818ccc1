// A simulated service whose back ends own ranges of keys, for comparing policies of partition.
//
// Requests arrive at random; a few seconds long, a slice of neighbouring keys takes a large share
// of them, then another. Back ends are queues with slots at speeds of their own. Deterministic for
// a seed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/partition/partitioner.h"

namespace ladderstream::bench {

/// How the popularity of keys lies over the key space.
enum class KeyShape {
  /// The most popular key first.
  kRanked,
  /// Four places around which popularity falls off.
  kPeaks,
  /// Neighbourhoods of 64 keys of like popularity, in random order.
  kNeighbourhoods,
};

/// What else happens.
enum class Incident { kNone, kCrash, kScaleOut, kSlow, kBurst };

struct PartitionScenario {
  std::string name;
  KeyShape shape = KeyShape::kRanked;
  Incident incident = Incident::kNone;
  uint32_t backends = 14;
  uint32_t slots = 2;
  uint32_t queue = 8;
  /// Of a request on a back end of speed 1.
  Duration mean_work = absl::Milliseconds(60);
  Duration late_after = absl::Milliseconds(200);
  /// Requests per second.
  double rate = 190;
  /// Keys in each hot slice, in turn; empty for none.
  std::vector<uint32_t> slices = {200, 60};
  Duration length = absl::Seconds(40);
};

/// What a policy is asked for. The product's own is behind the same interface as the plain ones.
class PartitionPolicy {
 public:
  virtual ~PartitionPolicy() = default;

  virtual void AddLoad(const std::vector<partition::KeyCount>& counts,
                       const std::vector<partition::ServiceTimeSample>& samples, Time now) = 0;
  virtual std::vector<partition::ProposedMove> Propose(
      const ownership::Assignments& assignments, const std::vector<ownership::KeyRange>& busy,
      const std::vector<partition::PartitionBackend>& backends, Time now) = 0;
};
using PartitionPolicyPtr = std::unique_ptr<PartitionPolicy>;

struct PartitionResult {
  uint64_t requests = 0;
  /// Answered in time; answered at all.
  uint64_t in_time = 0;
  uint64_t answered = 0;
  uint64_t moves = 0;
  /// The sum over all moves of their shares of all keys.
  double keys_moved = 0;
  /// The most ranges at any time.
  size_t most_ranges = 0;
  /// Processor time of one proposal, in microseconds; not deterministic.
  double mean_propose_us = 0;
  double max_propose_us = 0;
};

PartitionResult RunPartitionModel(const PartitionScenario& scenario, PartitionPolicy& policy,
                                  uint64_t seed);

}  // namespace ladderstream::bench
