// Selection of the back end for one attempt. The policies are small and can be nested.
#pragma once

#include <optional>
#include <random>
#include <vector>

#include "core/allowance/cold_senders.h"
#include "core/allowance/shared_rates.h"
#include "core/forwarding/backend_state.h"
#include "core/forwarding/service_table.h"
#include "core/ownership/ownership_map.h"
#include "wire/time.h"

namespace ladderstream::forwarding {

/// Why no back end is available now.
enum class UnavailableReason {
  kNone,
  /// No back end of the service accepts new work.
  kNoBackend,
  /// All back ends that accept new work have already failed this request.
  kAllTried,
  kAllFull,
  /// The remaining back ends asked this node to back off.
  kAllInBackoff,
  /// The remaining back ends have rate limits, and this node has no permit for any of them.
  kAllLimited,
  /// The remaining back ends are cold, and this node may not send to them now.
  kAllCold,
  /// The expected wait in the queue exceeds the time left.
  kOverloaded,
  /// No ownership map is known to be in force.
  kNoMap,
  /// The map names no owner, or an unknown one.
  kNoOwner,
  /// The owner is draining or deregistered.
  kOwnerLeaving,
  /// The key is being moved to another owner.
  kMoving,
  /// The owner according to the map in force replied that it does not own the key.
  kNotOwner,
  kOwnerUnreachable,
  kOwnerFull,
  /// The owner asked this node to back off.
  kOwnerInBackoff,
  /// The owner has a rate limit, and this node has no permit.
  kOwnerLimited,
  /// The owner is cold, and this node may not send to it now.
  kOwnerCold,
  /// This node does not reach the back end, and knows no peer that does.
  kNoPath,
};

/// An assignment that the back end rejected because it does not own the key.
struct RejectedAssignment {
  std::string owner;
  ownership::Fence fence = 0;
};

struct ChoiceContext {
  const ServiceState& service;
  /// Set for sharded services only.
  std::optional<ownership::Key> key;
  /// Back ends that have failed this request.
  const std::vector<BackendStatePtr>& failed;
  const std::optional<RejectedAssignment>& rejected;
  /// The request must get a slot before this time, or it is not worth queueing.
  Time start_by;
  Time now;
};

struct Choice {
  /// Null when no back end is available.
  BackendStatePtr backend;
  /// Fence of the assignment if the back end was chosen as owner.
  ownership::Fence fence = 0;
  /// Expected time that the request waits there for a slot.
  Duration expected_wait;
  UnavailableReason unavailable_reason = UnavailableReason::kNone;
  /// The back end to which `unavailable_reason` refers; may be null.
  BackendStatePtr blocking_backend;
  /// When to choose again if no event triggers it earlier.
  Time retry_at = absl::InfiniteFuture();
  /// The rate limit, when it is the reason.
  std::optional<allowance::LimitRecord> limit;
  /// A rate-limited back end for which to request a permit; may be null.
  BackendStatePtr request_permit_for;
  /// Whether the reason may cease to apply within a short time.
  bool transient = false;
};

class BackendChoice {
 public:
  virtual ~BackendChoice() = default;
  virtual Choice Choose(const ChoiceContext& context) = 0;
};

/// For services whose back ends are interchangeable. Picks at random among the back ends with about
/// the earliest expected answer, so that nodes with the same information do not all choose the same
/// one. Prefers the own zone unless that costs waiting time.
class LeastWaitChoice : public BackendChoice {
 public:
  /// All arguments must outlive the choice.
  LeastWaitChoice(const DispatcherSettings& settings, const allowance::ColdSenders& cold_senders,
                  const allowance::SharedRates& rates, std::mt19937_64& random)
      : settings_(settings), cold_senders_(cold_senders), rates_(rates), random_(random) {}

  Choice Choose(const ChoiceContext& context) override;

 private:
  struct Candidate {
    Duration cost;
    const BackendStatePtr* backend = nullptr;
  };
  struct Scan;

  void Examine(const BackendStatePtr& backend, const ChoiceContext& context, Scan& scan);
  /// Readmits the ejected back ends with the lowest failure odds when too many are ejected.
  void ReadmitSuspects(Scan& scan, Time now);
  void AddCandidate(const BackendStatePtr& backend, Time now);
  const BackendStatePtr& Draw();
  Choice Explain(const Scan& scan) const;

  const DispatcherSettings& settings_;
  const allowance::ColdSenders& cold_senders_;
  const allowance::SharedRates& rates_;
  std::mt19937_64& random_;
  /// Candidates of the current choice; a member to reuse its memory.
  std::vector<Candidate> candidates_;
};

/// Returns whether the cold-start limits allow this node to send to `backend` now.
bool MaySendWhileCold(const BackendState& backend, const allowance::ColdSenders& senders, Time now);

/// Refuses a request at once if the queue at the back end chosen by `inner` would outlast its time.
class OverloadGuard : public BackendChoice {
 public:
  /// `inner` must outlive the guard.
  explicit OverloadGuard(BackendChoice& inner) : inner_(inner) {}

  Choice Choose(const ChoiceContext& context) override;

 private:
  BackendChoice& inner_;
};

}  // namespace ladderstream::forwarding
