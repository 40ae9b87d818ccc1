#include "daemon/metrics/node_metrics.h"

#include <absl/strings/str_cat.h>

#include <exception>
#include <string>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::metrics {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using replication::Role;

/// Upper bounds of the outages' histogram, in seconds.
const prometheus::Histogram::BucketBoundaries kOutageBounds = {0.01, 0.05, 0.1, 0.25, 0.5,
                                                               1,    1.5,  2,   5,    10};

std::string_view NameOfRole(Role role) {
  switch (role) {
    case Role::kIdle:
      return "idle";
    case Role::kLearner:
      return "learner";
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "pre_candidate";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "unknown";
}

MetricFamily MakeFamily(const std::string& name, const std::string& help, MetricType type) {
  MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = type;
  return family;
}

void AddValue(MetricFamily* family, std::vector<ClientMetric::Label> labels, double value) {
  ClientMetric metric;
  metric.label = std::move(labels);
  metric.gauge.value = value;
  metric.counter.value = value;
  family->metric.push_back(std::move(metric));
}

void AddSingle(std::vector<MetricFamily>* families, const std::string& name,
               const std::string& help, MetricType type, double value) {
  MetricFamily family = MakeFamily(name, help, type);
  AddValue(&family, {}, value);
  families->push_back(std::move(family));
}

ClientMetric::Label MakeLabel(const std::string& name, std::string_view value) {
  ClientMetric::Label label;
  label.name = name;
  label.value = std::string(value);
  return label;
}

std::string_view NameOfDirection(peer::Direction direction) {
  return direction == peer::Direction::kSent ? "sent" : "received";
}

}  // namespace

std::vector<MetricFamily> NodeCollector::Collect() const {
  std::vector<MetricFamily> families;
  AddAuthority(&families);
  AddTraffic(&families);
  AddControl(&families);
  return families;
}

void NodeCollector::AddAuthority(std::vector<MetricFamily>* families) const {
  const authority::AuthorityStatus status = sources_.status();
  const auto number = [](uint64_t value) { return static_cast<double>(value); };
  AddSingle(families, "ladderstream_revision_in_force",
            "Configuration revision in force on this node.", MetricType::Gauge,
            number(status.revision.value()));
  AddSingle(families, "ladderstream_term", "Term of the replica group.", MetricType::Gauge,
            number(status.term));
  AddSingle(families, "ladderstream_generation", "Generation of the replica group.",
            MetricType::Gauge, number(status.generation));
  AddSingle(families, "ladderstream_commit_index", "Last committed entry.", MetricType::Gauge,
            number(status.commit_index));
  AddSingle(families, "ladderstream_confirmed_age_seconds",
            "Time since the revision in force was last confirmed as the newest.", MetricType::Gauge,
            absl::ToDoubleSeconds(status.confirmed_age));
  AddSingle(families, "ladderstream_live_nodes", "Nodes reporting, as the leader sees it.",
            MetricType::Gauge, number(status.nodes.size()));
  MetricFamily role =
      MakeFamily("ladderstream_role", "1 for the role that this node has.", MetricType::Gauge);
  AddValue(&role, {MakeLabel("role", NameOfRole(status.role))}, 1);
  families->push_back(std::move(role));

  MetricFamily imbalance =
      MakeFamily("ladderstream_load_imbalance",
                 "Rate of a service's busiest back end over the mean, as the leader sees it.",
                 MetricType::Gauge);
  const auto routing = sources_.routing();
  for (const auto& [service, value] : LoadImbalance(routing->configuration, status.nodes)) {
    AddValue(&imbalance, {MakeLabel("service", service.value())}, value);
  }
  families->push_back(std::move(imbalance));
}

void NodeCollector::AddTraffic(std::vector<MetricFamily>* families) const {
  MetricFamily bytes = MakeFamily("ladderstream_peer_bytes_total",
                                  "Bytes between nodes, by kind and purpose.", MetricType::Counter);
  MetricFamily messages =
      MakeFamily("ladderstream_peer_messages_total", "Messages between nodes, by kind and purpose.",
                 MetricType::Counter);
  for (const peer::Direction direction : {peer::Direction::kSent, peer::Direction::kReceived}) {
    for (peer::MessageKind kind = 0; kind < peer::kMessageKinds; ++kind) {
      const peer::Traffic::Count count = sources_.traffic->Messages(direction, kind);
      const std::vector<ClientMetric::Label> labels = {
          MakeLabel("direction", NameOfDirection(direction)),
          MakeLabel("purpose", peer::IsForwarding(kind) ? "forwarding" : "control"),
          MakeLabel("kind", peer::NameOfKind(kind))};
      AddValue(&bytes, labels, static_cast<double>(count.bytes));
      AddValue(&messages, labels, static_cast<double>(count.messages));
    }
  }
  families->push_back(std::move(bytes));
  families->push_back(std::move(messages));

  MetricFamily errors = MakeFamily("ladderstream_peer_errors_total",
                                   "Errors between nodes, by cause.", MetricType::Counter);
  for (size_t cause = 0; cause < peer::kErrorCauses; ++cause) {
    const auto error = static_cast<peer::ErrorCause>(cause);
    AddValue(&errors, {MakeLabel("cause", peer::NameOfCause(error))},
             static_cast<double>(sources_.traffic->Errors(error)));
  }
  families->push_back(std::move(errors));
}

void NodeCollector::AddControl(std::vector<MetricFamily>* families) const {
  AddSingle(families, "ladderstream_control_processor_seconds_total",
            "Processor time of the control loop's thread.", MetricType::Counter,
            absl::ToDoubleSeconds(sources_.control_processor_time()));
  AddSingle(families, "ladderstream_control_events_dropped_total",
            "Messages dropped because too many waited for the control loop.", MetricType::Counter,
            static_cast<double>(sources_.control_events_dropped()));
  AddSingle(families, "ladderstream_control_events_failed_total",
            "Events that the control loop could not handle.", MetricType::Counter,
            static_cast<double>(sources_.control_events_failed()));
}

OwnershipMetrics::OwnershipMetrics(prometheus::Registry* registry)
    : owner_changes_(prometheus::BuildCounter()
                         .Name("ladderstream_owner_changes_total")
                         .Help("Shards that got another owner, counted by the leader.")
                         .Register(*registry)),
      outages_(prometheus::BuildHistogram()
                   .Name("ladderstream_shard_unavailable_seconds")
                   .Help("Time without an owner, as the leader sees it: from the order to stop, "
                         "or from when a lost owner last asked for its lease, to the next grant.")
                   .Register(*registry)),
      without_owner_(prometheus::BuildGauge()
                         .Name("ladderstream_shards_without_owner")
                         .Help("Shards that nobody owns, as this node sees it.")
                         .Register(*registry)) {}

void OwnershipMetrics::NoteLeaseRequest(const LeaseRequest& request, Time now) {
  measures_.NoteLeaseRequest(request.backend, request.incarnation, now);
}

void OwnershipMetrics::Observe(const authority::RoutingState& routing, Time now, bool leads) {
  const OwnershipChanges changes = measures_.Observe(routing, now);
  for (const auto& [service, count] : changes.without_owner) {
    without_owner_.Add({{"service", service.value()}}).Set(static_cast<double>(count));
  }
  if (!leads) {
    return;
  }
  for (const auto& [service, count] : changes.owner_changes) {
    owner_changes_.Add({{"service", service.value()}}).Increment(static_cast<double>(count));
  }
  for (const Outage& outage : changes.outages) {
    const std::string cause = outage.planned ? "planned" : "lost";
    outages_.Add({{"service", outage.service.value()}, {"cause", cause}}, kOutageBounds)
        .Observe(absl::ToDoubleSeconds(outage.length));
  }
}

MetricsServer::MetricsServer(const Endpoint& bind, std::shared_ptr<prometheus::Registry> registry,
                             Sources sources)
    : registry_(std::move(registry)),
      collector_(std::make_shared<NodeCollector>(std::move(sources))) {
  constexpr size_t kThreads = 2;
  try {
    exposer_ = std::make_unique<prometheus::Exposer>(FormatEndpoint(bind), kThreads);
  } catch (const std::exception& error) {
    throw Error(ResultCode::kInvalidSetting,
                absl::StrCat("can't serve metrics at ", FormatEndpoint(bind), ": ", error.what()));
  }
  exposer_->RegisterCollectable(registry_);
  exposer_->RegisterCollectable(collector_);
}

}  // namespace ladderstream::metrics
