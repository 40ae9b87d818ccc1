// Range partition: which back end should own which keys of a sharded service, weighted by load.
//
// Pure: no I/O, no thread, no clock. One Partitioner serves one service on the coordinator; a new
// coordinator starts with a fresh one and learns loads again.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "wire/time.h"

namespace ladderstream::partition {

/// A back end as partitioning sees it.
struct PartitionBackend {
  std::string id;
  std::string zone;
  uint32_t slots = 1;
  /// May be given keys: registered, not draining, reachable.
  bool accepts = true;
  /// May keep the keys it has. False for one that drains or is gone; its keys go elsewhere at
  /// once.
  bool keeps = true;
  /// Still slow from its start for this long.
  Duration cold_left = absl::ZeroDuration();
  /// Requests a second that it takes from all nodes together; empty when it named no limit.
  std::optional<double> rate_limit = std::nullopt;
};

/// Requests that nodes were asked for in the last interval, answered or not.
struct KeyCount {
  ownership::Key key = 0;
  double count = 0;
};

/// What one node saw of one back end in the last interval.
struct ServiceTimeSample {
  std::string backend;
  uint32_t answers = 0;
  /// How long these answers took together.
  Duration total = absl::ZeroDuration();
  /// False: the back end told that none of these answers had waited in its queue. True: it tells no
  /// load, so `total` contains any waiting, and `answers` counts all that it served this node.
  bool includes_wait = false;
  /// The chance that this sample was reported at all; reports of many back ends tell of a part.
  double reported_share = 1;
};

/// A proposal to give keys to another back end. `range` may be a part of an assignment or span
/// several of one owner.
struct ProposedMove {
  ownership::KeyRange range;
  std::string to;
};

struct PartitionWeights {
  /// Keys moved are priced by their share of all keys; the higher, the more a move must bring.
  double churn_weight = 1.0;
  /// At most this many moves are proposed at once.
  uint32_t max_moves = 16;
};

class Partitioner {
 public:
  explicit Partitioner(const PartitionWeights& weights);
  ~Partitioner();

  /// Adds what the nodes counted up to `now`.
  void AddLoad(const std::vector<KeyCount>& counts, Time now);
  void AddServiceTimes(const std::vector<ServiceTimeSample>& samples, Time now);

  /// The first partition of a service: whole key space, split by capacity. Empty owners when no
  /// back end accepts.
  std::vector<ProposedMove> Initial(const std::vector<PartitionBackend>& backends) const;

  /// What should move now. Keys of owners that may not keep them, or that nobody owns, come first
  /// and always all; balance comes after, with hysteresis. `busy`: ranges already on the move,
  /// which are left alone.
  std::vector<ProposedMove> Propose(const ownership::Assignments& assignments,
                                    const std::vector<ownership::KeyRange>& busy,
                                    const std::vector<PartitionBackend>& backends, Time now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::partition
