#include "standin/platform/service_faults.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace ladderstream::standin {

void ServiceFaults::Change(const nlohmann::json& change) {
  absl::MutexLock lock(&mutex_);
  if (change.contains("delay_ms")) {
    delay_ = absl::Milliseconds(change.at("delay_ms").get<double>());
  }
  if (change.contains("rate_limit")) {
    rate_limit_ = change.at("rate_limit").get<double>();
    credit_ = std::min(credit_, rate_limit_);
  }
  if (change.contains("lose_answers")) {
    lose_answers_ = change.at("lose_answers").get<uint64_t>();
  }
}

RequestFate ServiceFaults::Admit(bool writes, absl::Time now) {
  absl::Duration delay;
  RequestFate fate = RequestFate::kServe;
  {
    absl::MutexLock lock(&mutex_);
    delay = delay_;
    fate = Decide(writes, now);
  }
  absl::SleepFor(delay);
  return fate;
}

RequestFate ServiceFaults::Decide(bool writes, absl::Time now) {
  if (rate_limit_ > 0) {
    const double elapsed = std::min(1.0, absl::ToDoubleSeconds(now - credited_at_));
    credit_ = std::min(rate_limit_, credit_ + elapsed * rate_limit_);
    credited_at_ = now;
    if (credit_ < 1) {
      ++limited_;
      return RequestFate::kRateLimited;
    }
    credit_ -= 1;
  }
  if (writes && lose_answers_ > 0) {
    --lose_answers_;
    ++lost_;
    return RequestFate::kLoseAnswer;
  }
  ++served_;
  return RequestFate::kServe;
}

nlohmann::json ServiceFaults::Describe() const {
  absl::MutexLock lock(&mutex_);
  return {{"delay_ms", absl::ToDoubleMilliseconds(delay_)},
          {"rate_limit", rate_limit_},
          {"lose_answers", lose_answers_},
          {"served", served_},
          {"limited", limited_},
          {"lost", lost_}};
}

}  // namespace ladderstream::standin
