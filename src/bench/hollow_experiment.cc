// The control plane at 50, 200 and 1,200 nodes: bytes, processor time and memory by role, time
// until a change is in force, and time until keys are served again after losses.
#include <absl/strings/str_cat.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <memory>

#include "bench/experiment.h"
#include "hollow/hollow_fleet.h"

namespace ladderstream::bench {
namespace {

using hollow::FleetOptions;
using hollow::HollowFleet;
using hollow::HollowNode;

constexpr Duration kWarmUp = absl::Seconds(15);
constexpr Duration kWindow = absl::Seconds(20);
constexpr Duration kWatchStep = absl::Milliseconds(10);
constexpr Duration kWatchLimit = absl::Seconds(4);
/// A fleet whose keys are all served and routed is ready for a fault.
constexpr Duration kFaultWarmUp = absl::Seconds(8);
constexpr double kBytesPerMegabyte = 1e6;

double Megabytes(uint64_t bytes) { return static_cast<double>(bytes) / kBytesPerMegabyte; }

uint64_t HeapInUse() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string RoleOf(const HollowNode& node, Time now) {
  switch (node.authority->status(now).role) {
    case replication::Role::kLeader:
      return "leader";
    case replication::Role::kLearner:
      return "learner";
    case replication::Role::kIdle:
      return "observer";
    default:
      return "voter";
  }
}

/// Sums over the nodes of one role.
struct RoleSum {
  int nodes = 0;
  double processor_seconds = 0;
  double lease_requests = 0;
  double sent = 0;
  double received = 0;
  double store = 0;
  std::array<double, hollow::kTrafficKinds> by_kind{};
};

void Add(const hollow::Traffic& traffic, RoleSum& sum) {
  ++sum.nodes;
  sum.processor_seconds += absl::ToDoubleSeconds(traffic.processor_time);
  sum.lease_requests += static_cast<double>(traffic.lease_requests);
  sum.sent += static_cast<double>(traffic.PeerBytesSent());
  sum.received += static_cast<double>(traffic.PeerBytesReceived());
  sum.store += static_cast<double>(traffic.StoreBytes());
  for (size_t kind = 0; kind < hollow::kTrafficKinds; ++kind) {
    sum.by_kind[kind] += static_cast<double>(traffic.sent[kind] + traffic.received[kind]);
  }
}

std::map<std::string, RoleSum> SumByRole(const HollowFleet& fleet) {
  std::map<std::string, RoleSum> sums;
  for (const HollowNode& node : fleet.nodes()) {
    if (node.alive) {
      Add(node.traffic, sums[RoleOf(node, fleet.now())]);
      Add(node.traffic, sums["all"]);
    }
  }
  return sums;
}

std::vector<std::string> TrafficColumns() {
  std::vector<std::string> columns = {"nodes",    "role",         "count",     "core %",
                                      "sent B/s", "received B/s", "store B/s", "lease requests/s"};
  for (size_t kind = 0; kind < hollow::kTrafficKinds; ++kind) {
    columns.push_back(absl::StrCat(hollow::NameOf(static_cast<hollow::TrafficKind>(kind)), " B/s"));
  }
  return columns;
}

void AddTrafficRows(const HollowFleet& fleet, const std::string& label, Table& table) {
  constexpr double kPercent = 100;
  const double seconds = absl::ToDoubleSeconds(kWindow);
  for (const auto& [role, sum] : SumByRole(fleet)) {
    const double per = 1 / (sum.nodes * seconds);
    std::vector<std::string> row = {label,
                                    role,
                                    absl::StrCat(sum.nodes),
                                    FormatNumber(kPercent * sum.processor_seconds * per, 3),
                                    FormatNumber(sum.sent * per, 0),
                                    FormatNumber(sum.received * per, 0),
                                    FormatNumber(sum.store * per, 0),
                                    FormatNumber(sum.lease_requests * per, 1)};
    for (const double bytes : sum.by_kind) {
      row.push_back(FormatNumber(bytes * per, 0));
    }
    table.rows.push_back(std::move(row));
  }
}

/// What was watched after a fault, over all groups concerned.
struct Recovery {
  int groups = 0;
  int unserved_groups = 0;
  /// The longest time for which a group had a range that nobody served.
  Duration unserved;
  /// The longest time from the fault until all ranges of a group were served for good.
  Duration served_after;
  /// The same until every live node of a group could route them.
  Duration routed_after;
  /// Groups that were not whole again when the watch ended.
  int not_recovered = 0;
};

struct Watch {
  uint32_t group = 0;
  Time last_unserved = absl::InfinitePast();
  Time last_unrouted = absl::InfinitePast();
  Duration unserved = absl::ZeroDuration();
};

/// Runs the fleet for a while after a fault and looks at the groups every kWatchStep.
Recovery WatchRecovery(HollowFleet& fleet, const std::vector<uint32_t>& groups) {
  const Time begin = fleet.now();
  std::vector<Watch> watches;
  watches.reserve(groups.size());
  for (const uint32_t group : groups) {
    watches.push_back({group, begin, begin});
  }
  while (fleet.now() < begin + kWatchLimit) {
    fleet.Run(kWatchStep);
    for (Watch& watch : watches) {
      if (!fleet.IsServed(watch.group)) {
        watch.last_unserved = fleet.now();
        watch.unserved += kWatchStep;
      }
      if (!fleet.IsRouted(watch.group)) {
        watch.last_unrouted = fleet.now();
      }
    }
  }
  Recovery recovery;
  recovery.groups = static_cast<int>(groups.size());
  for (const Watch& watch : watches) {
    recovery.unserved_groups += watch.last_unserved > begin ? 1 : 0;
    recovery.not_recovered +=
        watch.last_unserved == fleet.now() || watch.last_unrouted == fleet.now() ? 1 : 0;
    recovery.unserved = std::max(recovery.unserved, watch.unserved);
    recovery.served_after = std::max(recovery.served_after, watch.last_unserved - begin);
    recovery.routed_after = std::max(recovery.routed_after, watch.last_unrouted - begin);
  }
  return recovery;
}

std::vector<uint32_t> GroupsWithLoss(const HollowFleet& fleet) {
  std::vector<uint32_t> groups;
  for (uint32_t group = 0; group < fleet.topology().groups.size(); ++group) {
    const size_t live = fleet.LiveNodes(group);
    if (live > 0 && live < fleet.topology().groups[group].size()) {
      groups.push_back(group);
    }
  }
  return groups;
}

/// The first groups of the fleet, for faults that strike no node.
std::vector<uint32_t> SomeGroups(const HollowFleet& fleet) {
  constexpr size_t kSome = 24;
  std::vector<uint32_t> groups(std::min(kSome, fleet.topology().groups.size()));
  for (uint32_t group = 0; group < groups.size(); ++group) {
    groups[group] = group;
  }
  return groups;
}

void AddRecoveryRow(const std::string& label, const std::string& fault, const Recovery& recovery,
                    Table& table) {
  table.rows.push_back({label, fault, absl::StrCat(recovery.groups),
                        absl::StrCat(recovery.unserved_groups),
                        FormatNumber(absl::ToDoubleMilliseconds(recovery.unserved), 0),
                        FormatNumber(absl::ToDoubleMilliseconds(recovery.served_after), 0),
                        FormatNumber(absl::ToDoubleMilliseconds(recovery.routed_after), 0),
                        absl::StrCat(recovery.not_recovered)});
}

Table FaultTable() {
  return {"after a fault: the worst group",
          {"nodes", "fault", "groups watched", "groups with unserved ranges", "unserved ms",
           "served after ms", "routed after ms", "groups not whole after 4 s"},
          {}};
}

/// Each fault strikes a fleet of its own, warmed up.
void RunFaults(const FleetOptions& options, const std::string& label, Table& table) {
  const auto strike = [&](const std::string& fault, const auto& action) {
    HollowFleet fleet(options);
    fleet.Run(kFaultWarmUp);
    action(fleet);
    const auto lossy = GroupsWithLoss(fleet);
    AddRecoveryRow(label, fault, WatchRecovery(fleet, lossy.empty() ? SomeGroups(fleet) : lossy),
                   table);
  };
  strike("none", [](HollowFleet&) {});
  strike("one back end", [](HollowFleet& fleet) { fleet.KillBackend(0); });
  strike("one leader", [](HollowFleet& fleet) {
    for (size_t i = 0; i < fleet.nodes().size(); ++i) {
      if (RoleOf(fleet.nodes()[i], fleet.now()) == "leader") {
        fleet.KillNode(i);
        return;
      }
    }
  });
  strike("one rack (8 nodes)", [](HollowFleet& fleet) {
    fleet.KillNodes([](const hollow::Place& place) { return place.rack == 0; });
  });
  strike("one zone", [](HollowFleet& fleet) {
    fleet.KillNodes([](const hollow::Place& place) { return place.zone == 1; });
  });
  strike("regions cut from each other and the store",
         [](HollowFleet& fleet) { fleet.CutRegions(true); });
}

/// Milliseconds until every live node has a new revision in force; negative if it took too long.
double TimeOfChange(HollowFleet& fleet) {
  constexpr Duration kLimit = absl::Seconds(30);
  constexpr Duration kStep = absl::Milliseconds(50);
  const Time begin = fleet.now();
  fleet.ChangeConfiguration();
  while (!fleet.ConfigurationIsInForce()) {
    if (fleet.now() - begin > kLimit) {
      return -1;
    }
    fleet.Run(kStep);
  }
  return absl::ToDoubleMilliseconds(fleet.now() - begin);
}

struct SteadyTables {
  Table traffic{"steady state, per node", TrafficColumns(), {}};
  Table fleet{"the fleet",
              {"nodes", "groups", "back ends", "heap MB per node", "store transactions/s",
               "store refusals", "change in force, worst of 5 (ms)"},
              {}};
};

void RunSteady(const FleetOptions& options, const std::string& label, SteadyTables& tables) {
  constexpr int kChanges = 5;
  const uint64_t before = HeapInUse();
  HollowFleet fleet(options);
  fleet.Run(kWarmUp);
  fleet.ResetTraffic();
  const uint64_t transactions = fleet.store().transactions();
  fleet.Run(kWindow);
  const double heap = Megabytes(HeapInUse() - before) / options.topology.nodes;
  AddTrafficRows(fleet, label, tables.traffic);
  const double rate = static_cast<double>(fleet.store().transactions() - transactions) /
                      absl::ToDoubleSeconds(kWindow);
  double worst = 0;
  for (int i = 0; i < kChanges; ++i) {
    const double time = TimeOfChange(fleet);
    worst = time < 0 || worst < 0 ? -1 : std::max(worst, time);
    fleet.Run(absl::Milliseconds(370));
  }
  tables.fleet.rows.push_back({label, absl::StrCat(fleet.topology().groups.size()),
                               absl::StrCat(fleet.backends().size()), FormatNumber(heap, 3),
                               FormatNumber(rate, 1), absl::StrCat(fleet.store().refused()),
                               FormatNumber(worst, 0)});
}

FleetOptions BaseOptions(int nodes, uint64_t seed) {
  FleetOptions options;
  options.topology.nodes = nodes;
  options.seed = seed;
  return options;
}

constexpr std::array<int, 3> kSizes = {50, 200, 1200};

Report RunSizes(uint64_t seed) {
  SteadyTables steady;
  for (const int nodes : kSizes) {
    RunSteady(BaseOptions(nodes, seed), absl::StrCat(nodes), steady);
  }
  Report report;
  report.tables = {steady.traffic, steady.fleet};
  return report;
}

/// The leader's burden against the size of its group, and a home's against its back ends.
Report RunGroupSizes(uint64_t seed) {
  constexpr int kNodes = 200;
  SteadyTables by_size;
  for (const int group_size : {4, 6, 8, 12, 16}) {
    FleetOptions options = BaseOptions(kNodes, seed);
    options.topology.group_size = group_size;
    RunSteady(options, absl::StrCat("groups of ", group_size), by_size);
  }
  SteadyTables by_backends;
  for (const int backends : {1, 2, 4, 8}) {
    FleetOptions options = BaseOptions(kNodes, seed);
    options.backends_per_node = backends;
    RunSteady(options, absl::StrCat(backends, " back ends a node"), by_backends);
  }
  SteadyTables by_ranges;
  for (const uint32_t ranges : {64U, 256U, 1024U}) {
    FleetOptions options = BaseOptions(kNodes, seed);
    options.ranges_per_group = ranges;
    RunSteady(options, absl::StrCat(ranges, " ranges a group"), by_ranges);
  }
  Report report;
  report.tables = {by_size.traffic,   by_size.fleet,     by_backends.traffic,
                   by_backends.fleet, by_ranges.traffic, by_ranges.fleet};
  return report;
}

/// Settings that send less, within all checks of the settings: what tuning alone can do.
authority::AuthoritySettings FrugalSettings() {
  authority::AuthoritySettings settings;
  settings.replication.heartbeat_interval = absl::Milliseconds(200);
  settings.replication.election_timeout_min = absl::Milliseconds(450);
  settings.replication.election_timeout_max = absl::Milliseconds(750);
  settings.replication.leader_lease = absl::Milliseconds(1000);
  settings.backend_lease = absl::Milliseconds(800);
  settings.node_timeout = absl::Milliseconds(1200);
  settings.report_interval = absl::Milliseconds(400);
  settings.pull_interval = absl::Milliseconds(500);
  settings.store_poll_interval = absl::Seconds(5);
  settings.checkpoint_interval = absl::Seconds(30);
  settings.recovery_delay = absl::Seconds(75);
  authority::CheckAuthoritySettings(settings);
  return settings;
}

Report RunFrugal(uint64_t seed) {
  SteadyTables steady;
  Table faults = FaultTable();
  for (const int nodes : kSizes) {
    FleetOptions options = BaseOptions(nodes, seed);
    options.settings = FrugalSettings();
    options.reported_shards = 4;
    options.topology.group_size = 6;
    RunSteady(options, absl::StrCat(nodes), steady);
    if (nodes == kSizes.front()) {
      RunFaults(options, absl::StrCat(nodes), faults);
    }
  }
  Report report;
  report.tables = {steady.traffic, steady.fleet, faults};
  return report;
}

Report RunFaultSizes(uint64_t seed) {
  Table table = FaultTable();
  for (const int nodes : kSizes) {
    RunFaults(BaseOptions(nodes, seed), absl::StrCat(nodes), table);
  }
  Report report;
  report.tables = {table};
  return report;
}

}  // namespace

std::vector<Experiment> HollowExperiments() {
  return {{"hollow-steady", "control plane at 50, 200 and 1,200 hollow nodes: bytes, time, memory",
           RunSizes},
          {"hollow-faults", "hollow nodes lose a leader, a rack, a zone, the other regions",
           RunFaultSizes},
          {"hollow-slopes", "200 hollow nodes: slopes by group size, back ends and ranges",
           RunGroupSizes},
          {"hollow-frugal", "hollow nodes under settings that send less", RunFrugal}};
}

}  // namespace ladderstream::bench
