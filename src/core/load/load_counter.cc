#include "core/load/load_counter.h"

#include <utility>

namespace ladderstream::load {

void LoadCounter::AddServiceTime(const std::string& backend, Duration elapsed, bool includes_wait) {
  partition::ServiceTimeSample& sample = samples_[backend];
  if (sample.includes_wait != includes_wait) {
    // The back end reports its load only in some answers. Samples with and without queueing time
    // cannot be added up, so start a new sample.
    sample = {};
    sample.includes_wait = includes_wait;
  }
  ++sample.answers;
  sample.total += elapsed;
}

ServiceLoad LoadCounter::Take(const std::string& service) {
  ServiceLoad load;
  load.service = service;
  load.keys.reserve(keys_.size());
  for (const auto& [key, count] : keys_) {
    load.keys.push_back({key, static_cast<double>(count)});
  }
  load.samples.reserve(samples_.size());
  for (auto& [backend, sample] : samples_) {
    sample.backend = backend;
    load.samples.push_back(std::move(sample));
  }
  load.not_owner_key = std::exchange(not_owner_key_, std::nullopt);
  load.declined = std::exchange(declined_, {});
  keys_.clear();
  samples_.clear();
  return load;
}

}  // namespace ladderstream::load
