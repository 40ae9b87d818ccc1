#include "core/membership/sent_reports.h"

#include <algorithm>
#include <cstddef>

namespace ladderstream::membership {
namespace {

/// Maximum number of unanswered reports that are tracked.
constexpr size_t kMaxSentReports = 16;

}  // namespace

uint64_t SentReports::Add(uint64_t holder, Time now) {
  if (reports_.size() >= kMaxSentReports) {
    reports_.pop_front();
  }
  reports_.push_back({++last_sequence_, now, holder});
  last_sent_ = now;
  return last_sequence_;
}

std::optional<SentReport> SentReports::Take(uint64_t sequence) {
  const auto found =
      std::find_if(reports_.begin(), reports_.end(),
                   [sequence](const SentReport& sent) { return sent.sequence == sequence; });
  if (found == reports_.end()) {
    return std::nullopt;
  }
  const SentReport sent = *found;
  reports_.erase(found);
  return sent;
}

}  // namespace ladderstream::membership
