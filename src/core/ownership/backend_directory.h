// What the coordinator knows of each back end: where it is, whether it is registered, draining,
// silent, cold or proven to have ended.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/backend_set.h"
#include "core/catalog/catalog.h"
#include "core/ownership/coordinator.h"
#include "core/partition/partitioner.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::ownership {

struct KnownBackend {
  std::string service;
  Endpoint address;
  std::string zone;
  uint32_t slots = 1;
  bool registered = false;
  /// It drains, or its zone is evacuated.
  bool leaving = false;
  /// Proven; never taken back.
  bool ended = false;
  /// Slow from its start until then, and whether it takes only a bounded rate of requests then.
  Time cold_until = absl::InfinitePast();
  bool bounded_by_cold = false;

  /// Rests that nodes keep for it, and requests that it served, both fading since `counted_at`.
  double declined = 0;
  double served = 0;
  Time counted_at = absl::InfinitePast();
  /// It turns requests away though it has room, and gets no keys before.
  Time avoided_until = absl::InfinitePast();
  Duration avoidance = absl::ZeroDuration();

  /// Requests a second that it takes from all nodes together, as it last said, and as partitioning
  /// takes it.
  std::optional<double> reported_limit;
  std::optional<double> rate_limit;

  /// Grants in a row that were not confirmed.
  uint32_t failures = 0;
  /// Every one of them was a refused connection.
  bool only_refused = true;
  Time failing_since = absl::InfiniteFuture();
  bool unresponsive = false;
  /// A silent back end may be tried with keys again from then on.
  Time excluded_until = absl::InfinitePast();
  Duration exclusion = absl::ZeroDuration();
};

/// What an update of the registered back ends showed.
struct RegistrationChanges {
  /// Somebody of a sharded service came, left, or began to drain.
  bool any = false;
  /// Proven to have ended: another back end registered newly at the address of a known one, or an
  /// incarnation of the same one at another address. One that started again at its old address is
  /// not among them: renewals that were meant for the earlier incarnation may have reached it, so
  /// its keys are released, which it answers at once, before they are granted anew.
  std::vector<std::string> ended;
};

class BackendDirectory {
 public:
  explicit BackendDirectory(const CoordinatorSettings& settings);

  /// What changed in the registered back ends; those of other services than the `sharded` ones only
  /// show that whoever had their addresses before has ended.
  RegistrationChanges Update(const catalog::BackendChanges& changes,
                             const std::set<std::string>& sharded);
  /// An owner that a row of the store names, and its address.
  void AddOwner(const std::string& id, const std::string& service, const Endpoint& address);
  /// Very many are known that are not registered.
  bool NeedsPruning() const { return backends_.size() - registered_count_ > kMaxUnregistered; }
  /// Forgets those that are neither registered nor in `needed`.
  void PruneUnregistered(const std::set<std::string>& needed);

  void MarkEnded(const std::string& id);
  /// It answered an order. Gives whether it was silent until now.
  bool RecordAnswer(const std::string& id);
  /// A grant was not confirmed; `refused`: nothing listened at its address.
  void RecordFailure(const std::string& id, bool refused, Time sent, Time now);
  /// A node leaves it alone for `rest`, since it turned a request away with free slots. Gives
  /// whether its keys are to go elsewhere from now on.
  bool RecordDeclined(const std::string& id, Duration backoff, Time now);
  /// The limits that back ends have named, in requests a second; all others have none. Taken up
  /// once the service's limits have settled.
  void SetRateLimits(const std::map<std::string, double>& limits, Time now);
  /// It served so many requests.
  void RecordServed(const std::string& id, uint32_t answers, Time now);
  /// It left a release unanswered: if it is silent, it stays so for a while longer.
  void RecordUnansweredRelease(const std::string& id, Time now);
  /// Gives those that turned silent since the last call.
  std::vector<std::string> TakeNewlyUnresponsive(Time now);
  /// When TakeNewlyUnresponsive() may give something next.
  Time NextUnresponsiveCheck() const;

  /// Null when nothing is known of it.
  const KnownBackend* Find(const std::string& id) const;
  bool IsRegistered(const std::string& id) const;
  bool HasEnded(const std::string& id) const;
  /// Whether it may be given keys.
  bool Accepts(const std::string& id) const;
  /// Whether it may keep the keys that it has.
  bool Keeps(const std::string& id) const;
  bool AnyAccepts(const std::string& service) const;

  /// The registered back ends of `service`, and its other `owners`.
  std::vector<partition::PartitionBackend> ForPartitioner(const std::string& service,
                                                          const std::set<std::string>& owners,
                                                          Time now) const;

 private:
  /// Back ends that have gone are forgotten only above this many: the row of one that is known may
  /// come back late without passing for a newcomer at its address.
  static constexpr size_t kMaxUnregistered = 2048;

  /// Those of one service that are registered and have not ended.
  struct ServiceCounts {
    size_t registered = 0;
    size_t unresponsive = 0;
  };

  /// Adds a back end that is not known to the indexes, or takes it out.
  void AddToIndexes(const std::string& id, const KnownBackend& known);
  void RemoveFromIndexes(const std::string& id, const KnownBackend& known);
  /// Ids of known ones that a newcomer proves to have ended, appended to `ended`.
  void FindEnded(const catalog::Backend& newcomer, std::vector<std::string>* ended) const;
  /// Counts it in its service, or takes that back (`by` -1), as it stands now.
  void Count(const KnownBackend& known, int by);
  /// Sets whether it is silent.
  void SetUnresponsive(KnownBackend* known, bool unresponsive);

  static bool IsBoundedByCold(const KnownBackend& backend, Time now) {
    return backend.bounded_by_cold && now < backend.cold_until;
  }
  /// Whether it is avoided, and so few of its service are that the others can take over.
  bool IsAvoided(const KnownBackend& backend, Time now) const;
  /// Whether some back end of the service may be given keys and bears any rate of requests.
  bool AnyWarmAccepts(const std::string& service, Time now) const;
  /// Most of a service's back ends are silent: more likely this node is cut off.
  bool MostAreUnresponsive(const std::string& service) const;

  /// Back ends of one service that came to have a limit, or to have none any more.
  struct LimitChanges {
    /// Of those that were not taken up; infinite when there are none.
    Time first = absl::InfiniteFuture();
    Time last = absl::InfinitePast();
  };
  static bool HaveSettled(const LimitChanges& changes, Time now);

  const CoordinatorSettings settings_;
  std::map<std::string, KnownBackend> backends_;
  std::map<Endpoint, std::set<std::string>> by_address_;
  /// By the name that a back end gives itself.
  std::map<std::string, std::set<std::string>, std::less<>> by_instance_;
  size_t registered_count_ = 0;
  std::map<std::string, ServiceCounts> counts_;
  /// Those that failed lately or are silent; all others confirmed their last grant.
  std::set<std::string> failing_;
  /// By service.
  std::map<std::string, LimitChanges> limit_changes_;
  /// Some had a limit when limits were last set.
  bool any_limited_ = false;
};

}  // namespace ladderstream::ownership
