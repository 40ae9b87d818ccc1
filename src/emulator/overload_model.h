// Back ends with few slots under more requests than they can serve, request by request.
//
// Callers leave at their deadline, some of them earlier. Refused callers come again when they were
// told to, within a budget. Deterministic for a seed. Not thread-safe.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/queue_discipline.h"
#include "emulator/summary.h"

namespace ladderstream::emulator {

/// One kind of request.
struct RequestClass {
  std::string name;
  Priority priority = Priority::kNormal;
  Duration deadline = absl::Seconds(1);
  /// Share of what the back ends can serve; 1 is all.
  double load = 0;
};

struct OverloadOptions {
  int backends = 14;
  uint32_t slots = 2;
  uint32_t max_queue = 64;
  Duration mean_service_time = absl::Milliseconds(8);
  /// Log-normal spread of the service time.
  double service_spread = 0.5;
  /// Share of the callers that leave before their deadline, at a moment evenly drawn.
  double early_leavers = 0.05;
  /// Retries as a share of first tries.
  double retry_budget = 0.1;
  Duration duration = absl::Seconds(30);
  std::vector<RequestClass> classes;

  /// Requests per second that all slots serve together.
  double Capacity() const;
};

struct ClassResult {
  uint64_t offered = 0;
  /// Answered before the caller left.
  uint64_t useful = 0;
  uint64_t refused = 0;
  /// From the first send to the answer, of useful ones. Milliseconds.
  Summary latency_ms;
};

struct OverloadResult {
  std::vector<ClassResult> classes;
  double useful_per_second = 0;
  /// Share of the back ends' work that was done after its caller had left.
  double wasted_share = 0;
  uint64_t retries = 0;
};

class OverloadModel {
 public:
  using MakeQueue = std::function<QueueDisciplinePtr(uint32_t slots, uint32_t max_queue)>;

  OverloadModel(const OverloadOptions& options, const MakeQueue& make_queue, uint64_t seed);

  OverloadResult Run();

 private:
  struct Request {
    size_t class_index = 0;
    size_t backend = 0;
    Time first_sent;
    Time leaves;
    Duration service_time;
    Time started;
    bool retried = false;
  };

  void ScheduleArrival(size_t class_index);
  void Arrive(size_t class_index);
  void Send(const Request& request);
  void Take(const admission::Changes& changes);
  void Start(admission::TicketId id);
  void Finish(admission::TicketId id);
  void Refuse(const admission::Refusal& refusal);
  void Leave(admission::TicketId id);
  Duration DrawServiceTime();

  OverloadOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  Time end_;
  std::vector<QueueDisciplinePtr> backends_;
  absl::flat_hash_map<admission::TicketId, Request> requests_;
  admission::TicketId last_id_ = 0;
  double retry_tokens_ = 0;
  Duration work_;
  Duration wasted_;
  OverloadResult result_;
};

}  // namespace ladderstream::emulator
