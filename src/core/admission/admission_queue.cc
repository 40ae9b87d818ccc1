#include "core/admission/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace ladderstream::admission {
namespace {

/// Weight of one request in the smoothed service time.
constexpr double kSmoothing = 0.1;
/// A refused caller never comes back sooner than this.
constexpr Duration kMinRetryAfter = absl::Milliseconds(5);
/// A waiting request is given up when less than this share of the usual service time would be left
/// to it. Below one, so that noise in the estimate doesn't refuse what was just let in.
constexpr double kHopelessShare = 0.5;

}  // namespace

Duration AdmissionQueue::WaitBehind(size_t ahead) const {
  if (running_ < slots_ && ahead == 0) {
    return absl::ZeroDuration();
  }
  const double turns = static_cast<double>(ahead + 1) / std::max(1U, slots_);
  return mean_service_time_ * turns;
}

Duration AdmissionQueue::RetryAfter() const { return std::max(kMinRetryAfter, EstimatedWait()); }

size_t AdmissionQueue::CountAhead(Priority priority) const {
  const auto behind = waiting_.upper_bound({priority, UINT64_MAX});
  return static_cast<size_t>(std::distance(waiting_.begin(), behind));
}

std::optional<Refusal> AdmissionQueue::MakeRoom(const Ticket& ticket) {
  if (waiting_.size() < max_queue_) {
    return std::nullopt;
  }
  const Duration retry_after = RetryAfter();
  if (waiting_.empty() || waiting_.rbegin()->first.first <= ticket.priority) {
    return Refusal{ticket.id, ResultCode::kOverloaded, retry_after};
  }
  const auto last = std::prev(waiting_.end());
  const Refusal refusal{last->second.id, ResultCode::kOverloaded, retry_after};
  places_.erase(last->second.id);
  waiting_.erase(last);
  return refusal;
}

Changes AdmissionQueue::Offer(const Ticket& ticket, Time now) {
  Changes changes;
  if (ticket.deadline <= now) {
    changes.refused.push_back({ticket.id, ResultCode::kDeadlineUnreachable, kMinRetryAfter});
    return changes;
  }
  // A free slot is taken without asking the estimate: else one bad estimate could never be mended.
  if (running_ < slots_ && waiting_.empty()) {
    ++running_;
    changes.started.push_back(ticket.id);
    return changes;
  }
  const Duration wait = WaitBehind(CountAhead(ticket.priority));
  if (now + wait + mean_service_time_ > ticket.deadline) {
    changes.refused.push_back({ticket.id, ResultCode::kDeadlineUnreachable, RetryAfter()});
    return changes;
  }
  if (const std::optional<Refusal> refusal = MakeRoom(ticket)) {
    changes.refused.push_back(*refusal);
    if (refusal->id == ticket.id) {
      return changes;
    }
  }
  const Place place{ticket.priority, ++arrivals_};
  waiting_.emplace(place, ticket);
  places_.emplace(ticket.id, place);
  RefuseHopeless(now, changes);
  return changes;
}

Changes AdmissionQueue::Finish(Duration service_time, Time now) {
  mean_service_time_ = mean_service_time_ == absl::ZeroDuration()
                           ? service_time
                           : mean_service_time_ + kSmoothing * (service_time - mean_service_time_);
  running_ -= std::min(running_, 1U);
  Changes changes;
  RefuseHopeless(now, changes);
  StartWaiting(changes);
  return changes;
}

bool AdmissionQueue::Cancel(TicketId id) {
  const auto found = places_.find(id);
  if (found == places_.end()) {
    return false;
  }
  waiting_.erase(found->second);
  places_.erase(found);
  return true;
}

Changes AdmissionQueue::SetLimits(uint32_t slots, uint32_t max_queue, Time now) {
  slots_ = slots;
  max_queue_ = max_queue;
  Changes changes;
  RefuseHopeless(now, changes);
  StartWaiting(changes);
  return changes;
}

void AdmissionQueue::StartWaiting(Changes& changes) {
  while (running_ < slots_ && !waiting_.empty()) {
    const auto first = waiting_.begin();
    ++running_;
    changes.started.push_back(first->second.id);
    places_.erase(first->second.id);
    waiting_.erase(first);
  }
}

void AdmissionQueue::RefuseHopeless(Time now, Changes& changes) {
  size_t ahead = 0;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const Duration wait = WaitBehind(ahead);
    const bool hopeless = now + wait + kHopelessShare * mean_service_time_ > entry->second.deadline;
    if (!hopeless) {
      ++ahead;
      ++entry;
      continue;
    }
    changes.refused.push_back({entry->second.id, ResultCode::kDeadlineUnreachable, RetryAfter()});
    places_.erase(entry->second.id);
    entry = waiting_.erase(entry);
  }
}

}  // namespace ladderstream::admission
