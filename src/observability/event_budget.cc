#include "observability/event_budget.h"

#include <algorithm>

namespace ladderstream::observability {
namespace {

constexpr EventBudget::Budgets kDefaultBudgets = {{
    /*kFailedRequest=*/{250, 500},
    /*kProcess=*/{20, 50},
    /*kStore=*/{10, 30},
    /*kConfiguration=*/{10, 30},
    /*kOwnership=*/{40, 150},
    /*kBackend=*/{30, 150},
    /*kPeer=*/{20, 50},
    /*kUnread=*/{20, 50},
    /*kAnsweredRequest=*/{60, 120},
}};

}  // namespace

std::string_view NameOf(OmissionCause cause) {
  return cause == OmissionCause::kBudget ? "budget" : "output";
}

const EventBudget::Budgets& EventBudget::Default() { return kDefaultBudgets; }

EventBudget::EventBudget(const Budgets& budgets) : budgets_(budgets) {}

bool EventBudget::Take(EventKind kind, uint32_t lines, Time now) {
  const auto index = static_cast<size_t>(kind);
  const KindBudget& budget = budgets_.at(index);
  Bucket& bucket = buckets_.at(index);
  if (now > bucket.filled_at) {
    const double earned = absl::ToDoubleSeconds(now - bucket.filled_at) * budget.lines_per_second;
    bucket.tokens = std::min(budget.burst, bucket.tokens + earned);
    bucket.filled_at = now;
  }
  const double needed = std::min<double>(lines, budget.burst);
  if (bucket.tokens < needed) {
    CountOmitted(kind, OmissionCause::kBudget, lines);
    return false;
  }
  bucket.tokens -= lines;
  return true;
}

void EventBudget::CountOmitted(EventKind kind, OmissionCause cause, uint64_t lines) {
  buckets_.at(static_cast<size_t>(kind)).omitted.at(static_cast<size_t>(cause)) += lines;
  has_omissions_ = true;
}

std::vector<Omission> EventBudget::TakeOmissions() {
  std::vector<Omission> omissions;
  for (size_t kind = 0; kind < kEventKindCount; ++kind) {
    Bucket& bucket = buckets_.at(kind);
    for (size_t cause = 0; cause < kOmissionCauseCount; ++cause) {
      const uint64_t count = bucket.omitted.at(cause) - bucket.reported.at(cause);
      if (count > 0) {
        omissions.push_back(
            {static_cast<EventKind>(kind), static_cast<OmissionCause>(cause), count});
      }
    }
    bucket.reported = bucket.omitted;
  }
  has_omissions_ = false;
  return omissions;
}

void EventBudget::Return(const Omission& omission) {
  Bucket& bucket = buckets_.at(static_cast<size_t>(omission.kind));
  bucket.reported.at(static_cast<size_t>(omission.cause)) -= omission.count;
  has_omissions_ = true;
}

uint64_t EventBudget::TotalOmitted(EventKind kind, OmissionCause cause) const {
  return buckets_.at(static_cast<size_t>(kind)).omitted.at(static_cast<size_t>(cause));
}

}  // namespace ladderstream::observability
