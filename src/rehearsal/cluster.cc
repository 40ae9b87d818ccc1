#include "rehearsal/cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "rehearsal/http_caller.h"
#include "rehearsal/ports.h"
#include "standin/support/boot_time.h"
#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

using standin::BootTimeNow;

constexpr absl::Duration kStartTimeout = absl::Seconds(15);
constexpr absl::Duration kCheckDeadline = absl::Seconds(1);
/// A back end that is leaving gets no new work after this.
constexpr absl::Duration kLeavingGrace = absl::Seconds(3);
constexpr char kPlatform[] = "platform";
constexpr char kCallerProxy[] = "caller-proxy";
constexpr char kJson[] = "application/json";

std::string Quoted(const Endpoint& endpoint) {
  return absl::StrCat("\"", FormatEndpoint(endpoint), "\"");
}

std::string Milliseconds(absl::Duration duration) {
  return absl::StrCat(absl::ToDoubleMilliseconds(duration));
}

// Some seconds of SIGSTOP must not pass for readiness, so each check has a short time-out.
nlohmann::json GetJson(const Endpoint& endpoint, const std::string& path) {
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_read_timeout(absl::ToChronoMicroseconds(kCheckDeadline));
  const auto answer = client.Get(path);
  return answer ? nlohmann::json::parse(answer->body, nullptr, /*allow_exceptions=*/false)
                : nlohmann::json();
}

}  // namespace

Cluster::Cluster(const ClusterSettings& settings)
    : settings_(settings),
      table_(FreeEndpoint()),
      objects_(FreeEndpoint()),
      machines_(FreeEndpoint()),
      platform_control_(FreeEndpoint()),
      operators_(&processes_, Program("ladderstreamd_ctl")) {
  const DeploymentSpec& deployment = settings_.deployment;
  for (const std::string& zone : deployment.zones) {
    for (uint32_t i = 0; i < settings_.nodes_per_zone; ++i) {
      nodes_.push_back(Node{.name = absl::StrCat("node-", nodes_.size()),
                            .zone = zone,
                            .peer = FreeEndpoint(),
                            .http = FreeEndpoint(),
                            .operators = FreeEndpoint(),
                            .metrics = FreeEndpoint(),
                            .callers = FreeEndpoint()});
      operators_.AddNode(nodes_.back().operators);
    }
  }
  for (const ServiceSpec& service : settings_.deployment.services) {
    for (uint32_t i = 0; i < service.backend_count; ++i) {
      backends_.push_back(Backend{.name = BackendName(service, i),
                                  .zone = deployment.zones[i % deployment.zones.size()],
                                  .endpoint = FreeEndpoint(),
                                  .service = &service});
    }
  }
}

std::string Cluster::Program(const std::string& name) const {
  return (settings_.binaries / name).string();
}

// --- Start. -------------------------------------------------------------------------------------

void Cluster::StartNodes() {
  StartPlatform();
  for (const Node& node : nodes_) {
    StartNode(node);
  }
  if (settings_.caller_delays) {
    StartCallerProxy();
  }
  for (const Node& node : nodes_) {
    Await(
        absl::StrCat(node.name, " to be up"),
        [&node] { return HttpAnswers(node.http, "/healthz"); }, kStartTimeout);
  }
}

void Cluster::StartBackends() {
  for (const Backend& backend : backends_) {
    StartBackend(backend);
  }
  for (const Backend& backend : backends_) {
    Await(
        absl::StrCat(backend.name, " to be up"),
        [&backend] { return HttpAnswers(backend.endpoint, "/status"); }, kStartTimeout);
  }
}

void Cluster::StartPlatform() {
  processes_.Start({.name = kPlatform,
                    .program = Program("standin_platform"),
                    .arguments = {absl::StrCat("--table=", FormatEndpoint(table_)),
                                  absl::StrCat("--objects=", FormatEndpoint(objects_)),
                                  absl::StrCat("--machines=", FormatEndpoint(machines_)),
                                  absl::StrCat("--control=", FormatEndpoint(platform_control_))}});
  Await(
      "the platform stand-in to be up",
      [this] { return HttpAnswers(platform_control_, "/control"); }, kStartTimeout);
}

void Cluster::StartNode(const Node& node) {
  const auto file = processes_.WriteFile(absl::StrCat(node.name, ".toml"), NodeSettings(node));
  processes_.Start({.name = node.name,
                    .program = Program("ladderstreamd"),
                    .arguments = {absl::StrCat("--settings=", file.string())}});
}

std::string Cluster::NodeSettings(const Node& node) const {
  std::vector<std::string> seeds;
  for (const Node& other : nodes_) {
    if (other.name != node.name) {
      seeds.push_back(Quoted(other.peer));
    }
  }
  return absl::StrCat(
      "[node]\nname = \"", node.name, "\"\nregion = \"", settings_.deployment.region,
      "\"\nzone = \"", node.zone, "\"\npeer = ", Quoted(node.peer), "\nhttp = ", Quoted(node.http),
      "\noperators = ", Quoted(node.operators), "\nmetrics = ", Quoted(node.metrics), "\nseeds = [",
      absl::StrJoin(seeds, ", "), "]\n\n[platform]\ntable_service = ", Quoted(table_),
      "\nobject_store = ", Quoted(objects_), "\nmachine_list = ", Quoted(machines_), "\n");
}

void Cluster::StartBackend(const Backend& backend) {
  const DeploymentSpec& deployment = settings_.deployment;
  const ServiceConfiguration& service = backend.service->configuration;
  const bool by_key = service.routing == RoutingKind::kByKey;
  const auto record = processes_.directory() / absl::StrCat(backend.name, ".record");
  constexpr uint32_t kBodyBytes = 1024;
  constexpr double kColdFactor = 3;
  constexpr int kColdMilliseconds = 1500;
  processes_.Start(
      {.name = backend.name,
       .program = Program("standin_backend"),
       .arguments = {
           absl::StrCat("--id=", backend.name), absl::StrCat("--service=", service.name.value()),
           absl::StrCat("--routing=", by_key ? "key" : "load"),
           absl::StrCat("--zone=", backend.zone),
           absl::StrCat("--listen=", FormatEndpoint(backend.endpoint)),
           absl::StrCat("--nodes=", NodesFor(backend)),
           absl::StrCat("--range_count=", service.range_count),
           absl::StrCat("--slots=", deployment.slots),
           absl::StrCat("--max_connections=", deployment.max_connections),
           absl::StrCat("--connect_cost_ms=", Milliseconds(deployment.connect_cost)),
           absl::StrCat("--probe_cost_ms=", Milliseconds(deployment.probe_cost)),
           absl::StrCat("--service_time_ms=", Milliseconds(backend.service->service_time)),
           "--service_time_distribution=uniform", absl::StrCat("--cold_factor=", kColdFactor),
           absl::StrCat("--cold_ms=", kColdMilliseconds), absl::StrCat("--body_bytes=", kBodyBytes),
           absl::StrCat("--record_file=", record.string()),
           absl::StrCat("--seed=", settings_.seed)}});
}

// The nodes of its own zone first.
std::string Cluster::NodesFor(const Backend& backend) const {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const Node& node : nodes_) {
    (node.zone == backend.zone ? near : far).push_back(FormatEndpoint(node.http));
  }
  near.insert(near.end(), far.begin(), far.end());
  return absl::StrJoin(near, ",");
}

void Cluster::StartCallerProxy() {
  std::vector<std::string> links;
  for (const Node& node : nodes_) {
    links.push_back(
        absl::StrCat(node.name, "=", FormatEndpoint(node.callers), "/", FormatEndpoint(node.http)));
  }
  const Endpoint control = FreeEndpoint();
  processes_.Start({.name = kCallerProxy,
                    .program = Program("standin_fault_proxy"),
                    .arguments = {absl::StrCat("--control=", FormatEndpoint(control)),
                                  absl::StrCat("--links=", absl::StrJoin(links, ","))}});
  Await(
      "the fault proxy to be up", [&control] { return HttpAnswers(control, "/control"); },
      kStartTimeout);
  const double delay_ms = absl::ToDoubleMilliseconds(settings_.deployment.caller_delay);
  httplib::Client client(control.host, control.port);
  const nlohmann::json change = {{"link", "node-"}, {"faults", {{"delay_ms", delay_ms}}}};
  const auto answer = client.Post("/control", change.dump(), kJson);
  constexpr int kOkStatus = 200;
  if (!answer || answer->status != kOkStatus) {
    throw Error(ResultCode::kInternal, "the fault proxy refused the callers' delay");
  }
}

void Cluster::Await(const std::string& what, const std::function<bool()>& condition,
                    absl::Duration timeout) {
  if (!WaitUntil(condition, timeout)) {
    throw Error(ResultCode::kInternal,
                absl::StrCat("waited ", absl::FormatDuration(timeout), " in vain for ", what));
  }
}

// --- Declaration and readiness. -----------------------------------------------------------------

void Cluster::Declare() {
  std::vector<ServiceConfiguration> services;
  for (const ServiceSpec& service : settings_.deployment.services) {
    services.push_back(service.configuration);
  }
  std::vector<BackendConfiguration> backends;
  for (const Backend& backend : backends_) {
    BackendConfiguration configuration;
    configuration.id = BackendId(backend.name);
    configuration.service = backend.service->configuration.name;
    configuration.zone = backend.zone;
    configuration.endpoint = backend.endpoint;
    configuration.slots = settings_.deployment.slots;
    configuration.max_connections = settings_.deployment.max_connections;
    backends.push_back(configuration);
  }
  operators_.Declare(services, backends);
}

void Cluster::WaitUntilServing(absl::Duration timeout) {
  const absl::Time give_up = absl::Now() + timeout;
  for (const Backend& backend : backends_) {
    Await(
        absl::StrCat(backend.name, " to be granted keys"),
        [this, &backend] { return HoldsGrants(backend); }, give_up - absl::Now());
  }
  for (const Node& node : nodes_) {
    for (const ServiceSpec& service : settings_.deployment.services) {
      Await(
          absl::StrCat(service.configuration.name.value(), " to answer at ", node.name),
          [this, &node, &service] { return ServiceAnswers(node, service); }, give_up - absl::Now());
    }
  }
}

bool Cluster::HoldsGrants(const Backend& backend) const {
  if (backend.service->configuration.routing == RoutingKind::kByLoad) {
    return true;
  }
  const nlohmann::json status = GetJson(backend.endpoint, "/status");
  return status.is_object() && !status["grants"].empty();
}

bool Cluster::ServiceAnswers(const Node& node, const ServiceSpec& service) {
  const RequestKind& kind = service.kinds.front();
  HttpCaller caller({node.http}, 0);
  CallAttempt attempt;
  attempt.call_id = absl::StrCat("check-", ++checks_);
  attempt.service = kind.service;
  attempt.request = kind.request;
  attempt.repeatable = kind.repeatable;
  attempt.key = absl::StrCat(kind.key_prefix, checks_ % kind.key_count);
  return caller.Send(attempt, kCheckDeadline).outcome == Outcome::kAnswered;
}

std::string Cluster::OwnerOf(const std::string& service, const std::string& key) {
  CallAttempt attempt;
  attempt.call_id = absl::StrCat("check-", ++checks_);
  attempt.service = service;
  attempt.key = key;
  for (const ServiceSpec& spec : settings_.deployment.services) {
    if (spec.configuration.name.value() == service) {
      attempt.request = spec.kinds.front().request;
    }
  }
  for (const Node& node : nodes_) {
    HttpCaller caller({node.http}, 0);
    const CallResult result = caller.Send(attempt, kCheckDeadline);
    if (result.outcome == Outcome::kAnswered) {
      return result.backend;
    }
    ++attempt.attempt;
  }
  throw Error(ResultCode::kNoOwner, absl::StrCat("nobody answered for ", key));
}

// --- Questions. ---------------------------------------------------------------------------------

std::vector<Endpoint> Cluster::CallerEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (const Node& node : nodes_) {
    endpoints.push_back(settings_.caller_delays ? node.callers : node.http);
  }
  return endpoints;
}

std::vector<std::string> Cluster::NodeNames() const {
  std::vector<std::string> names;
  std::transform(nodes_.begin(), nodes_.end(), std::back_inserter(names),
                 [](const Node& node) { return node.name; });
  return names;
}

std::vector<std::string> Cluster::BackendNames(RoutingKind routing) const {
  std::vector<std::string> names;
  for (const Backend& backend : backends_) {
    if (backend.service->configuration.routing == routing) {
      names.push_back(backend.name);
    }
  }
  return names;
}

const Cluster::Backend& Cluster::FindBackend(const std::string& name) const {
  const auto found = std::find_if(backends_.begin(), backends_.end(),
                                  [&name](const Backend& backend) { return backend.name == name; });
  if (found == backends_.end()) {
    throw Error(ResultCode::kUnknownName, absl::StrCat("no back end is named ", name));
  }
  return *found;
}

Endpoint Cluster::BackendEndpoint(const std::string& backend) const {
  return FindBackend(backend).endpoint;
}

void Cluster::ControlTable(const std::string& json_change) {
  nlohmann::json change = nlohmann::json::parse(json_change);
  change["target"] = "table";
  httplib::Client client(platform_control_.host, platform_control_.port);
  const auto answer = client.Post("/control", change.dump(), kJson);
  constexpr int kOkStatus = 200;
  if (!answer || answer->status != kOkStatus) {
    throw Error(ResultCode::kInternal, absl::StrCat("the platform refused ", change.dump()));
  }
}

// --- What the judge is told. --------------------------------------------------------------------

void Cluster::NotePresent(const std::string& backend) {
  if (present_.contains(backend)) {
    return;
  }
  present_[backend] = Presence{.backend = BackendId(backend),
                               .service = FindBackend(backend).service->configuration.name.value(),
                               .slots = settings_.deployment.slots,
                               .from = BootTimeNow(),
                               .until = absl::InfiniteFuture()};
}

void Cluster::NoteAbsent(const std::string& backend) { ClosePresence(backend, BootTimeNow()); }

void Cluster::ClosePresence(const std::string& backend, absl::Time until) {
  const auto found = present_.find(backend);
  if (found != present_.end()) {
    found->second.until = until;
    past_presence_.push_back(found->second);
    present_.erase(found);
  }
}

void Cluster::NoteLeaving(const std::string& backend) {
  leaving_[backend] = Leaving{.backend = BackendId(backend), .from = BootTimeNow() + kLeavingGrace};
}

void Cluster::NoteStaying(const std::string& backend) {
  const auto found = leaving_.find(backend);
  if (found != leaving_.end()) {
    found->second.until = BootTimeNow();
    past_leaving_.push_back(found->second);
    leaving_.erase(found);
  }
}

void Cluster::End() {
  const absl::Time now = BootTimeNow();
  while (!present_.empty()) {
    ClosePresence(std::string(present_.begin()->first), now);
  }
  // What back ends ran is in their records already.
  for (const std::string& name : processes_.Running()) {
    processes_.Kill(name);
  }
}

Evidence Cluster::CollectEvidence(CallerLog calls) {
  Evidence evidence;
  evidence.calls = std::move(calls);
  evidence.record = ReadBackendRecords(processes_.directory());
  evidence.presence = past_presence_;
  evidence.leaving = past_leaving_;
  for (const auto& [name, leaving] : leaving_) {
    evidence.leaving.push_back(leaving);
  }
  evidence.keyed_services = KeyedServices(settings_.deployment);
  return evidence;
}

}  // namespace ladderstream::rehearsal
