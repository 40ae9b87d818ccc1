#include "core/membership/limit_exchange.h"

#include <algorithm>
#include <utility>

namespace ladderstream::membership {
namespace {

constexpr double kNoLimit = -1;

std::vector<SharedLimit> Encode(const std::vector<allowance::LimitRecord>& records, Time now) {
  std::vector<SharedLimit> shared;
  shared.reserve(records.size());
  for (const allowance::LimitRecord& record : records) {
    const int64_t age = absl::ToInt64Milliseconds(std::max(now - record.heard, Duration()));
    shared.push_back({record.backend, record.rate.value_or(kNoLimit),
                      static_cast<uint32_t>(std::min<int64_t>(age, kUnknownAge - 1))});
  }
  return shared;
}

}  // namespace

void LimitExchange::Set(std::vector<allowance::LimitRecord> own,
                        std::vector<allowance::LimitRecord> all, Time now) {
  own_ = std::move(own);
  all_ = std::move(all);
  publish_until_ = now + allowance::ToldLimits::kTellFor;
}

std::vector<SharedLimit> LimitExchange::ForReport(Time now) const {
  return now < publish_until_ ? Encode(own_, now) : std::vector<SharedLimit>();
}

std::vector<SharedLimit> LimitExchange::ForHeartbeat(Time now) const {
  return now < publish_until_ ? Encode(all_, now) : std::vector<SharedLimit>();
}

std::vector<allowance::LimitRecord> LimitExchange::Decode(const std::vector<SharedLimit>& shared,
                                                          Time now) {
  std::vector<allowance::LimitRecord> records;
  records.reserve(shared.size());
  for (const SharedLimit& limit : shared) {
    allowance::LimitRecord record{limit.backend, std::nullopt,
                                  now - absl::Milliseconds(limit.age_ms)};
    if (limit.rate >= 0) {
      record.rate = limit.rate;
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace ladderstream::membership
