#include "emulator/overload_model.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>

namespace ladderstream::emulator {

double OverloadOptions::Capacity() const {
  return backends * slots / absl::ToDoubleSeconds(mean_service_time);
}

OverloadModel::OverloadModel(const OverloadOptions& options, const MakeQueue& make_queue,
                             uint64_t seed)
    : options_(options),
      random_(seed),
      queue_(absl::UnixEpoch() + absl::Hours(1)),
      end_(queue_.now() + options.duration) {
  for (int i = 0; i < options_.backends; ++i) {
    backends_.push_back(make_queue(options_.slots, options_.max_queue));
  }
  result_.classes.resize(options_.classes.size());
}

OverloadResult OverloadModel::Run() {
  for (size_t i = 0; i < options_.classes.size(); ++i) {
    ScheduleArrival(i);
  }
  queue_.RunUntil(end_);
  double useful = 0;
  for (const ClassResult& result : result_.classes) {
    useful += static_cast<double>(result.useful);
  }
  result_.useful_per_second = useful / absl::ToDoubleSeconds(options_.duration);
  result_.wasted_share = work_ > absl::ZeroDuration() ? absl::FDivDuration(wasted_, work_) : 0;
  return result_;
}

void OverloadModel::ScheduleArrival(size_t class_index) {
  const double rate = options_.classes[class_index].load * options_.Capacity();
  if (rate <= 0) {
    return;
  }
  const Duration gap = absl::Seconds(absl::Exponential(random_, rate));
  queue_.After(gap, [this, class_index] { Arrive(class_index); });
}

void OverloadModel::Arrive(size_t class_index) {
  ScheduleArrival(class_index);
  ++result_.classes[class_index].offered;
  retry_tokens_ += options_.retry_budget;
  Request request;
  request.class_index = class_index;
  request.backend = absl::Uniform<size_t>(random_, 0, backends_.size());
  request.first_sent = queue_.now();
  const bool early = absl::Bernoulli(random_, options_.early_leavers);
  const double patience = early ? absl::Uniform(random_, 0.0, 1.0) : 1.0;
  request.leaves = queue_.now() + options_.classes[class_index].deadline * patience;
  request.service_time = DrawServiceTime();
  Send(request);
}

Duration OverloadModel::DrawServiceTime() {
  const double spread = options_.service_spread;
  const double factor = std::exp(absl::Gaussian(random_, -spread * spread / 2, spread));
  return options_.mean_service_time * factor;
}

void OverloadModel::Send(const Request& request) {
  const admission::TicketId id = ++last_id_;
  requests_[id] = request;
  const RequestClass& kind = options_.classes[request.class_index];
  queue_.At(request.leaves, [this, id] { Leave(id); });
  // The node knows the stated deadline, not that the caller will leave earlier.
  const admission::Ticket ticket{id, kind.priority, request.first_sent + kind.deadline};
  Take(backends_[request.backend]->Offer(ticket, queue_.now()));
}

void OverloadModel::Take(const admission::Changes& changes) {
  for (const admission::TicketId id : changes.started) {
    Start(id);
  }
  for (const admission::Refusal& refusal : changes.refused) {
    Refuse(refusal);
  }
}

void OverloadModel::Start(admission::TicketId id) {
  Request& request = requests_.at(id);
  request.started = queue_.now();
  queue_.After(request.service_time, [this, id] { Finish(id); });
}

void OverloadModel::Finish(admission::TicketId id) {
  const Request request = requests_.at(id);
  requests_.erase(id);
  work_ += request.service_time;
  const Duration after_leaving = queue_.now() - std::max(request.leaves, request.started);
  ClassResult& result = result_.classes[request.class_index];
  if (after_leaving > absl::ZeroDuration()) {
    wasted_ += after_leaving;
  } else {
    ++result.useful;
    result.latency_ms.Add(absl::ToDoubleMilliseconds(queue_.now() - request.first_sent));
  }
  Take(backends_[request.backend]->Finish(request.service_time, queue_.now()));
}

void OverloadModel::Refuse(const admission::Refusal& refusal) {
  Request request = requests_.at(refusal.id);
  requests_.erase(refusal.id);
  const Time again = queue_.now() + refusal.retry_after;
  if (!request.retried && retry_tokens_ >= 1 && again < request.leaves) {
    retry_tokens_ -= 1;
    ++result_.retries;
    request.retried = true;
    queue_.At(again, [this, request] { Send(request); });
    return;
  }
  ++result_.classes[request.class_index].refused;
}

void OverloadModel::Leave(admission::TicketId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.started != Time()) {
    return;
  }
  backends_[found->second.backend]->Cancel(id);
}

}  // namespace ladderstream::emulator
