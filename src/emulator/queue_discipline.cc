#include "emulator/queue_discipline.h"

#include <deque>

namespace ladderstream::emulator {
namespace {

class ProductQueue : public QueueDiscipline {
 public:
  ProductQueue(uint32_t slots, uint32_t max_queue) : queue_(slots, max_queue) {}

  admission::Changes Offer(const admission::Ticket& ticket, Time now) override {
    return queue_.Offer(ticket, now);
  }
  admission::Changes Finish(Duration service_time, Time now) override {
    return queue_.Finish(service_time, now);
  }
  void Cancel(admission::TicketId id) override { queue_.Cancel(id); }

 private:
  admission::AdmissionQueue queue_;
};

class PlainQueue : public QueueDiscipline {
 public:
  PlainQueue(uint32_t slots, uint32_t max_queue) : free_(slots), max_queue_(max_queue) {}

  admission::Changes Offer(const admission::Ticket& ticket, Time /*now*/) override {
    admission::Changes changes;
    if (free_ > 0) {
      --free_;
      changes.started.push_back(ticket.id);
    } else if (waiting_.size() < max_queue_) {
      waiting_.push_back(ticket.id);
    } else {
      constexpr Duration kRetryAfter = absl::Milliseconds(100);
      changes.refused.push_back({ticket.id, ResultCode::kOverloaded, kRetryAfter});
    }
    return changes;
  }

  admission::Changes Finish(Duration /*service_time*/, Time /*now*/) override {
    admission::Changes changes;
    if (waiting_.empty()) {
      ++free_;
      return changes;
    }
    changes.started.push_back(waiting_.front());
    waiting_.pop_front();
    return changes;
  }

  void Cancel(admission::TicketId /*id*/) override {}

 private:
  uint32_t free_;
  size_t max_queue_;
  std::deque<admission::TicketId> waiting_;
};

}  // namespace

QueueDisciplinePtr MakeAdmissionQueue(uint32_t slots, uint32_t max_queue) {
  return std::make_unique<ProductQueue>(slots, max_queue);
}

QueueDisciplinePtr MakePlainQueue(uint32_t slots, uint32_t max_queue) {
  return std::make_unique<PlainQueue>(slots, max_queue);
}

}  // namespace ladderstream::emulator
