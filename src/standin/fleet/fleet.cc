#include "standin/fleet/fleet.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <stdexcept>

#include "standin/processes/ports.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kLongestCall = absl::Seconds(10);
/// A run of a back end takes no longer, but for one that is frozen.
constexpr Duration kLongestRun = absl::Seconds(2);
constexpr ownership::Key kKeyStep = 64;
/// Of a back end that ended under a request: too soon for two refused connections, 200 ms apart.
constexpr Duration kQuickRestart = absl::Milliseconds(120);
/// The platform starts another one elsewhere.
constexpr Duration kReplacement = absl::Seconds(2);

}  // namespace

Fleet::Fleet(const FleetSettings& settings) : settings_(settings), random_(settings.seed) {
  store_ = std::make_unique<StoreServer>(&loop_, settings.store);
  registry_ = std::make_unique<Registry>(&loop_, store_.get(), &history_, settings.heartbeat);
  config_writer_ = std::make_unique<ConfigWriter>(store_.get(), &history_);
  nodes_ = std::make_unique<NodePool>(&loop_, &random_, settings.readiness_interval);
  callers_ = std::make_unique<Callers>(&loop_, &random_, nodes_.get(), &history_);
  callers_->SetLongestRest(settings.configuration.limits.idle_timeout * 0.8);
  config_writer_->Write(settings.configuration);
  for (const ServiceSpec& spec : settings.services) {
    for (size_t zone = 0; zone < settings.zones.size(); ++zone) {
      const uint32_t count = zone < spec.backends_by_zone.size() ? spec.backends_by_zone[zone]
                                                                 : spec.backends_per_zone;
      for (uint32_t i = 0; i < count; ++i) {
        AddBackend(spec.name, settings.zones[zone]);
      }
    }
  }
}

const ServiceSpec& Fleet::Spec(const std::string& service) const {
  const auto found = std::find_if(settings_.services.begin(), settings_.services.end(),
                                  [&](const ServiceSpec& spec) { return spec.name == service; });
  if (found == settings_.services.end()) {
    throw std::invalid_argument(absl::StrCat("no service ", service));
  }
  return *found;
}

Backend& Fleet::AddBackend(const std::string& service, const std::string& zone) {
  // Not one of the ports that the system gives to outgoing connections: when this one has ended,
  // another must be able to listen there.
  return AddBackend(service, zone, standin::FreeEndpoint());
}

Backend& Fleet::AddBackend(const std::string& service, const std::string& zone,
                           const Endpoint& listen) {
  return AddBackend(MakeContext(), service, zone, listen);
}

BackendContext Fleet::MakeContext() {
  BackendContext context;
  context.loop = &loop_;
  context.registry = registry_.get();
  context.history = &history_;
  context.random = &random_;
  context.on_ended = [this](const Backend& ended, RequestedEnd end) {
    OnEndedByRequest(ended, end);
  };
  return context;
}

Backend& Fleet::AddBackend(const BackendContext& context, const std::string& service,
                           const std::string& zone, const Endpoint& listen) {
  backends_.push_back(
      std::make_unique<Backend>(context, Spec(service), &ledgers_[service], zone, listen));
  if (!cut_sources_.empty()) {
    backends_.back()->CutOff(cut_sources_, cut_mode_);
  }
  return *backends_.back();
}

void Fleet::CutOffFromBackends(const std::set<size_t>& nodes, CutMode mode) {
  const Time now = EventLoop::Now();
  for (PathCut& cut : history_.path_cuts) {
    cut.until = std::min(cut.until, now);
  }
  if (!nodes.empty()) {
    history_.path_cuts.push_back({.nodes = nodes, .from = now});
  }
  for (Disturbance& disturbance : history_.disturbances) {
    if (disturbance.kind == DisturbanceKind::kBackendPath) {
      disturbance.until = std::min(disturbance.until, now);
    }
  }
  cut_sources_.clear();
  for (const size_t node : nodes) {
    history_.disturbances.push_back(
        {.from = now, .node = node, .kind = DisturbanceKind::kBackendPath});
    cut_sources_.insert(sources_.at(node));
  }
  cut_mode_ = mode;
  for (const auto& backend : backends_) {
    if (!backend->ended()) {
      backend->CutOff(cut_sources_, mode);
    }
  }
}

Backend& Fleet::Replace(const Backend& ended, const std::string& service) {
  return AddBackend(service, ended.zone(), ended.address());
}

Backend& Fleet::Restart(const Backend& ended) {
  BackendContext context = MakeContext();
  context.name = ended.id();
  context.started_ms = absl::ToUnixMillis(absl::Now());
  return AddBackend(context, ended.service(), ended.zone(), ended.address());
}

void Fleet::OnEndedByRequest(const Backend& ended, RequestedEnd end) {
  if (end == RequestedEnd::kRestarting) {
    loop_.After(kQuickRestart, [this, &ended] { Restart(ended); });
  } else {
    loop_.After(kReplacement, [this, &ended] { AddBackend(ended.service(), ended.zone()); });
  }
}

std::vector<Backend*> Fleet::backends(const std::string& service) {
  std::vector<Backend*> found;
  for (const auto& backend : backends_) {
    if (backend->service() == service && !backend->ended()) {
      found.push_back(backend.get());
    }
  }
  return found;
}

Backend* Fleet::OwnerOf(const std::string& service, ownership::Key key) {
  const auto living = backends(service);
  const auto found = std::find_if(living.begin(), living.end(),
                                  [key](const Backend* one) { return one->Holds(key); });
  return found == living.end() ? nullptr : *found;
}

bool Fleet::AllKeysHeld() {
  for (const ServiceSpec& spec : settings_.services) {
    for (ownership::Key key = 0; spec.sharded && key <= ownership::kLastKey; key += kKeyStep) {
      if (OwnerOf(spec.name, key) == nullptr) {
        return false;
      }
    }
  }
  return true;
}

void Fleet::Disturb() {
  history_.disturbances.push_back({.from = EventLoop::Now(), .until = absl::InfiniteFuture()});
}

void Fleet::DisturbFor(Duration time, std::optional<size_t> node, DisturbanceKind kind) {
  const Time now = EventLoop::Now();
  history_.disturbances.push_back({.from = now, .until = now + time, .node = node, .kind = kind});
}

void Fleet::Calm() {
  for (Disturbance& disturbance : history_.disturbances) {
    disturbance.until = std::min(disturbance.until, EventLoop::Now());
  }
}

void Fleet::FinishCalls() {
  callers_->Stop();
  loop_.RunUntil([this] { return callers_->pending() == 0; }, kLongestCall);
  loop_.RunUntil([this] { return CountUnfinished(history_) == 0; }, kLongestRun);
}

}  // namespace ladderstream::fleet
