#include "core/load/failure_evidence.h"

#include "wire/exponential_decay.h"

namespace ladderstream::load {
namespace {

/// Time constant of the decay. 5 s after recovering from a fault, back ends whose fair share is
/// 0.14 of the requests got 0.02 with 10 s and 0.08 with 5 s; during the fault, both sent them
/// equally few (replay of the unit test ill_back_end, 14 back ends, 20 seeds).
constexpr Duration kDecayTime = absl::Seconds(5);
/// Successes assumed before the first answer, so that a single failure gives odds of 1 instead of
/// infinity.
constexpr double kPriorServed = 1;
/// Maximum total weight of the answers; newer answers displace older ones. A recovered back end
/// needs only this many successes to show it, however long the fault lasted.
constexpr double kMaxAnswers = 5;

}  // namespace

double FailureEvidence::DecayFactor(Time now) const {
  return ExponentialDecay(now - counted_at_, kDecayTime);
}

void FailureEvidence::Add(Time now, double* count) {
  const double left = DecayFactor(now);
  failed_ *= left;
  served_ *= left;
  counted_at_ = now;
  *count += 1;
  const double answers = failed_ + served_;
  if (answers > kMaxAnswers) {
    failed_ *= kMaxAnswers / answers;
    served_ *= kMaxAnswers / answers;
  }
}

double FailureEvidence::Odds(Time now) const {
  if (failed_ == 0) {
    return 0;
  }
  const double left = DecayFactor(now);
  return failed_ * left / (served_ * left + kPriorServed);
}

}  // namespace ladderstream::load
