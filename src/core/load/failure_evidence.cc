#include "core/load/failure_evidence.h"

#include "wire/exponential_decay.h"

namespace ladderstream::load {
namespace {

/// Time constant of the fading. With 10 s, formerly ill back ends got 0.02 of the requests 5 s
/// after they were well, with 5 s 0.08, where 0.14 is their share; while they were ill, both sent
/// them as little (replay of the unit test ill_back_end, 14 back ends, 20 seeds).
constexpr Duration kDecayTime = absl::Seconds(5);
/// Requests taken as served before anything is known: one failure makes odds of 1, not infinity.
constexpr double kPriorServed = 1;
/// Answers that count at most; older ones give way. A back end that is well again shows it with as
/// many, however long it was ill.
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
