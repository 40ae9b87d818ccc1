#include "daemon/store/machine_list.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "logging/log.h"
#include "wire/result_code.h"

namespace ladderstream::store {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kStepTimeout(500);
constexpr int kStatusOk = 200;
constexpr int kFirstError = 300;

/// The list may forget a node; each so many polls it is told again.
constexpr int kPollsPerRegistration = 10;

httplib::Client MakeClient(const Endpoint& endpoint) {
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_connection_timeout(kStepTimeout);
  client.set_read_timeout(kStepTimeout);
  client.set_write_timeout(kStepTimeout);
  return client;
}

NodeDescriptor ParseMachine(const Json& json) {
  NodeDescriptor node;
  uint64_t id = 0;
  if (!absl::SimpleAtoi(json.at("node_id").get_ref<const std::string&>(), &id)) {
    throw Error(ResultCode::kMalformedMessage, "node_id is not a number");
  }
  node.id = NodeId(id);
  node.name = json.at("name").get<std::string>();
  node.region = json.at("region").get<std::string>();
  node.zone = json.at("zone").get<std::string>();
  node.peer = ParseEndpoint(json.at("peer").get<std::string>());
  node.http = ParseEndpoint(json.at("http").get<std::string>());
  return node;
}

std::optional<NodeDescriptor> ParseLiveMachine(const Json& json) {
  try {
    if (json.at("state").get<std::string>() != "live") {
      return std::nullopt;
    }
    return ParseMachine(json);
  } catch (const std::exception& error) {
    Log(Part::kMachines, Severity::kDebug, "A machine's entry is malformed.",
        {{"error", error.what()}});
    return std::nullopt;
  }
}

}  // namespace

std::vector<NodeDescriptor> ParseMachineList(const std::string& body) {
  std::vector<NodeDescriptor> nodes;
  const Json list = Json::parse(body);
  for (const Json& machine : list.at("machines")) {
    if (std::optional<NodeDescriptor> node = ParseLiveMachine(machine)) {
      nodes.push_back(*std::move(node));
    }
  }
  return nodes;
}

std::string FormatMachine(const NodeDescriptor& node, bool leaving) {
  const Json json = {{"name", node.name},
                     {"region", node.region},
                     {"zone", node.zone},
                     {"peer", FormatEndpoint(node.peer)},
                     {"http", FormatEndpoint(node.http)},
                     {"node_id", absl::StrCat(node.id.value())},
                     {"state", leaving ? "leaving" : "live"}};
  return json.dump();
}

MachineListWatcher::MachineListWatcher(const Endpoint& machine_list, NodeDescriptor self,
                                       Duration interval, OnPeers on_peers)
    : machine_list_(machine_list),
      self_(std::move(self)),
      interval_(interval),
      on_peers_(std::move(on_peers)),
      thread_([this] { Loop(); }) {}

MachineListWatcher::~MachineListWatcher() { Stop(); }

void MachineListWatcher::Leave() {
  {
    const absl::MutexLock lock(&mutex_);
    leaving_ = true;
  }
  Register(true);
}

void MachineListWatcher::Stop() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void MachineListWatcher::Loop() {
  int polls_until_registration = 0;
  do {
    if (polls_until_registration > 0) {
      --polls_until_registration;
    } else if (Register(false)) {
      polls_until_registration = kPollsPerRegistration;
    }
    Poll();
  } while (Sleep());
}

bool MachineListWatcher::Register(bool leaving) {
  if (!leaving) {
    const absl::MutexLock lock(&mutex_);
    if (leaving_) {
      return true;
    }
  }
  httplib::Client client = MakeClient(machine_list_);
  const httplib::Result result =
      client.Post("/v1/machines", FormatMachine(self_, leaving), "application/json");
  return result && result->status < kFirstError;
}

void MachineListWatcher::Poll() {
  httplib::Client client = MakeClient(machine_list_);
  const httplib::Result result = client.Get("/v1/machines");
  if (!result || result->status != kStatusOk) {
    Log(Part::kMachines, Severity::kDebug, "The machine list can't be read.");
    return;
  }
  try {
    std::vector<NodeDescriptor> nodes = ParseMachineList(result->body);
    std::erase_if(nodes, [this](const NodeDescriptor& node) { return node.peer == self_.peer; });
    on_peers_(std::move(nodes));
  } catch (const std::exception& error) {
    Log(Part::kMachines, Severity::kWarning, "The machine list is malformed.",
        {{"error", error.what()}});
  }
}

bool MachineListWatcher::Sleep() {
  const absl::Time deadline = absl::Now() + interval_;
  const absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    if (changed_.WaitWithDeadline(&mutex_, deadline)) {
      break;
    }
  }
  return !stopping_;
}

}  // namespace ladderstream::store
