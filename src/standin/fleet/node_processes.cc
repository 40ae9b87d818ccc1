#include "standin/fleet/node_processes.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>

#include "standin/processes/ports.h"

namespace ladderstream::fleet {
namespace {

constexpr size_t kMostSeeds = 3;
constexpr char kKeepLogs[] = "LADDERSTREAM_KEEP_LOGS";

std::string Quoted(const std::string& text) { return absl::StrCat("\"", text, "\""); }

std::string Quoted(const Endpoint& endpoint) { return Quoted(FormatEndpoint(endpoint)); }

std::string Quoted(Duration duration) {
  return Quoted(absl::StrCat(absl::ToInt64Milliseconds(duration), "ms"));
}

/// An address of the loopback network of its own.
std::string SourceOf(size_t index) {
  constexpr size_t kHosts = 250;
  return absl::StrCat("127.1.", 1 + index / kHosts, ".", 1 + index % kHosts);
}

}  // namespace

std::string NodeProgramOr(const std::string& given) {
  if (!given.empty()) {
    return given;
  }
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path() / "ladderstream_node").string();
}

std::vector<Endpoint> EntrancesFor(size_t nodes) {
  return std::vector<Endpoint>(nodes, Endpoint{"127.0.0.1", 0});
}

NodeProcesses::NodeProcesses(Fleet* fleet, const std::string& program, size_t count)
    : fleet_(fleet), program_(program) {
  if (std::getenv(kKeepLogs) != nullptr) {
    group_.KeepDirectory();
  }
  const std::vector<std::string>& zones = fleet->settings().zones;
  for (size_t index = 0; index < count; ++index) {
    NodeProcess node;
    node.name = absl::StrCat("node-", index);
    node.zone = zones[index % zones.size()];
    node.address = {.front = standin::FreeEndpoint(), .readiness = standin::FreeEndpoint()};
    node.peers = standin::FreeEndpoint();
    node.peers_advertised = node.peers;
    node.metrics = standin::FreeEndpoint();
    node.source = SourceOf(index);
    fleet->SetSource(index, node.source);
    nodes_.push_back(node);
  }
}

std::string NodeProcesses::SettingsOf(size_t index) const {
  const NodeProcess& node = nodes_[index];
  const FleetSettings& fleet = fleet_->settings();
  std::vector<std::string> seeds;
  for (size_t seed = 0; seed < std::min(kMostSeeds, nodes_.size()); ++seed) {
    seeds.push_back(Quoted(nodes_[seed].peers_advertised));
  }
  return absl::StrCat(
      "[node]\nname = ", Quoted(node.name), "\nzone = ", Quoted(node.zone),
      "\nsource_host = ", Quoted(node.source),
      "\n\n[listen]\ncallers = ", Quoted(node.address.front),
      "\nreadiness = ", Quoted(node.address.readiness), "\npeers = ", Quoted(node.peers),
      "\npeers_advertised = ", Quoted(node.peers_advertised), "\nmetrics = ", Quoted(node.metrics),
      "\n\n[membership]\nseeds = [", absl::StrJoin(seeds, ", "),
      "]\n\n[store]\naddress = ", Quoted(fleet_->store().endpoint(index)),
      "\nwrites_per_second = ", fleet.store.writes_per_second,
      "\nreads_per_second = ", fleet.store.reads_per_second,
      "\n\n[bounds]\ndrain_time = ", Quoted(fleet.bounds.drain),
      "\nretry_budget_ratio = ", fleet.bounds.retry_budget_ratio,
      "\nretry_budget_slack = ", fleet.bounds.retry_budget_slack,
      "\nretry_budget_window = ", Quoted(fleet.bounds.budget_window), "\n",
      fleet.node_memory_mb == 0
          ? ""
          : absl::StrCat("\n[limits]\nmemory_mb = ", fleet.node_memory_mb, "\n"));
}

void NodeProcesses::StartAll() {
  std::vector<NodeAddress> addresses;
  for (size_t index = 0; index < nodes_.size(); ++index) {
    const NodeProcess& node = nodes_[index];
    const auto file = group_.WriteFile(absl::StrCat(node.name, ".toml"), SettingsOf(index));
    group_.Start({.name = node.name,
                  .program = program_,
                  .arguments = {absl::StrCat("--settings=", file.string())}});
    addresses.push_back(node.address);
  }
  fleet_->nodes().SetNodes(addresses);
}

bool NodeProcesses::AwaitReady(Duration timeout) {
  return fleet_->loop().RunUntil(
      [this] { return fleet_->nodes().ready_count() == nodes_.size() && fleet_->AllKeysHeld(); },
      timeout);
}

}  // namespace ladderstream::fleet
