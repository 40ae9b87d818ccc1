// How nodes that do not vote follow configuration and ownership, and how every node knows that what
// it routes by is confirmed. Not thread-safe.
#pragma once

#include <map>

#include "core/authority/authority.h"
#include "core/authority/ownership_state.h"

namespace ladderstream::authority {

/// The latest moment at which the leader is known to have confirmed the newest revision.
class Confirmation {
 public:
  explicit Confirmation(const AuthoritySettings& settings);

  void Confirm(Time at);
  /// How long ago; infinite if never.
  Duration Age(Time now) const;
  /// The node may route until then.
  Time Until() const;

 private:
  const Duration limit_;
  Time confirmed_at_ = absl::InfinitePast();
};

/// An observer's copy of what routers need, brought up to date by pulls.
class ObservedState {
 public:
  /// Takes in an answer. Gives whether anything changed. An answer that is older than what is known
  /// changes nothing.
  bool Apply(const StatePullResponse& response);

  const GrantToken& version() const { return version_; }
  const Configuration& configuration() const { return configuration_; }
  RoutingState ToRoutingState() const;

 private:
  bool ApplyOwnership(const StatePullResponse& response);
  void DropWhatIsNotConfigured();

  GrantToken version_;
  Configuration configuration_;
  std::map<ShardId, Assignment> assignments_;
  std::map<BackendId, BackendHome> homes_;
};

/// Answers a pull from replicated state. `confirmed_age` as of now.
StatePullResponse AnswerPull(const StatePull& pull, const OwnershipState& state,
                             Duration confirmed_age);

}  // namespace ladderstream::authority
