// The rates of requests that back ends in need take from all nodes together: what is known of them,
// and the permits that this node asks for, uses and issues.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <string>
#include <vector>

#include "core/allowance/chosen_nodes.h"
#include "core/allowance/permits.h"
#include "core/allowance/told_limits.h"
#include "wire/time.h"

namespace ladderstream::allowance {

class SharedRates {
 public:
  /// `nodes` must outlive this.
  explicit SharedRates(const ChosenNodes& nodes) : nodes_(nodes), issuer_(nodes), holder_(nodes) {}

  ToldLimits& limits() { return limits_; }
  const ToldLimits& limits() const { return limits_; }
  const PermitIssuer& issuer() const { return issuer_; }

  bool IsLimited(const std::string& backend) const {
    return !limits_.empty() && limits_.RateOf(backend).has_value();
  }
  /// Whether a request may go to `backend` now, as far as its limit goes.
  bool Allows(const std::string& backend, Time now) const {
    return !IsLimited(backend) || holder_.Holds(backend, now);
  }
  /// When Allows may change.
  Time TryAgain(const std::string& backend, Time now) const {
    return holder_.TryAgain(backend, now);
  }
  /// Whether another node has been asked for a permit for `backend`, and may still answer.
  bool AwaitsReply(const std::string& backend, Time now) const {
    return holder_.AwaitsReply(backend, now);
  }
  /// Asks for a permit, if `backend` has a limit and it is worth it. Gives whether it is there at
  /// once, since this node issues it.
  bool Ask(const std::string& backend, Time now);
  /// A request goes there that Allows() let through. Gives whether it used up a permit.
  bool Use(const std::string& backend, Time now);

  /// Another node asks this one.
  PermitReply Answer(const PermitQuestion& question, Time now);
  /// Gives the back end that it is about; empty when it came too late.
  std::string OnReply(const PermitReply& reply, Time now) { return holder_.OnReply(reply, now); }
  /// Questions for other nodes since the last call.
  std::vector<PermitQuestion> TakeQuestions();

  void Forget(Time now);

 private:
  const ChosenNodes& nodes_;
  ToldLimits limits_;
  PermitIssuer issuer_;
  PermitHolder holder_;
  std::vector<PermitQuestion> questions_;
};

}  // namespace ladderstream::allowance
