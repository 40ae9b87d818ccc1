#include "simulation/fault_plan.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <random>

namespace ladderstream::simulation {
namespace {

constexpr Duration kFirstFault = absl::Seconds(3);
constexpr Duration kMeanGap = absl::Milliseconds(900);
constexpr Duration kLongestFault = absl::Milliseconds(2500);
constexpr Duration kStoreFault = absl::Seconds(8);
constexpr Duration kBetweenCrashes = absl::Seconds(7);
constexpr double kShareAtLeader = 0.5;

constexpr std::array<const char*, kFaultKinds> kNames = {"pause node",
                                                         "pause node after decision",
                                                         "crash node",
                                                         "pause back end",
                                                         "pause back end after decision",
                                                         "crash back end",
                                                         "cut node",
                                                         "cut node one way",
                                                         "partition nodes",
                                                         "cut back end",
                                                         "store down",
                                                         "store answers lost",
                                                         "store rate limited"};

bool IsStoreFault(FaultKind kind) { return kind >= FaultKind::kStoreDown; }

bool IsBackendFault(FaultKind kind) {
  return kind == FaultKind::kPauseBackend || kind == FaultKind::kPauseBackendAfterDecision ||
         kind == FaultKind::kCrashBackend || kind == FaultKind::kCutBackend;
}

}  // namespace

FaultPlan DrawFaultPlan(uint64_t seed, Duration duration, size_t nodes, size_t backends) {
  std::mt19937_64 random(seed * 2 + 1);
  std::uniform_real_distribution<double> share(0, 1);
  FaultPlan plan;
  plan.seed = seed;
  plan.duration = duration;
  Duration last_crash = -kBetweenCrashes;
  Duration at = kFirstFault;
  while (at < duration) {
    Fault fault;
    fault.at = at;
    fault.kind = static_cast<FaultKind>(random() % kFaultKinds);
    fault.duration = share(random) * (IsStoreFault(fault.kind) ? kStoreFault : kLongestFault);
    fault.target = random() % (IsBackendFault(fault.kind) ? backends : nodes);
    fault.at_leader = share(random) < kShareAtLeader;
    at += 2 * kMeanGap * share(random);
    if (fault.kind == FaultKind::kCrashNode) {
      if (fault.at < last_crash + kBetweenCrashes) {
        continue;
      }
      last_crash = fault.at;
    }
    plan.faults.push_back(fault);
  }
  return plan;
}

std::string Describe(const FaultPlan& plan) {
  std::string text = absl::StrCat("seed ", plan.seed, ", ", absl::FormatDuration(plan.duration),
                                  ", ", plan.faults.size(), " faults\n");
  for (const Fault& fault : plan.faults) {
    const auto kind = static_cast<size_t>(fault.kind);
    absl::StrAppend(&text, "  at ", absl::FormatDuration(fault.at), " for ",
                    absl::FormatDuration(fault.duration), ": ", kNames[kind]);
    if (!IsStoreFault(fault.kind)) {
      absl::StrAppend(&text, " ", fault.target);
      const bool may_be_leader = !IsBackendFault(fault.kind) && fault.at_leader;
      absl::StrAppend(&text, may_be_leader ? " or the leader, if there is one" : "");
    }
    text += "\n";
  }
  return text;
}

}  // namespace ladderstream::simulation
