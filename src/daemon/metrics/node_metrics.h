// The node's metrics in Prometheus format, on an HTTP port of their own.
#pragma once

#include <prometheus/collectable.h>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <vector>

#include "core/authority/authority.h"
#include "daemon/metrics/ownership_measures.h"
#include "daemon/peer/traffic.h"
#include "wire/identifiers.h"

namespace ladderstream::metrics {

/// Where the metrics that are read at each scrape come from. Called on the exposer's threads.
struct Sources {
  std::function<authority::AuthorityStatus()> status;
  std::function<std::shared_ptr<const authority::RoutingState>()> routing;
  std::function<Duration()> control_processor_time;
  std::function<uint64_t()> control_events_dropped;
  std::function<uint64_t()> control_events_failed;
  const peer::Traffic* traffic = nullptr;
};

/// Reads its sources at each scrape; nothing is counted twice or kept.
class NodeCollector : public prometheus::Collectable {
 public:
  explicit NodeCollector(Sources sources) : sources_(std::move(sources)) {}

  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  void AddAuthority(std::vector<prometheus::MetricFamily>* families) const;
  void AddTraffic(std::vector<prometheus::MetricFamily>* families) const;
  void AddControl(std::vector<prometheus::MetricFamily>* families) const;

  const Sources sources_;
};

/// Churn and unavailable time, counted by the node that leads while they happen. Both methods are
/// called from one thread.
class OwnershipMetrics {
 public:
  explicit OwnershipMetrics(prometheus::Registry* registry);

  void NoteLeaseRequest(const LeaseRequest& request, Time now);

  /// Called with each new routing state.
  void Observe(const authority::RoutingState& routing, Time now, bool leads);

 private:
  prometheus::Family<prometheus::Counter>& owner_changes_;
  prometheus::Family<prometheus::Histogram>& outages_;
  prometheus::Family<prometheus::Gauge>& without_owner_;
  OwnershipMeasures measures_;
};

/// Serves `GET /metrics`.
class MetricsServer {
 public:
  /// Throws Error(kInvalidSetting) when the address can't be bound.
  MetricsServer(const Endpoint& bind, std::shared_ptr<prometheus::Registry> registry,
                Sources sources);

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  std::shared_ptr<NodeCollector> collector_;
  std::unique_ptr<prometheus::Exposer> exposer_;
};

}  // namespace ladderstream::metrics
