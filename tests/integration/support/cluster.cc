#include "support/cluster.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <httplib.h>
#include <sys/signal.h>

#include <algorithm>
#include <stdexcept>

#include "rehearsal/ports.h"

namespace ladderstream::integration {
namespace {

using rehearsal::FreeEndpoint;
using rehearsal::FreePort;

constexpr uint32_t kRangeCount = 16;
constexpr char kControlPath[] = "/control";
constexpr char kPlatform[] = "platform";
constexpr char kProxy[] = "proxy";
const std::vector<std::string> kZones = {"rennes", "brest", "vannes"};

std::string Program(const std::string& name) {
  return absl::StrCat(LADDERSTREAM_BINARY_DIR, "/", name);
}

std::string Flag(const std::string& name, const std::string& value) {
  return absl::StrCat("--", name, "=", value);
}

nlohmann::json PostControl(const Endpoint& endpoint, const nlohmann::json& change) {
  httplib::Client client(endpoint.host, endpoint.port);
  const auto answer = client.Post(kControlPath, change.dump(), "application/json");
  constexpr int kOk = 200;
  if (!answer || answer->status != kOk) {
    throw std::runtime_error(
        absl::StrCat("control refused ", change.dump(), ": ", answer ? answer->body : "no answer"));
  }
  return nlohmann::json::parse(answer->body);
}

v1::RequestRule Rule(const std::string& name, bool repeatable) {
  v1::RequestRule rule;
  rule.set_name(name);
  rule.set_repeatable(repeatable);
  return rule;
}

void AwaitAccepted(const std::string& what, const std::function<ChangeOutcome()>& change) {
  ChangeOutcome outcome;
  Await(what, [&] {
    outcome = change();
    // A change whose answer was lost on an earlier round may have been made.
    return outcome.Accepted() || outcome.code == ResultCode::kAlreadyExists;
  });
}

}  // namespace

void Await(const std::string& what, const std::function<bool()>& condition,
           absl::Duration timeout) {
  if (!rehearsal::WaitUntil(condition, timeout, absl::Milliseconds(20))) {
    throw std::runtime_error(absl::StrCat("waited in vain for ", what));
  }
}

Cluster::Cluster(const ClusterOptions& options) : options_(options) {
  if (getenv("LADDERSTREAM_KEEP_LOGS") != nullptr) {
    processes_.KeepDirectory();
  }
  PlaceNodes();
  PlaceBackends();
  StartProxy();
  StartPlatform();
  for (const NodePlace& place : nodes_) {
    StartNode(place);
  }
  for (const NodePlace& place : nodes_) {
    Await(absl::StrCat(place.name, " to answer"),
          [&] { return rehearsal::HttpAnswers(place.http, "/healthz"); });
  }
  WaitForLeader();
  for (const BackendPlace& place : backends_) {
    StartBackend(place);
  }
  DeclareServices();
  WaitUntilAllOwned();
  for (const NodePlace& place : nodes_) {
    WaitUntilReady(place);
  }
}

Cluster::~Cluster() {
  // A stopped process would not react to anything but SIGKILL, which the group sends in the end.
  operators_.clear();
}

void Cluster::PlaceNodes() {
  for (uint32_t i = 0; i < options_.zones; ++i) {
    NodePlace place;
    place.zone = ZoneName(i);
    place.name = absl::StrCat(place.zone, "-1");
    place.peer = FreeEndpoint();
    place.peer_listen = Endpoint{SourceOf(place.zone), FreePort()};
    place.http = FreeEndpoint();
    place.operators = FreeEndpoint();
    place.metrics = FreeEndpoint();
    place.lease = FreeEndpoint();
    operators_[place.name] = std::make_unique<OperatorClient>(place.operators);
    nodes_.push_back(place);
  }
}

void Cluster::PlaceBackends() {
  const auto add = [this](const std::string& service, uint32_t count) {
    for (uint32_t i = 0; i < count; ++i) {
      backends_.push_back({absl::StrCat(service, "-", i + 1), service, ZoneName(i % options_.zones),
                           FreeEndpoint(), FreeEndpoint()});
    }
  };
  add(kScripts, options_.script_backends);
  add(kCallbacks, options_.callback_backends);
}

void Cluster::StartProxy() {
  std::vector<std::string> links;
  const auto link = [&links](const std::string& name, const Endpoint& from, const Endpoint& to) {
    links.push_back(absl::StrCat(name, "=", FormatEndpoint(from), "/", FormatEndpoint(to)));
  };
  for (const NodePlace& place : nodes_) {
    link(absl::StrCat("peer-", place.name), place.peer, place.peer_listen);
    link(absl::StrCat("lease-", place.name), place.lease, place.http);
  }
  for (const BackendPlace& place : backends_) {
    link(absl::StrCat("backend-", place.id), place.proxied, place.listen);
  }
  proxy_control_ = FreeEndpoint();
  processes_.Start({kProxy,
                    Program("standin_fault_proxy"),
                    {Flag("control", FormatEndpoint(proxy_control_)),
                     Flag("links", absl::StrJoin(links, ","))}});
  Await("the fault proxy", [&] { return rehearsal::HttpAnswers(proxy_control_, kControlPath); });
}

void Cluster::StartPlatform() {
  table_ = FreeEndpoint();
  objects_ = FreeEndpoint();
  machines_ = FreeEndpoint();
  platform_control_ = FreeEndpoint();
  processes_.Start(
      {kPlatform,
       Program("standin_platform"),
       {Flag("table", FormatEndpoint(table_)), Flag("objects", FormatEndpoint(objects_)),
        Flag("machines", FormatEndpoint(machines_)),
        Flag("control", FormatEndpoint(platform_control_)), Flag("table_rate_limit", "100")}});
  Await("the platform", [&] { return rehearsal::HttpAnswers(platform_control_, kControlPath); });
}

void Cluster::StartNode(const NodePlace& place) {
  std::vector<std::string> seeds;
  for (const NodePlace& other : nodes_) {
    if (other.name != place.name) {
      seeds.push_back(absl::StrCat("\"", FormatEndpoint(other.peer), "\""));
    }
  }
  const std::string settings = absl::StrCat(
      "[node]\nname = \"", place.name, "\"\nregion = \"bretagne\"\nzone = \"", place.zone,
      "\"\npeer = \"", FormatEndpoint(place.peer), "\"\npeer_listen = \"",
      FormatEndpoint(place.peer_listen), "\"\nhttp = \"", FormatEndpoint(place.http),
      "\"\noperators = \"", FormatEndpoint(place.operators), "\"\nmetrics = \"",
      FormatEndpoint(place.metrics), "\"\nseeds = [", absl::StrJoin(seeds, ", "),
      "]\n\n[platform]\ntable_service = \"", FormatEndpoint(table_), "\"\nobject_store = \"",
      FormatEndpoint(objects_), "\"\nmachine_list = \"", FormatEndpoint(machines_), "\"\n");
  const auto file = processes_.WriteFile(absl::StrCat(place.name, ".toml"), settings);
  processes_.Start({place.name, Program("ladderstreamd"), {Flag("settings", file.string())}});
}

void Cluster::StartBackend(const BackendPlace& place) {
  const auto record = processes_.directory() / absl::StrCat(place.id, ".record");
  processes_.Start(
      {place.id,
       Program("standin_backend"),
       {Flag("id", place.id), Flag("service", place.service), Flag("zone", place.zone),
        Flag("listen", FormatEndpoint(place.listen)), Flag("nodes", BackendFlagNodes()),
        Flag("source_address", SourceOf(place.zone)),
        Flag("routing", place.service == kScripts ? "key" : "load"),
        Flag("range_count", std::to_string(kRangeCount)),
        Flag("service_time_ms", std::to_string(options_.service_time_ms)),
        Flag("record_file", record.string())}});
  Await(place.id, [&] { return rehearsal::HttpAnswers(place.listen, "/status"); });
}

std::string Cluster::BackendFlagNodes() const {
  return absl::StrJoin(nodes_, ",", [](std::string* out, const NodePlace& place) {
    absl::StrAppend(out, FormatEndpoint(place.lease));
  });
}

void Cluster::DeclareServices() {
  const auto create = [this](const std::string& name, v1::RoutingKind routing,
                             const std::string& keys, bool with_reads) {
    v1::CreateServiceRequest request;
    *request.mutable_header() = AnyRevision();
    v1::Service& service = *request.mutable_service();
    service.set_name(name);
    service.set_routing(routing);
    service.add_key_prefixes(keys);
    service.set_range_count(kRangeCount);
    *service.add_requests() = Rule(kBook, /*repeatable=*/false);
    if (with_reads) {
      *service.add_requests() = Rule(kRead, /*repeatable=*/true);
    }
    AwaitAccepted(absl::StrCat("service ", name),
                  [&] { return operators().CreateService(request); });
  };
  create(kScripts, v1::ROUTING_KIND_BY_KEY, kScriptKeys, /*with_reads=*/true);
  create(kCallbacks, v1::ROUTING_KIND_BY_LOAD, kCallbackKeys, /*with_reads=*/false);
  for (const BackendPlace& place : backends_) {
    v1::RegisterBackendRequest request;
    *request.mutable_header() = AnyRevision();
    v1::Backend& backend = *request.mutable_backend();
    backend.set_id(place.id);
    backend.set_service(place.service);
    backend.set_zone(place.zone);
    backend.set_endpoint(FormatEndpoint(place.proxied));
    AwaitAccepted(absl::StrCat("back end ", place.id),
                  [&] { return operators().RegisterBackend(request); });
  }
}

void Cluster::WaitUntilAllOwned() { WaitUntilOwnedBy(ScriptBackends()); }

void Cluster::WaitUntilOwnedBy(const std::vector<std::string>& allowed) {
  Await(absl::StrCat("every range to be owned by ", absl::StrJoin(allowed, ", ")), [&] {
    const v1::ListAssignmentsResponse list = operators().Assignments(kScripts);
    const auto is_owned = [&allowed](const v1::Assignment& assignment) {
      return assignment.state() == v1::ASSIGNMENT_STATE_OWNED &&
             std::find(allowed.begin(), allowed.end(), assignment.owner()) != allowed.end();
    };
    return static_cast<uint32_t>(list.assignments_size()) >= kRangeCount &&
           std::all_of(list.assignments().begin(), list.assignments().end(), is_owned);
  });
}

void Cluster::WaitUntilReady(const NodePlace& place) {
  Await(absl::StrCat(place.name, " to be ready"),
        [&] { return rehearsal::HttpAnswers(place.http, "/readyz"); });
}

const NodePlace& Cluster::node(const std::string& name) const {
  return *std::find_if(nodes_.begin(), nodes_.end(),
                       [&name](const NodePlace& place) { return place.name == name; });
}

const BackendPlace& Cluster::backend(const std::string& id) const {
  return *std::find_if(backends_.begin(), backends_.end(),
                       [&id](const BackendPlace& place) { return place.id == id; });
}

OperatorClient& Cluster::operators(const std::string& node) { return *operators_.at(node); }

OperatorClient& Cluster::operators() {
  for (const NodePlace& place : nodes_) {
    if (!avoided_.contains(place.name) && processes_.IsRunning(place.name)) {
      return operators(place.name);
    }
  }
  throw std::runtime_error("no node to ask");
}

std::string Cluster::WaitForLeader() {
  std::string leader;
  Await("a leader", [&] {
    for (const NodePlace& place : nodes_) {
      if (avoided_.contains(place.name) || !processes_.IsRunning(place.name)) {
        continue;
      }
      if (operators(place.name).Status().role() == "leader") {
        leader = place.name;
        return true;
      }
    }
    return false;
  });
  return leader;
}

std::string Cluster::OwnerOf(const std::string& key) {
  const uint32_t range = RangeOf(key, kRangeCount).value();
  std::string owner;
  const v1::ListAssignmentsResponse list = operators().Assignments(kScripts);
  for (const v1::Assignment& assignment : list.assignments()) {
    if (assignment.key() == key) {
      return assignment.owner();
    }
    if (assignment.range() == range && assignment.key().empty()) {
      owner = assignment.state() == v1::ASSIGNMENT_STATE_FREE ? "" : assignment.owner();
    }
  }
  return owner;
}

std::string Cluster::KeyOwnedBy(const std::string& backend) {
  constexpr int kTries = 1000;
  for (int i = 0; i < kTries; ++i) {
    std::string key = absl::StrCat(kScriptKeys, i);
    if (OwnerOf(key) == backend) {
      return key;
    }
  }
  throw std::runtime_error(absl::StrCat(backend, " owns no key"));
}

std::vector<std::string> Cluster::ScriptBackends(const std::string& left_out) const {
  std::vector<std::string> ids;
  for (const BackendPlace& place : backends_) {
    if (place.service == kScripts && place.id != left_out) {
      ids.push_back(place.id);
    }
  }
  return ids;
}

void Cluster::SetStore(const nlohmann::json& change) {
  nlohmann::json whole = change;
  whole["target"] = "table";
  PostControl(platform_control_, whole);
}

nlohmann::json Cluster::StoreState() {
  httplib::Client client(platform_control_.host, platform_control_.port);
  const auto answer = client.Get(kControlPath);
  return answer ? nlohmann::json::parse(answer->body).at("table") : nlohmann::json();
}

void Cluster::SetFaults(const std::string& link, const nlohmann::json& faults,
                        const std::string& from) {
  PostControl(proxy_control_, {{"link", link}, {"from", from}, {"faults", faults}});
}

void Cluster::CutZone(const std::string& zone) {
  const nlohmann::json cut = {{"cut", true}};
  const std::string source = SourceOf(zone);
  SetFaults("peer-", cut, source);
  SetFaults("lease-", cut, source);
  for (const NodePlace& place : nodes_) {
    if (place.zone == zone) {
      SetFaults(absl::StrCat("peer-", place.name), cut);
      SetFaults(absl::StrCat("lease-", place.name), cut);
      // Within the zone all goes on.
      SetFaults(absl::StrCat("lease-", place.name), nlohmann::json::object(), source);
    }
  }
  for (const BackendPlace& place : backends_) {
    if (place.zone == zone) {
      SetFaults(absl::StrCat("backend-", place.id), cut);
    }
  }
}

void Cluster::Heal() { SetFaults("", nlohmann::json::object()); }

void Cluster::SetBackend(const std::string& id, const nlohmann::json& change) {
  PostControl(backend(id).listen, change);
}

rehearsal::BackendRecord Cluster::ReadRecords() const {
  return rehearsal::ReadBackendRecords(processes_.directory());
}

rehearsal::Verdict Cluster::Judge(const rehearsal::CallerLog& calls) const {
  rehearsal::Evidence evidence;
  evidence.calls = calls;
  evidence.record = ReadRecords();
  evidence.keyed_services = {kScripts};
  return rehearsal::Judge(evidence);
}

std::string Cluster::ZoneName(uint32_t index) { return kZones.at(index); }

std::string Cluster::SourceOf(const std::string& zone) const {
  const auto found = std::find(kZones.begin(), kZones.end(), zone);
  return absl::StrCat("127.0.", found - kZones.begin() + 1, ".1");
}

}  // namespace ladderstream::integration
