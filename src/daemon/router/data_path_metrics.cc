#include "daemon/router/data_path_metrics.h"

#include <utility>

namespace ladderstream {
namespace {

/// Upper bounds in seconds, from half a millisecond to ten seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 5, 10};

template <typename Metric>
prometheus::Family<Metric>& MakeFamily(prometheus::Registry& registry,
                                       prometheus::detail::Builder<Metric> builder,
                                       const std::string& name, const std::string& help) {
  return builder.Name(name).Help(help).Register(registry);
}

}  // namespace

DataPathMetrics::DataPathMetrics(std::shared_ptr<prometheus::Registry> registry)
    : registry_(registry != nullptr ? std::move(registry)
                                    : std::make_shared<prometheus::Registry>()),
      requests_(MakeFamily(*registry_, prometheus::BuildCounter(), "ladderstream_requests_total",
                           "Callers' requests by service and result.")),
      attempts_(MakeFamily(*registry_, prometheus::BuildCounter(), "ladderstream_attempts_total",
                           "Attempts at back ends for this node's callers, by result.")),
      latencies_(MakeFamily(*registry_, prometheus::BuildHistogram(),
                            "ladderstream_request_seconds",
                            "Time from a request's arrival to its final answer.")),
      in_flight_(MakeFamily(*registry_, prometheus::BuildGauge(), "ladderstream_requests_in_flight",
                            "Callers' requests under way.")
                     .Add({})) {}

void DataPathMetrics::RequestFinished(const ServiceName& service, ResultCode result,
                                      Duration latency) {
  in_flight_.Decrement();
  // Names that nobody declared must not make new series.
  const bool known =
      result != ResultCode::kUnknownService && result != ResultCode::kConfigurationUnconfirmed;
  const ServiceName label = known ? service : ServiceName("unknown");
  ResultCounter(label, result).Increment();
  LatencyOf(label).Observe(absl::ToDoubleSeconds(latency));
}

void DataPathMetrics::AttemptFinished(ResultCode result) {
  prometheus::Counter* counter = nullptr;
  {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = attempt_results_.find(result);
    counter = found == attempt_results_.end() ? nullptr : found->second;
  }
  if (counter == nullptr) {
    const absl::MutexLock lock(&mutex_);
    counter = &attempts_.Add({{"result", std::string(NameOf(result))}});
    attempt_results_[result] = counter;
  }
  counter->Increment();
}

prometheus::Counter& DataPathMetrics::ResultCounter(const ServiceName& service, ResultCode result) {
  {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = services_.find(service);
    if (found != services_.end()) {
      const auto counter = found->second.results.find(result);
      if (counter != found->second.results.end()) {
        return *counter->second;
      }
    }
  }
  const absl::MutexLock lock(&mutex_);
  prometheus::Counter*& counter = services_[service].results[result];
  counter = &requests_.Add({{"service", service.value()}, {"result", std::string(NameOf(result))}});
  return *counter;
}

prometheus::Histogram& DataPathMetrics::LatencyOf(const ServiceName& service) {
  {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.latency != nullptr) {
      return *found->second.latency;
    }
  }
  const absl::MutexLock lock(&mutex_);
  prometheus::Histogram*& latency = services_[service].latency;
  latency = &latencies_.Add({{"service", service.value()}}, kLatencyBounds);
  return *latency;
}

}  // namespace ladderstream
