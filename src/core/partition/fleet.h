// The back ends of a service with the keys and the load that each has, as moves are planned.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/partition/load_view.h"
#include "core/partition/partitioner.h"
#include "core/partition/service_times.h"

namespace ladderstream::partition {

/// A back end with what is expected of it.
struct Member {
  std::string id;
  bool accepts = false;
  bool keeps = false;
  /// Load that it bears well, in requests per second.
  double comfortable = 1;
  /// Requests per second that it takes at most, as it says.
  std::optional<double> rate_limit;
  /// Requests per second, and the variance of this as an estimate.
  double load = 0;
  double variance = 0;

  /// Load over what it bears well.
  double Pressure() const { return load / comfortable; }
};

/// Keys with one owner and one state.
struct Holding {
  KeyRange range;
  /// The owner of the map in force, or the back end that they are on their way to. Empty: a back
  /// end that is not known, or may not keep its keys.
  std::optional<size_t> member;
  /// The owner's id in the map in force, which outlives this.
  std::string_view owner;
  /// On the move, or moved so recently that they stay where they are.
  bool frozen = false;
};

/// A move proposed earlier.
struct RecentMove {
  KeyRange range;
  std::string to;
  Time at;
};

struct FleetInput {
  const ownership::Assignments& assignments;
  const std::vector<KeyRange>& busy;
  const std::vector<PartitionBackend>& backends;
  const std::vector<RecentMove>& recent_moves;
};

class Fleet {
 public:
  Fleet(const FleetInput& input, const ServiceTimes& service_times, const LoadView& load, Time now);

  const std::vector<Member>& members() const { return members_; }
  /// Sorted by key; neighbours differ in something.
  const std::vector<Holding>& holdings() const { return holdings_; }
  const LoadView& load() const { return load_; }

  /// How many back ends may be given keys.
  size_t Accepting() const;
  /// How many ranges the map has when all moves are done.
  size_t Fragments() const;
  /// The owner of the key, when it is a member.
  std::optional<size_t> OwnerOf(Key key) const;

  /// Plans a move, and freezes its keys.
  void Move(const KeyRange& range, size_t to);

 private:
  void BuildMembers(const std::vector<PartitionBackend>& backends,
                    const ServiceTimes& service_times);
  /// Without any service time known: takes back ends to be used evenly by `total` requests a
  /// second.
  void ScaleToLoad(double total);
  /// Lowers what back ends with limits bear, as far as the others have room for `total`.
  void CapByLimits(double total);
  void BuildHoldings(const FleetInput& input, Time now);
  Holding HoldingAt(const FleetInput& input, const ownership::Assignment& assignment, Key key,
                    Time now) const;
  std::optional<size_t> Find(const std::string& id) const;
  void Append(const Holding& holding);

  const LoadView& load_;
  std::vector<Member> members_;
  std::vector<Holding> holdings_;
};

}  // namespace ladderstream::partition
