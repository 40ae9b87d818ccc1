// The coordinator's state of each back end: address, registration, draining, responsiveness, slow
// start, and whether it is proven to have ended.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
  /// The back end drains, or its zone is evacuated.
  bool leaving = false;
  /// Another known back end has the same address.
  bool shares_address = false;
  /// When the current registration was first seen.
  Time registered_at = absl::InfinitePast();
  /// When the latest order that this incarnation answered was sent.
  Time answered_sent = absl::InfinitePast();
  /// Where grants of this incarnation may have been accepted; empty if none was ever sent. Another
  /// instance that answers elsewhere proves nothing about these grants.
  std::optional<Endpoint> granted_at;
  /// Whether the back end is being asked since `questioned_at` if it still runs.
  bool questioned = false;
  Time questioned_at = absl::InfinitePast();
  /// Proven to have ended, by the answer to an order sent at `end_observed`. Withdrawn by an answer
  /// of this incarnation to a later order, by a new registration, and after kEndedRecheck.
  bool ended = false;
  Time end_observed = absl::InfinitePast();
  /// End of the slow start after the back end's start, and whether the back end accepts only a
  /// limited request rate until then.
  Time cold_until = absl::InfinitePast();
  bool bounded_by_cold = false;

  /// Back-offs that nodes observe for the back end, and requests that it served. Both decay
  /// exponentially from `counted_at`.
  double declined = 0;
  double served = 0;
  Time counted_at = absl::InfinitePast();
  /// The back end rejects requests although it has free slots; it is assigned no keys until then.
  Time avoided_until = absl::InfinitePast();
  Duration avoidance = absl::ZeroDuration();

  /// Requests per second that the back end accepts from all nodes together: as last reported, and
  /// as used by partitioning.
  std::optional<double> reported_limit;
  std::optional<double> rate_limit;

  /// Consecutive unconfirmed grants.
  uint32_t failures = 0;
  /// All of these failures were refused connections.
  bool only_refused = true;
  Time failing_since = absl::InfiniteFuture();
  bool unresponsive = false;
  /// An unresponsive back end may be assigned keys again from then on.
  Time excluded_until = absl::InfinitePast();
  Duration exclusion = absl::ZeroDuration();
};

/// A back end that the registration of another one suggests has ended.
struct ReplacedBackend {
  std::string id;
  /// The other back end.
  std::string by;
};

/// Result of an update of the registered back ends.
struct RegistrationChanges {
  /// A back end of a sharded service was registered, was deregistered, or began to drain.
  bool any = false;
  /// Back ends that may have ended, because another one was registered at the address of a known
  /// one, or a later incarnation of it at another address. A registration proves nothing: it may
  /// have been written long ago or by another writer. Only an answer to an order tells.
  ///
  /// A back end that restarted at its old address is not included: renewals meant for the earlier
  /// incarnation may have reached the new one, so its keys are released before they are granted
  /// again. The new incarnation answers that release at once.
  std::vector<ReplacedBackend> replaced;
};

class BackendDirectory {
 public:
  explicit BackendDirectory(const CoordinatorSettings& settings);

  /// Applies a change of the registered back ends and returns its effects. Back ends of services
  /// not in `sharded` only raise the question whether earlier ones at their addresses have ended.
  RegistrationChanges Update(const catalog::BackendChanges& changes,
                             const std::set<std::string>& sharded, Time now);
  /// Adds an owner named by a row of the store, with the address at which it was granted keys.
  void AddOwner(const std::string& id, const std::string& service, const Endpoint& address);
  /// Returns whether more than kMaxUnregistered known back ends are not registered.
  bool NeedsPruning() const { return backends_.size() - registered_count_ > kMaxUnregistered; }
  /// Removes back ends that are neither registered nor in `needed`.
  void PruneUnregistered(const std::set<std::string>& needed);

  /// Records that the back end is being asked if it still runs. Until it answers, becomes
  /// unresponsive or kQuestionTimeout has passed, others at its address get no keys.
  void RecordQuestion(const std::string& id, Time now);
  bool HasQuestions() const { return !questioned_.empty(); }
  /// Records that a grant is sent to the back end.
  void RecordGrant(const std::string& id, const Endpoint& address);
  /// Returns whether another instance that answered an order sent to `address` at `sent` proves
  /// that the back end has ended: not if its grants may have been accepted at another address, or
  /// if it has answered a later order itself.
  bool ProvesEnd(const std::string& id, const Endpoint& address, Time sent) const;
  /// Records proof that the back end has ended: the answer to an order sent at `observed`.
  void MarkEnded(const std::string& id, Time observed);
  /// Returns the back ends whose end is no longer taken as proven, because they are still
  /// registered kEndedRecheck after it was observed. Also ends the questions that timed out.
  std::vector<std::string> ExpireVerdicts(Time now);
  /// Returns the earlier incarnations of a back end that have not been proven to have ended and
  /// were at other addresses. An answer of the later one proves their end.
  std::vector<std::string> EarlierIncarnationsElsewhere(const std::string& id) const;

  struct AnswerEffects {
    /// The back end was unresponsive until now.
    bool was_unresponsive = false;
    /// The back end was wrongly taken to have ended.
    bool end_withdrawn = false;
    /// The back end was being asked if it still runs.
    bool question_answered = false;
  };
  /// Records an answer of the back end itself to an order sent at `sent` to `address`.
  AnswerEffects RecordAnswer(const std::string& id, const Endpoint& address, Time sent);
  /// Records an unconfirmed grant. `refused`: the connection was refused because nothing listened
  /// at the address.
  void RecordFailure(const std::string& id, bool refused, Time sent, Time now);
  /// Records that a node backs off from the back end for `backoff` because it rejected a request
  /// with free slots. Returns whether its keys are to move to other back ends from now on.
  bool RecordDeclined(const std::string& id, Duration backoff, Time now);
  /// Sets the reported limits in requests per second; back ends not listed have none. Partitioning
  /// uses them once the limits of the service have settled.
  void SetRateLimits(const std::map<std::string, double>& limits, Time now);
  /// Records served requests.
  void RecordServed(const std::string& id, uint32_t answers, Time now);
  /// Records an unanswered release; extends the exclusion of an unresponsive back end.
  void RecordUnansweredRelease(const std::string& id, Time now);
  /// Returns the back ends that became unresponsive since the last call. None does while no back
  /// end of its service answers and several fail: a node that is cut off itself sees the same.
  std::vector<std::string> TakeNewlyUnresponsive(Time now);
  /// Returns the services for which that was the case since the last call; each is returned once
  /// until one of its back ends answers.
  std::vector<std::string> TakeUnreachedServices() { return std::exchange(unreached_, {}); }
  /// Returns the earliest time after `now` at which TakeNewlyUnresponsive() may return a back end
  /// without an event before it.
  Time NextUnresponsiveCheck(Time now) const;

  /// Returns null if the back end is unknown.
  const KnownBackend* Find(const std::string& id) const;
  bool IsRegistered(const std::string& id) const;
  bool HasEnded(const std::string& id) const;
  /// Returns whether the back end may be assigned keys.
  bool Accepts(const std::string& id) const;
  /// Returns whether the back end may keep its keys.
  bool Keeps(const std::string& id) const;
  bool AnyAccepts(const std::string& service) const;

  /// Returns the registered back ends of `service`, and those in `owners` that are no longer
  /// registered.
  std::vector<partition::PartitionBackend> ForPartitioner(const std::string& service,
                                                          const std::set<std::string>& owners,
                                                          Time now) const;

 private:
  /// Number of unregistered back ends above which they are pruned. Below it they are kept, so that
  /// the row of a known back end that arrives late raises no question.
  static constexpr size_t kMaxUnregistered = 2048;
  /// An owner that does not answer is found unresponsive before this; it bounds how long a stray
  /// registration at a silent address keeps another back end there without keys.
  static constexpr Duration kQuestionTimeout = absl::Seconds(3);
  /// A back end that is still registered this long after its end was observed may get keys again;
  /// a crashed one has lost its registration by then.
  static constexpr Duration kEndedRecheck = absl::Seconds(15);

  /// Registered back ends of one service that have not ended.
  struct ServiceCounts {
    size_t registered = 0;
    size_t unresponsive = 0;
    /// When the latest order that was answered was sent.
    Time answered_sent = absl::InfinitePast();
    /// Reported by TakeUnreachedServices since then.
    bool reported_unreached = false;
  };

  /// Sets `shares_address` of all back ends at one address.
  void UpdateSharing(const std::set<std::string>& at_address);
  /// Adds a back end to the indexes, or removes it from them. The back end must be in `backends_`.
  void AddToIndexes(const std::string& id, const KnownBackend& known);
  void RemoveFromIndexes(const std::string& id, const KnownBackend& known);
  /// Appends the known back ends that `newcomer` may have replaced.
  void FindReplaced(const catalog::Backend& newcomer, std::vector<ReplacedBackend>* replaced) const;
  /// Returns whether another back end holds the address of `backend`: it answered after `backend`
  /// was registered, or is being asked if it still runs.
  bool IsAddressHeld(const std::string& id, const KnownBackend& backend) const;
  void EndQuestion(const std::string& id, KnownBackend* known);
  void WithdrawEnd(const std::string& id, KnownBackend* known);
  /// Adds the back end's current state to the counts of its service, or subtracts it (`by` -1).
  void Count(const KnownBackend& known, int by);
  /// Sets the unresponsive state and updates the counts.
  void SetUnresponsive(KnownBackend* known, bool unresponsive);

  static bool IsBoundedByCold(const KnownBackend& backend, Time now) {
    return backend.bounded_by_cold && now < backend.cold_until;
  }
  /// Returns whether the back end is avoided. False if so many back ends of its service are avoided
  /// that the others could not take over.
  bool IsAvoided(const KnownBackend& backend, Time now) const;
  /// Returns whether a back end of the service may be assigned keys and is not rate-limited by its
  /// slow start.
  bool AnyWarmAccepts(const std::string& service, Time now) const;
  /// Returns whether the failures of `suspect` may be this node's own: other back ends of its
  /// service fail too, and none has answered since its failures began. No longer than
  /// kMaxUnreached.
  bool MayBeUnreached(const KnownBackend& suspect, Time now) const;
  /// Returns when `suspect` has failed for long enough to be unresponsive.
  Time UnresponsiveAt(const KnownBackend& suspect) const;
  /// Returns whether most of a service's back ends are unresponsive, in which case this node is
  /// more likely to be disconnected than they are.
  bool MostAreUnresponsive(const std::string& service) const;

  /// Times of changes in whether back ends of one service have a limit, as far as partitioning does
  /// not use them yet. Infinite if there are none.
  struct LimitChanges {
    Time first = absl::InfiniteFuture();
    Time last = absl::InfinitePast();
  };
  static bool HaveSettled(const LimitChanges& changes, Time now);

  const CoordinatorSettings settings_;
  std::map<std::string, KnownBackend> backends_;
  std::map<Endpoint, std::set<std::string>> by_address_;
  /// By the instance name that a back end reports.
  std::map<std::string, std::set<std::string>, std::less<>> by_instance_;
  size_t registered_count_ = 0;
  std::map<std::string, ServiceCounts> counts_;
  /// Back ends with recent failures or unresponsive ones; all others confirmed their last grant.
  std::set<std::string> failing_;
  std::set<std::string> questioned_;
  /// Back ends with `ended` set.
  std::set<std::string> ended_;
  std::vector<std::string> unreached_;
  /// By service.
  std::map<std::string, LimitChanges> limit_changes_;
  /// At least one back end had a limit when limits were last set.
  bool any_limited_ = false;
};

}  // namespace ladderstream::ownership
