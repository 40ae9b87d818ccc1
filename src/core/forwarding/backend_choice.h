// Choosing the back end for one attempt: small policies that can be put around each other.
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

/// Why no back end can be chosen now.
enum class UnavailableReason {
  kNone,
  /// No back end of the service takes new work.
  kNoBackend,
  /// Those that do have failed this request already.
  kAllTried,
  kAllFull,
  /// Those that could take it asked this node for rest.
  kAllInBackoff,
  /// Those that could take it named limits, and this node has no permit for any.
  kAllLimited,
  /// Those that could take it are cold, and it is not this node's turn to send there.
  kAllCold,
  /// The queue is longer than the time left.
  kOverloaded,
  /// No ownership map is known to be in force.
  kNoMap,
  /// The map names no owner, or one that is unknown.
  kNoOwner,
  /// The owner is draining or gone.
  kOwnerLeaving,
  /// The keys are on their way to the next owner.
  kMoving,
  /// The owner of the map in force said that it does not own the key.
  kNotOwner,
  kOwnerUnreachable,
  kOwnerFull,
  /// The owner asked this node for rest.
  kOwnerInBackoff,
  /// The owner named a limit, and this node has no permit.
  kOwnerLimited,
  /// The owner is cold, and it is not this node's turn to send there.
  kOwnerCold,
};

/// An assignment that a back end disowned.
struct RejectedAssignment {
  std::string owner;
  ownership::Fence fence = 0;
};

struct ChoiceContext {
  const ServiceState& service;
  /// Sharded services only.
  std::optional<ownership::Key> key;
  /// Back ends that failed this request.
  const std::vector<BackendStatePtr>& failed;
  const std::optional<RejectedAssignment>& rejected;
  /// A queue that lasts beyond this is not worth joining.
  Time start_by;
  Time now;
};

struct Choice {
  /// Null when there is an obstacle.
  BackendStatePtr backend;
  /// Of the assignment, for an owner.
  ownership::Fence fence = 0;
  /// How long the request would wait there for a slot.
  Duration expected_wait;
  UnavailableReason unavailable_reason = UnavailableReason::kNone;
  /// The back end that the obstacle is about; may be null.
  BackendStatePtr blocking_backend;
  /// When another look is worth it, unless something changes before.
  Time retry_at = absl::InfiniteFuture();
  /// The limit that is the obstacle.
  std::optional<allowance::LimitRecord> limit;
  /// A back end with a limit for which a permit is to be asked; may be null.
  BackendStatePtr request_permit_for;
  /// Whether the obstacle may vanish within a short time.
  bool transient = false;
};

class BackendChoice {
 public:
  virtual ~BackendChoice() = default;
  virtual Choice Choose(const ChoiceContext& context) = 0;
};

/// For services whose back ends are all alike: the one where an answer is expected first, drawn at
/// random among those that are about as good, so that nodes that know the same do not all go to
/// the same one. The own zone goes first where that costs no waiting.
class LeastWaitChoice : public BackendChoice {
 public:
  /// All must outlive the choice.
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
  /// Takes the least ill of the ejected back ends back in when too many are ejected.
  void ReadmitSuspects(Scan& scan, Time now);
  void AddCandidate(const BackendStatePtr& backend, Time now);
  const BackendStatePtr& Draw();
  Choice Explain(const Scan& scan) const;

  const DispatcherSettings& settings_;
  const allowance::ColdSenders& cold_senders_;
  const allowance::SharedRates& rates_;
  std::mt19937_64& random_;
  /// Of the choice being made; kept for its memory.
  std::vector<Candidate> candidates_;
};

/// Whether this node may send to `backend` now, as far as its being cold goes.
bool MaySendWhileCold(const BackendState& backend, const allowance::ColdSenders& senders, Time now);

/// Refuses at once what `inner` would send into a queue that lasts too long.
class OverloadGuard : public BackendChoice {
 public:
  /// `inner` must outlive the guard.
  explicit OverloadGuard(BackendChoice& inner) : inner_(inner) {}

  Choice Choose(const ChoiceContext& context) override;

 private:
  BackendChoice& inner_;
};

}  // namespace ladderstream::forwarding
