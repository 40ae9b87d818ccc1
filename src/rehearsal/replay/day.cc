#include "rehearsal/replay/day.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <numbers>
#include <random>

namespace ladderstream::rehearsal {
namespace {

constexpr double kHours = 24;
constexpr double kSunrise = 6;
constexpr double kSunset = 20;
constexpr double kNightShare = 0.1;
constexpr double kFirstNightFault = 21;
// Hot keys change every two hours of daylight.
constexpr double kHoursPerRotation = 2;

// The share of the peak at an hour of the day.
double LoadShare(double hour) {
  if (hour < kSunrise || hour > kSunset) {
    return kNightShare;
  }
  const double daylight = (hour - kSunrise) / (kSunset - kSunrise);
  return kNightShare + (1 - kNightShare) * std::sin(daylight * std::numbers::pi);
}

class DayMaker {
 public:
  DayMaker(const DeploymentSpec& deployment, const DaySettings& settings)
      : deployment_(deployment), settings_(settings), random_(settings.seed) {}

  Trace Make() {
    Trace trace;
    trace.header = {.deployment = deployment_.name,
                    .nodes = static_cast<uint32_t>(deployment_.zones.size()),
                    .length = settings_.length,
                    .origin = absl::StrCat("a compressed day, seed ", settings_.seed),
                    .seed = settings_.seed};
    trace.batches = MakeBatches();
    trace.faults = MakeFaults();
    return trace;
  }

 private:
  std::vector<RequestBatch> MakeBatches() {
    BatchCollector batches;
    std::vector<double> weights;
    std::vector<KeyPicker> pickers;
    const std::vector<RequestKind> mix = MixOf(deployment_);
    for (const RequestKind& kind : mix) {
      weights.push_back(kind.weight);
      pickers.emplace_back(kind);
    }
    std::discrete_distribution<size_t> kinds(weights.begin(), weights.end());
    absl::Duration at;
    while (true) {
      const double hour = kHours * absl::FDivDuration(at, settings_.length);
      std::exponential_distribution<double> gap(settings_.peak_rate * LoadShare(hour));
      at += absl::Seconds(gap(random_));
      if (at >= settings_.length) {
        return batches.Take();
      }
      const size_t kind = kinds(random_);
      const auto rotation = static_cast<uint32_t>(hour / kHoursPerRotation);
      const uint32_t key = pickers[kind].PickNumber(random_, rotation);
      batches.Add(at, mix[kind].service, mix[kind].request, key);
    }
  }

  // By day a drain and a move, as operators make them; by night losses, two of them at once.
  std::vector<Fault> MakeFaults() const {
    const ServiceSpec& first = deployment_.services.front();
    const ServiceSpec& last = deployment_.services.back();
    const KeyPicker picker(first.kinds.front());
    return {At(9, 0.5, FaultKind::kMoveKey, BackendName(first, 5), picker.KeyAt(0, 4)),
            At(11, 3, FaultKind::kDrainBackend, BackendName(last, 3)),
            At(14, 1, FaultKind::kStopNode, "node-2"),
            At(16, 1, FaultKind::kKillBackend, BackendName(first, 2)),
            At(kFirstNightFault, 2, FaultKind::kTableDown, ""),
            At(kFirstNightFault + 0.5, 0.75, FaultKind::kKillNode, "node-0"),
            At(kFirstNightFault + 0.6, 0.5, FaultKind::kFreezeBackend, BackendName(first, 7)),
            At(kFirstNightFault + 1.7, 0.25, FaultKind::kFreezeNode, "node-1")};
  }

  Fault At(double hour, double hours, FaultKind kind, const std::string& target,
           const std::string& key = "") const {
    Fault fault;
    fault.kind = kind;
    fault.target = target;
    fault.key = key;
    fault.from = settings_.length * (hour / kHours);
    const bool has_length = kind != FaultKind::kMoveKey;
    fault.until = has_length ? fault.from + settings_.length * (hours / kHours) : fault.from;
    return fault;
  }

  const DeploymentSpec& deployment_;
  const DaySettings settings_;
  std::mt19937_64 random_;
};

}  // namespace

Trace MakeDay(const DeploymentSpec& deployment, const DaySettings& settings) {
  return DayMaker(deployment, settings).Make();
}

}  // namespace ladderstream::rehearsal
