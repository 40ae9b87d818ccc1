#include "core/allowance/shared_rates.h"

#include <algorithm>
#include <utility>

namespace ladderstream::allowance {

bool SharedRates::Ask(const std::string& backend, Time now) {
  const std::optional<double> rate = limits_.RateOf(backend);
  if (!rate.has_value()) {
    return false;
  }
  // At most once with each issuer: the one that is asked may be this node, and deny.
  for (size_t i = 0; i < kIssuers; ++i) {
    std::optional<PermitQuestion> question = holder_.Ask(backend, *rate, now);
    if (!question.has_value()) {
      return false;
    }
    if (question->to != nodes_.self()) {
      questions_.push_back(std::move(*question));
      return false;
    }
    holder_.OnReply(issuer_.Answer(*question, *rate, now), now);
    if (holder_.Holds(backend, now)) {
      return true;
    }
  }
  return false;
}

bool SharedRates::Use(const std::string& backend, Time now) {
  if (!IsLimited(backend)) {
    return false;
  }
  holder_.Use(backend, now);
  return true;
}

PermitReply SharedRates::Answer(const PermitQuestion& question, Time now) {
  // Who asks has heard a limit that may not have come here yet; of two, the lower one is safe.
  const double rate =
      std::min(limits_.RateOf(question.backend).value_or(question.rate), question.rate);
  return issuer_.Answer(question, rate, now);
}

std::vector<PermitQuestion> SharedRates::TakeQuestions() { return std::exchange(questions_, {}); }

void SharedRates::Forget(Time now) {
  limits_.Forget(now);
  issuer_.Forget(now);
  holder_.Forget(now);
}

}  // namespace ladderstream::allowance
