// How a home node's queue in front of one back end behaves: the product's, and a plain baseline.
#pragma once

#include <cstdint>
#include <memory>

#include "core/admission/admission_queue.h"

namespace ladderstream::emulator {

class QueueDiscipline {
 public:
  virtual ~QueueDiscipline() = default;

  virtual admission::Changes Offer(const admission::Ticket& ticket, Time now) = 0;
  virtual admission::Changes Finish(Duration service_time, Time now) = 0;
  /// The caller has left. The baseline takes no notice.
  virtual void Cancel(admission::TicketId id) = 0;
};

using QueueDisciplinePtr = std::unique_ptr<QueueDiscipline>;

/// The queue that the daemon runs.
QueueDisciplinePtr MakeAdmissionQueue(uint32_t slots, uint32_t max_queue);

/// First come, first served, with a bounded length; knows no priority, deadline or cancellation.
QueueDisciplinePtr MakePlainQueue(uint32_t slots, uint32_t max_queue);

}  // namespace ladderstream::emulator
