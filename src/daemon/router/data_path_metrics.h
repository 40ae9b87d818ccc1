// Counters and latency of the data path, for Prometheus.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "wire/identifiers.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream {

/// Thread-safe. Without a registry it counts into one of its own, which nobody reads.
class DataPathMetrics {
 public:
  explicit DataPathMetrics(std::shared_ptr<prometheus::Registry> registry);

  void RequestStarted() { in_flight_.Increment(); }
  /// A caller's request got its final answer.
  void RequestFinished(const ServiceName& service, ResultCode result, Duration latency);
  /// One attempt at a back end, by a request of this node, has ended.
  void AttemptFinished(ResultCode result);

 private:
  struct ServiceMetrics {
    prometheus::Histogram* latency = nullptr;
    absl::flat_hash_map<ResultCode, prometheus::Counter*> results;
  };

  prometheus::Counter& ResultCounter(const ServiceName& service, ResultCode result);
  prometheus::Histogram& LatencyOf(const ServiceName& service);

  const std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Histogram>& latencies_;
  prometheus::Gauge& in_flight_;
  absl::Mutex mutex_;
  absl::flat_hash_map<ServiceName, ServiceMetrics> services_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<ResultCode, prometheus::Counter*> attempt_results_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream
