#include "core/membership/suspect_exchange.h"

#include <algorithm>
#include <utility>

namespace ladderstream::membership {
namespace {

uint32_t AgeOf(Time at, Time now) {
  const int64_t age = absl::ToInt64Milliseconds(std::max(now - at, absl::ZeroDuration()));
  return static_cast<uint32_t>(std::min<int64_t>(age, kUnknownAge - 1));
}

SharedSuspect ToShared(const quarantine::SuspectRecord& record, Time now) {
  SharedSuspect shared;
  shared.high = record.request.high;
  shared.low = record.request.low;
  for (const quarantine::Loss& loss : record.losses) {
    const auto state = static_cast<uint8_t>(loss.state);
    if (quarantine::IsCrash(loss)) {
      shared.backends.push_back(loss.backend);
      shared.ages_ms.push_back(AgeOf(loss.at, now));
      shared.states.push_back(state);
    } else if (loss.state != quarantine::LossState::kWatched) {
      shared.other_backends.push_back(loss.backend);
      shared.other_ages_ms.push_back(AgeOf(loss.at, now));
      shared.other_states.push_back(state);
    }
  }
  shared.trials = record.trials;
  if (record.tried_at > absl::InfinitePast()) {
    shared.tried_age_ms = AgeOf(record.tried_at, now);
  }
  if (record.served_at > absl::InfinitePast()) {
    shared.served_age_ms = AgeOf(record.served_at, now);
  }
  return shared;
}

}  // namespace

void SuspectExchange::Set(std::vector<quarantine::SuspectRecord> records, bool own, Time now) {
  records_ = std::move(records);
  heartbeat_until_ = now + kPublishPeriod;
  if (own) {
    report_until_ = now + kPublishPeriod;
  }
}

std::vector<SharedSuspect> SuspectExchange::Encode(bool all, Time now) const {
  std::vector<SharedSuspect> shared;
  for (const quarantine::SuspectRecord& record : records_) {
    if (all || record.CountCrashes() >= quarantine::kCrashesToStore) {
      shared.push_back(ToShared(record, now));
    }
  }
  return shared;
}

std::vector<SharedSuspect> SuspectExchange::ForReport(Time now) const {
  return now < report_until_ ? Encode(true, now) : std::vector<SharedSuspect>();
}

std::vector<SharedSuspect> SuspectExchange::ForHeartbeat(Time now) const {
  return Encode(now < heartbeat_until_, now);
}

std::vector<quarantine::SuspectRecord> SuspectExchange::Decode(
    const std::vector<SharedSuspect>& shared, Time now) {
  std::vector<quarantine::SuspectRecord> records;
  records.reserve(shared.size());
  for (const SharedSuspect& suspect : shared) {
    quarantine::SuspectRecord record;
    record.request = {suspect.high, suspect.low};
    for (size_t i = 0; i < suspect.backends.size(); ++i) {
      const auto state = i < suspect.states.size()
                             ? static_cast<quarantine::LossState>(suspect.states[i])
                             : quarantine::LossState::kEnded;
      record.losses.push_back(
          {suspect.backends[i], now - absl::Milliseconds(suspect.ages_ms[i]), state});
    }
    for (size_t i = 0; i < suspect.other_backends.size(); ++i) {
      record.losses.push_back({suspect.other_backends[i],
                               now - absl::Milliseconds(suspect.other_ages_ms[i]),
                               static_cast<quarantine::LossState>(suspect.other_states[i])});
    }
    record.trials = suspect.trials;
    if (suspect.tried_age_ms != kUnknownAge) {
      record.tried_at = now - absl::Milliseconds(suspect.tried_age_ms);
    }
    if (suspect.served_age_ms != kUnknownAge) {
      record.served_at = now - absl::Milliseconds(suspect.served_age_ms);
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace ladderstream::membership
