#include "standin/fleet/configuration_prober.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

/// Gives other request ids than those of the callers, who draw from the same seed.
constexpr uint64_t kSeedPurpose = 0x70726f6265;
constexpr char kHost[] = "probe.example";
constexpr size_t kRoutes = 4;
constexpr Duration kInterval = absl::Milliseconds(250);
/// Each node is asked for one route within this many intervals.
constexpr size_t kIntervalsPerTurn = 4;
/// After a version has to be in force.
constexpr Duration kMargins[] = {absl::Milliseconds(30), absl::Milliseconds(500),
                                 absl::Milliseconds(1500), absl::Milliseconds(3000)};
constexpr Duration kConnectWithin = absl::Milliseconds(500);
constexpr Duration kDeadline = absl::Seconds(2);
constexpr Duration kTimeout = absl::Seconds(1);
/// Of the larger part of a split.
constexpr double kLargeWeight = 3;

std::string PrefixOf(size_t route) { return absl::StrCat("/probe-", route, "/"); }

catalog::Route MakeRoute(size_t number, const std::string& service) {
  catalog::Route route;
  route.name = absl::StrCat("route-probe-", number);
  route.host = kHost;
  route.path_prefix = PrefixOf(number);
  route.repeatability = catalog::Repeatability::kRepeatable;
  route.timeout = kTimeout;
  route.target_latency = absl::Milliseconds(400);
  route.max_attempts = 2;
  route.priority = 1;
  route.targets = {{.service = service, .weight = 1}};
  return route;
}

std::vector<std::string> ServicesWithoutKeys(const catalog::Configuration& configuration) {
  std::vector<std::string> services;
  for (const auto& [name, service] : configuration.services) {
    if (!service.sharded) {
      services.push_back(name);
    }
  }
  return services;
}

/// Moves the route to the next of `services`, or splits it among the first two.
void Retarget(catalog::Route* route, const std::vector<std::string>& services, uint64_t choice) {
  constexpr uint64_t kSplitOneIn = 4;
  if (choice % kSplitOneIn == 0 && services.size() > 1) {
    route->targets = {{.service = services[0], .weight = kLargeWeight},
                      {.service = services[1], .weight = 1}};
    return;
  }
  const auto current = std::find(services.begin(), services.end(), route->targets.front().service);
  const size_t next = static_cast<size_t>(current - services.begin()) + 1;
  route->targets = {{.service = services[next % services.size()], .weight = 1}};
}

}  // namespace

void AddProbeRoutes(catalog::Configuration* configuration) {
  const std::vector<std::string> services = ServicesWithoutKeys(*configuration);
  for (size_t route = 0; route < kRoutes; ++route) {
    configuration->routes.push_back(MakeRoute(route, services[route % services.size()]));
  }
}

ConfigurationProber::ConfigurationProber(Fleet* fleet, uint64_t seed)
    : fleet_(fleet), random_(seed ^ kSeedPurpose) {}

void ConfigurationProber::Start() {
  idle_.resize(fleet_->nodes().size());
  fleet_->loop().Every(kInterval, [this] { AskInTurn(); });
}

void ConfigurationProber::Finish() {
  stopped_ = true;
  fleet_->loop().RunUntil([this] { return pending_ == 0; }, kConnectWithin + kDeadline);
}

void ConfigurationProber::AskInTurn() {
  for (size_t node = turn_ % kIntervalsPerTurn; node < idle_.size(); node += kIntervalsPerTurn) {
    Ask(node, random_() % kRoutes);
  }
  ++turn_;
}

void ConfigurationProber::AskAll() {
  for (size_t node = 0; node < idle_.size(); ++node) {
    for (size_t route = 0; route < kRoutes; ++route) {
      Ask(node, route);
    }
  }
}

void ConfigurationProber::ChangeRoute(uint64_t target) {
  catalog::Configuration next = fleet_->operators().newest();
  const size_t number = target % kRoutes;
  const std::string name = MakeRoute(number, "").name;
  const std::vector<std::string> services = ServicesWithoutKeys(next);
  const auto route = std::find_if(next.routes.begin(), next.routes.end(),
                                  [&name](const catalog::Route& one) { return one.name == name; });
  const uint64_t choice = random_();
  constexpr uint64_t kRemoveOneIn = 5;
  if (route == next.routes.end()) {
    next.routes.push_back(MakeRoute(number, services[choice % services.size()]));
  } else if (choice % kRemoveOneIn == 0) {
    next.routes.erase(route);
  } else {
    Retarget(&*route, services, choice / kRemoveOneIn);
  }
  if (!fleet_->operators().Write(next)) {
    return;
  }
  for (const Duration margin : kMargins) {
    fleet_->loop().After(fleet_->settings().bounds.config_apply + margin, [this] { AskAll(); });
  }
}

void ConfigurationProber::Ask(size_t node, size_t route) {
  if (stopped_) {
    return;
  }
  interfaces::HttpRequest request;
  request.method = "GET";
  request.target = absl::StrCat(PrefixOf(route), ++requests_);
  request.headers = {{"Host", kHost},
                     {wire::kRequestId, absl::StrFormat("%016x", random_())},
                     {wire::kDeadlineMs, absl::StrCat(absl::ToInt64Milliseconds(kDeadline))}};
  Attempt* attempt = &fleet_->history().attempts.emplace_back();
  attempt->request_class = "probe";
  attempt->request_id = FindHeader(request.headers, wire::kRequestId);
  attempt->host = kHost;
  attempt->target = request.target;
  attempt->node = node;
  attempt->digest = DigestOf(request.method, request.target, request.body);
  attempt->sent = EventLoop::Now();
  attempt->deadline = kDeadline;
  ++pending_;
  const HttpClientConnectionPtr connection = TakeConnection(node);
  connection->Call(request, kConnectWithin, kDeadline,
                   [this, node, attempt, connection](const CallResult& result) {
                     --pending_;
                     RecordEnd(result, attempt);
                     if (result.reusable) {
                       idle_[node].push_back(connection);
                     }
                   });
}

HttpClientConnectionPtr ConfigurationProber::TakeConnection(size_t node) {
  std::vector<HttpClientConnectionPtr>& idle = idle_[node];
  while (!idle.empty()) {
    HttpClientConnectionPtr connection = idle.back();
    idle.pop_back();
    if (connection->open()) {
      return connection;
    }
  }
  return HttpClientConnection::Make(&fleet_->loop(), fleet_->nodes().node(node).front);
}

}  // namespace ladderstream::fleet
