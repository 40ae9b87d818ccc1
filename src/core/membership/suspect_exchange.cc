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
  for (const quarantine::Crash& crash : record.crashes) {
    shared.backends.push_back(crash.backend);
    shared.ages_ms.push_back(AgeOf(crash.at, now));
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
    if (all || record.crashes.size() >= quarantine::kCrashesToHold) {
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
      record.crashes.push_back({suspect.backends[i], now - absl::Milliseconds(suspect.ages_ms[i])});
    }
    if (suspect.served_age_ms != kUnknownAge) {
      record.served_at = now - absl::Milliseconds(suspect.served_age_ms);
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace ladderstream::membership
