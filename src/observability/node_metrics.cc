#include "observability/node_metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace ladderstream::observability {
namespace {

constexpr char kOther[] = "other";

constexpr std::array<std::string_view, static_cast<size_t>(RequestOutcome::kCount)> kOutcomes = {
    "answered", "refused", "unknown", "caller_gone"};
constexpr std::array<std::string_view, static_cast<size_t>(RequestStage::kCount)> kStages = {
    "queue", "backend"};
constexpr std::array<std::string_view, static_cast<size_t>(AttemptPurpose::kCount)> kPurposes = {
    "first", "again", "hedge"};
constexpr std::array<std::string_view, static_cast<size_t>(AttemptResult::kCount)> kAttemptResults =
    {"answered",  "not_executed",  "connect_refused", "connect_timeout", "not_sent",   "lost",
     "timed_out", "peer_declined", "peer_lost",       "cancelled",       "left_behind"};

const prometheus::Histogram::BucketBoundaries& Seconds() {
  static const prometheus::Histogram::BucketBoundaries boundaries = {
      0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};
  return boundaries;
}

prometheus::Family<prometheus::Counter>& AddCounters(prometheus::Registry* registry,
                                                     const std::string& name,
                                                     const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Family<prometheus::Gauge>& AddGauges(prometheus::Registry* registry,
                                                 const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry);
}

prometheus::Family<prometheus::Histogram>& AddHistograms(prometheus::Registry* registry,
                                                         const std::string& name,
                                                         const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(*registry);
}

/// Brings a counter that is kept elsewhere to its `total`.
void RaiseTo(double total, prometheus::Counter* counter) {
  counter->Increment(total - counter->Value());
}

}  // namespace

std::string_view NameOf(RequestOutcome outcome) {
  return kOutcomes.at(static_cast<size_t>(outcome));
}

std::string_view NameOf(AttemptResult result) {
  return kAttemptResults.at(static_cast<size_t>(result));
}

NodeMetrics::NodeMetrics()
    : requests_(AddCounters(&registry_, "ladderstream_requests_total",
                            "Callers' requests by route, outcome and result code.")),
      request_seconds_(AddHistograms(&registry_, "ladderstream_request_seconds",
                                     "Time from a request's arrival to its end.")),
      calls_(AddCounters(&registry_, "ladderstream_calls_total",
                         "Calls that the node made for itself, by result.")),
      backends_(AddGauges(&registry_, "ladderstream_backends", "Back ends by state.")),
      omitted_(AddCounters(&registry_, "ladderstream_log_lines_omitted_total",
                           "Log lines left out, by their kind and why.")),
      store_calls_(
          AddCounters(&registry_, "ladderstream_store_calls_total",
                      "Calls to the metadata store by kind; unanswered ones count twice.")),
      peer_messages_(AddCounters(&registry_, "ladderstream_peer_messages_total",
                                 "Messages to other nodes, by what they carry and their zone.")),
      permits_(AddCounters(&registry_, "ladderstream_permits_total",
                           "Permits for back ends with limits that this node was asked for.")),
      losses_(AddCounters(&registry_, "ladderstream_losses_total",
                          "Losses of requests at back ends, by what this node learned of them.")),
      peer_bytes_(AddCounters(&registry_, "ladderstream_peer_bytes_total",
                              "Bytes of the messages to other nodes.")),
      not_understood_(&AddCounters(&registry_, "ladderstream_not_understood_total",
                                   "What back ends and the store said that was understood in part "
                                   "or not at all, by kind."),
                      "kind"),
      beliefs_(&AddCounters(&registry_, "ladderstream_beliefs_total",
                            "Changes of what the node believes."),
               "belief"),
      connections_(&AddCounters(&registry_, "ladderstream_backend_connection_events_total",
                                "Connections to back ends: opened, and closed by their cause."),
                   "event") {
  auto& stages = AddHistograms(&registry_, "ladderstream_stage_seconds",
                               "Time that requests and attempts spent in a stage.");
  for (const std::string_view stage : kStages) {
    stages_.push_back(&stages.Add({{"stage", std::string(stage)}}, Seconds()));
  }
  auto& attempts =
      AddCounters(&registry_, "ladderstream_attempts_total", "Attempts at back ends by purpose.");
  for (const std::string_view purpose : kPurposes) {
    attempts_.push_back(&attempts.Add({{"purpose", std::string(purpose)}}));
  }
  auto& ends = AddCounters(&registry_, "ladderstream_attempt_ends_total",
                           "Attempts at back ends by how they ended.");
  for (const std::string_view result : kAttemptResults) {
    attempt_ends_.push_back(&ends.Add({{"result", std::string(result)}}));
  }
}

void NodeMetrics::SetRoutes(const std::vector<std::string>& routes) {
  const std::set<std::string_view> in_force(routes.begin(), routes.end());
  for (auto route = routes_.begin(); route != routes_.end();) {
    if (in_force.contains(route->first)) {
      ++route;
      continue;
    }
    RemoveSeries(route->second);
    route = routes_.erase(route);
  }
  for (const std::string& route : routes) {
    if (routes_.size() >= kMostLabelValues) {
      return;
    }
    routes_.try_emplace(route);
  }
}

void NodeMetrics::CountRequest(std::string_view route, RequestOutcome outcome, ResultCode code,
                               Duration elapsed) {
  RouteSeries& series = SeriesOf(route);
  const std::string label = &series == &other_route_ ? kOther : std::string(route);
  prometheus::Counter*& count = series.requests[{outcome, code}];
  if (count == nullptr) {
    count = &requests_.Add({{"route", label},
                            {"outcome", std::string(NameOf(outcome))},
                            {"code", std::string(ladderstream::NameOf(code))}});
  }
  count->Increment();
  const bool answered = outcome == RequestOutcome::kAnswered;
  prometheus::Histogram*& seconds = answered ? series.answered : series.failed;
  if (seconds == nullptr) {
    seconds = &request_seconds_.Add(
        {{"route", label}, {"result", answered ? "answered" : "failed"}}, Seconds());
  }
  seconds->Observe(absl::ToDoubleSeconds(elapsed));
}

void NodeMetrics::CountStage(RequestStage stage, Duration elapsed) {
  stages_.at(static_cast<size_t>(stage))->Observe(absl::ToDoubleSeconds(elapsed));
}

void NodeMetrics::CountAttempt(AttemptPurpose purpose) {
  attempts_.at(static_cast<size_t>(purpose))->Increment();
}

void NodeMetrics::CountAttemptEnd(AttemptResult result) {
  attempt_ends_.at(static_cast<size_t>(result))->Increment();
}

void NodeMetrics::CountCall(std::string_view call, std::string_view result) {
  std::pair<std::string, std::string> labels{call, result};
  if (!call_counts_.contains(labels) && call_counts_.size() >= kMostLabelValues) {
    labels = {kOther, kOther};
  }
  prometheus::Counter*& count = call_counts_[labels];
  if (count == nullptr) {
    count = &calls_.Add({{"call", labels.first}, {"result", labels.second}});
  }
  count->Increment();
}

void NodeMetrics::CountNotUnderstood(std::string_view kind) { not_understood_.Increment(kind); }

void NodeMetrics::CountBelief(std::string_view belief) { beliefs_.Increment(belief); }

void NodeMetrics::CountConnection(std::string_view event) { connections_.Increment(event); }

void NodeMetrics::BoundedCounters::Increment(std::string_view value) {
  const bool fits = counters_.contains(value) || counters_.size() < kMostLabelValues;
  const std::string label_value = fits ? std::string(value) : kOther;
  prometheus::Counter*& counter = counters_[label_value];
  if (counter == nullptr) {
    counter = &family_->Add({{label_, label_value}});
  }
  counter->Increment();
}

std::string NodeMetrics::Text(const NodeState& state, const EventBudget& budget) {
  SetGauges(state);
  SetBackends(state.backends);
  SetPeerMessages(state.peer_messages);
  for (const auto& [kind, count] : state.store_calls) {
    RaiseTo(static_cast<double>(count), &store_calls_.Add({{"kind", kind}}));
  }
  SetOmissions(budget);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

NodeMetrics::RouteSeries& NodeMetrics::SeriesOf(std::string_view route) {
  const auto found = routes_.find(route);
  return found == routes_.end() ? other_route_ : found->second;
}

void NodeMetrics::RemoveSeries(const RouteSeries& series) {
  for (const auto& [labels, count] : series.requests) {
    requests_.Remove(count);
  }
  for (prometheus::Histogram* const seconds : {series.answered, series.failed}) {
    if (seconds != nullptr) {
      request_seconds_.Remove(seconds);
    }
  }
}

void NodeMetrics::SetGauges(const NodeState& state) {
  SetGauge("ladderstream_configuration_version", "Version of the configuration in force; 0: none.",
           static_cast<double>(state.configuration_version));
  SetGauge("ladderstream_configuration_age_seconds",
           "Since the configuration was last known to be the newest.",
           absl::ToDoubleSeconds(state.configuration_age));
  SetGauge("ladderstream_configuration_watch_age_seconds",
           "How long this node's own watch of the configuration has been waiting; 0: none is open.",
           absl::ToDoubleSeconds(state.configuration_watch_age));
  SetGauge("ladderstream_backend_news_age_seconds",
           "How old the last change of registrations may have been when it was heard.",
           absl::ToDoubleSeconds(state.backend_news_age));
  SetGauge("ladderstream_leave_bound_seconds",
           "How late a request may reach a back end that leaves, by the settings.",
           absl::ToDoubleSeconds(state.leave_bound));
  SetGauge("ladderstream_map_epoch", "Epoch of the ownership map in force; grows with each holder.",
           static_cast<double>(state.map_epoch));
  SetGauge("ladderstream_map_sequence", "Place of the ownership map in force within its epoch.",
           static_cast<double>(state.map_sequence));
  SetGauge("ladderstream_map_age_seconds", "Since the map was last known to be the newest.",
           absl::ToDoubleSeconds(state.map_age));
  SetGauge("ladderstream_holds_lease", "1 if this node coordinates ownership.",
           state.holds_lease ? 1 : 0);
  SetGauge("ladderstream_store_troubled", "1 if the metadata store was not well lately.",
           state.store_troubled ? 1 : 0);
  SetGauge("ladderstream_ready", "1 if the node calls itself ready for callers.",
           state.ready ? 1 : 0);
  SetGauge("ladderstream_requests_in_flight", "Callers' requests without an answer.",
           static_cast<double>(state.requests_in_flight));
  SetGauge("ladderstream_requests_queued", "Those of them that wait for a back end.",
           static_cast<double>(state.requests_queued));
  SetGauge("ladderstream_retry_budget_left", "Attempts beyond the first that are allowed now.",
           state.retry_budget_left);
  SetGauge("ladderstream_least_admission_share",
           "Share of its requests that the most limited service is let through.",
           state.least_admission_share);
  SetGauge("ladderstream_requests_held", "Requests that are refused since they crashed back ends.",
           static_cast<double>(state.requests_held));
  SetGauge("ladderstream_losses_open",
           "Losses of requests of which it is not settled whether their back ends ended.",
           static_cast<double>(state.losses_open));
  for (const auto& [meaning, count] : state.losses_settled) {
    RaiseTo(static_cast<double>(count), &losses_.Add({{"meaning", meaning}}));
  }
  SetGauge("ladderstream_backends_limited", "Back ends that have named a limit.",
           static_cast<double>(state.backends_limited));
  SetGauge("ladderstream_limits_per_second", "Requests a second that these take together.",
           state.limits_per_second);
  RaiseTo(static_cast<double>(state.permits_granted), &permits_.Add({{"result", "granted"}}));
  RaiseTo(static_cast<double>(state.permits_denied), &permits_.Add({{"result", "denied"}}));
  SetGauge("ladderstream_loop_lag_seconds", "How far the event loop is behind.",
           absl::ToDoubleSeconds(state.loop_lag));
  SetGauge("ladderstream_caller_connections", "Open connections of callers.",
           static_cast<double>(state.caller_connections));
  SetGauge("ladderstream_requests_carried", "Requests of other nodes without an answer.",
           static_cast<double>(state.requests_carried));
  SetGauge("ladderstream_paths_cut", "Services, and services in one zone, that are not reached.",
           static_cast<double>(state.paths_cut));
  SetGauge("ladderstream_orders_relayed", "Back ends whose orders go through other nodes.",
           static_cast<double>(state.orders_relayed));
  SetGauge("ladderstream_backend_connections", "Open connections to back ends.",
           static_cast<double>(state.backend_connections));
  SetGauge("ladderstream_peers", "Other nodes that are heard of.",
           static_cast<double>(state.peers));
}

void NodeMetrics::SetBackends(const std::map<std::string, uint64_t>& backends) {
  for (const auto& [name, count] : backends) {
    if (backends.size() <= kMostLabelValues) {
      backends_.Add({{"state", name}}).Set(static_cast<double>(count));
    }
  }
}

void NodeMetrics::SetPeerMessages(const std::vector<PeerMessageCount>& counts) {
  for (const PeerMessageCount& count : counts) {
    const prometheus::Labels labels = {{"message", count.message}, {"zone", count.zone}};
    RaiseTo(static_cast<double>(count.messages), &peer_messages_.Add(labels));
    RaiseTo(static_cast<double>(count.bytes), &peer_bytes_.Add(labels));
  }
}

void NodeMetrics::SetOmissions(const EventBudget& budget) {
  for (size_t kind = 0; kind < kEventKindCount; ++kind) {
    for (size_t cause = 0; cause < kOmissionCauseCount; ++cause) {
      const auto event_kind = static_cast<EventKind>(kind);
      const auto omission_cause = static_cast<OmissionCause>(cause);
      const auto total = static_cast<double>(budget.TotalOmitted(event_kind, omission_cause));
      if (total > 0) {
        prometheus::Counter& count = omitted_.Add({{"kind", std::string(NameOf(event_kind))},
                                                   {"cause", std::string(NameOf(omission_cause))}});
        RaiseTo(total, &count);
      }
    }
  }
}

void NodeMetrics::SetGauge(const std::string& name, const std::string& help, double value) {
  prometheus::Gauge*& gauge = gauges_[name];
  if (gauge == nullptr) {
    gauge = &AddGauges(&registry_, name, help).Add({});
  }
  gauge->Set(value);
}

}  // namespace ladderstream::observability
