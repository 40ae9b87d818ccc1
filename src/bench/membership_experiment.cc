// What the exchange between nodes costs and how fast it is, from 11 to 1,200 nodes: membership
// cores over a simulated network and clock.
#include <absl/strings/str_cat.h>
#include <malloc.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "bench/experiment.h"
#include "bench/membership_fleet.h"

namespace ladderstream::bench {
namespace {

/// Until all nodes hold the list of members, which takes longer the more there are.
constexpr Duration kWarmUp = absl::Seconds(6);
constexpr Duration kWarmUpPerNode = absl::Milliseconds(20);
constexpr Duration kMeasured = absl::Seconds(12);
constexpr Duration kPatience = absl::Seconds(20);
/// Between two changes that are measured.
constexpr Duration kPause = absl::Milliseconds(2300);
constexpr int kChanges = 3;
constexpr Duration kWatchedAfterLoss = absl::Seconds(7);
constexpr Duration kLook = absl::Milliseconds(10);
constexpr double kPercent = 100;

struct Size {
  size_t nodes;
  size_t zones;
  size_t regions;
};

constexpr Size kSizes[] = {{11, 3, 1}, {80, 8, 2}, {300, 12, 3}, {1200, 23, 6}};

FleetSettings SettingsFor(const Size& size, uint64_t seed) {
  FleetSettings settings;
  settings.nodes = size.nodes;
  settings.zones = size.zones;
  settings.regions = size.regions;
  settings.seed = seed;
  return settings;
}

std::unique_ptr<MembershipFleet> WarmFleet(const Size& size, uint64_t seed) {
  auto fleet = std::make_unique<MembershipFleet>(SettingsFor(size, seed));
  fleet->Run(kWarmUp + kWarmUpPerNode * size.nodes);
  return fleet;
}

std::string PerSecond(uint64_t count) {
  return FormatNumber(static_cast<double>(count) / absl::ToDoubleSeconds(kMeasured), 1);
}

std::vector<std::string> CostRow(const Size& size, const std::string& role,
                                 const NodeCosts& costs) {
  return {absl::StrCat(size.nodes),
          role,
          PerSecond(costs.messages_sent),
          PerSecond(costs.messages_received),
          PerSecond(costs.bytes_sent),
          PerSecond(costs.bytes_received),
          PerSecond(costs.store_calls),
          FormatNumber(absl::FDivDuration(costs.processor_time, kMeasured) * kPercent, 3)};
}

/// Of the nodes that do not coordinate.
NodeCosts MeanOfOthers(const MembershipFleet& fleet, size_t nodes) {
  NodeCosts sum;
  for (size_t i = 0; i < nodes; ++i) {
    if (i != fleet.coordinator()) {
      const NodeCosts& costs = fleet.CostsOf(i);
      sum.messages_sent += costs.messages_sent;
      sum.messages_received += costs.messages_received;
      sum.bytes_sent += costs.bytes_sent;
      sum.bytes_received += costs.bytes_received;
      sum.store_calls += costs.store_calls;
      sum.processor_time += costs.processor_time;
    }
  }
  const uint64_t others = nodes - 1;
  return {sum.messages_sent / others, sum.messages_received / others,
          sum.bytes_sent / others,    sum.bytes_received / others,
          sum.store_calls / others,   sum.processor_time / static_cast<int64_t>(others)};
}

std::string Milliseconds(Duration duration) {
  return duration >= kPatience ? "never" : FormatNumber(absl::ToDoubleMilliseconds(duration), 0);
}

Duration TimeOfConfigurationChange(MembershipFleet* fleet) {
  Duration worst;
  for (int i = 0; i < kChanges; ++i) {
    fleet->Run(kPause);
    const uint64_t version = fleet->ChangeConfiguration();
    worst = std::max(worst, fleet->RunUntil(
                                [fleet, version](const membership::Membership&, size_t node) {
                                  return fleet->HoldsConfiguration(node, version);
                                },
                                kPatience));
  }
  return worst;
}

Duration TimeOfMapChange(MembershipFleet* fleet) {
  Duration worst;
  for (int i = 0; i < kChanges; ++i) {
    fleet->Run(kPause);
    const ownership::MapVersion version = fleet->ChangeMap();
    const auto holds = [version](const membership::Membership& core, size_t) {
      return core.map() != nullptr && core.map()->version >= version;
    };
    worst = std::max(worst, fleet->RunUntil(holds, kPatience));
  }
  return worst;
}

/// After nodes ended: until every node uses the map of a coordinator that lives, and for how long
/// any one of them was without a confirmed map.
struct LossTimes {
  Duration settled;
  Duration unusable;
};

LossTimes TimeOfLoss(MembershipFleet* fleet, const std::vector<size_t>& lost, bool refused,
                     size_t nodes) {
  fleet->Run(kPause);
  const size_t before = fleet->coordinator();
  const bool coordinator_lost = std::find(lost.begin(), lost.end(), before) != lost.end();
  const Time start = fleet->now();
  std::vector<Duration> unusable(nodes);
  LossTimes times;
  fleet->Kill(lost, refused);
  // A node may be settled and lose touch later: all are looked at for the whole time.
  while (fleet->now() < start + kWatchedAfterLoss) {
    fleet->Run(kLook);
    const bool replaced = !coordinator_lost || fleet->coordinator() != before;
    fleet->ForEachLive([&](const membership::Membership& core, size_t node) {
      const bool usable = core.map_confirmed_until() > fleet->now();
      const bool follows = core.holder()->incarnation == fleet->coordinator() + 1;
      unusable[node] += usable ? absl::ZeroDuration() : kLook;
      if (!usable || !follows || !replaced) {
        times.settled = fleet->now() - start;
      }
    });
  }
  times.unusable = *std::max_element(unusable.begin(), unusable.end());
  return times;
}

std::vector<std::string> LossRow(const Size& size, const std::string& what, LossTimes times) {
  return {absl::StrCat(size.nodes), what, Milliseconds(times.settled),
          Milliseconds(times.unusable)};
}

void AddCosts(const Size& size, MembershipFleet* fleet, Table* table) {
  fleet->ClearCosts();
  fleet->Run(kMeasured);
  table->rows.push_back(CostRow(size, "coordinator", fleet->CostsOf(fleet->coordinator())));
  table->rows.push_back(CostRow(size, "other, mean", MeanOfOthers(*fleet, size.nodes)));
}

void AddLosses(const Size& size, uint64_t seed, Table* table) {
  auto fleet = WarmFleet(size, seed);
  const LossTimes process = TimeOfLoss(fleet.get(), {fleet->coordinator()}, true, size.nodes);
  table->rows.push_back(LossRow(size, "coordinator's process", process));
  fleet = WarmFleet(size, seed);
  const LossTimes its_zone =
      TimeOfLoss(fleet.get(), fleet->ZoneOf(fleet->coordinator()), false, size.nodes);
  table->rows.push_back(LossRow(size, "coordinator's zone, silently", its_zone));
  fleet = WarmFleet(size, seed);
  const LossTimes zone =
      TimeOfLoss(fleet.get(), fleet->ZoneOf(fleet->coordinator() + 1), false, size.nodes);
  table->rows.push_back(LossRow(size, "another zone, silently", zone));
}

Report RunScale(uint64_t seed) {
  Table costs{"Costs a second, without changes",
              {"nodes", "role", "messages sent", "received", "bytes sent", "received",
               "store calls", "core %"},
              {}};
  Table changes{"Until every node holds a change, worst of 3",
                {"nodes", "configuration ms", "map ms", "heap KB a node"},
                {}};
  Table losses{"After losses", {"nodes", "lost", "settled after ms", "without a map ms"}, {}};
  for (const Size& size : kSizes) {
    const size_t heap_before = mallinfo2().uordblks;
    const auto fleet = WarmFleet(size, seed);
    const size_t heap = mallinfo2().uordblks - heap_before;
    AddCosts(size, fleet.get(), &costs);
    const Duration configuration = TimeOfConfigurationChange(fleet.get());
    const Duration map = TimeOfMapChange(fleet.get());
    changes.rows.push_back(
        {absl::StrCat(size.nodes), Milliseconds(configuration), Milliseconds(map),
         FormatNumber(static_cast<double>(heap) / static_cast<double>(size.nodes) / 1024, 0)});
    AddLosses(size, seed, &losses);
  }
  Report report;
  report.tables = {costs, changes, losses};
  return report;
}

}  // namespace

std::vector<Experiment> MembershipExperiments() {
  return {{"membership-scale",
           "What reports, heartbeats, changes and losses cost, from 11 to 1,200 nodes.", RunScale}};
}

}  // namespace ladderstream::bench
