#include "rehearsal/fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace ladderstream::rehearsal {
namespace {

struct KindWeight {
  FaultKind kind;
  double weight;
};

constexpr std::array<KindWeight, 12> kKinds = {{{FaultKind::kKillBackend, 3},
                                                {FaultKind::kFreezeBackend, 3},
                                                {FaultKind::kStopBackend, 2},
                                                {FaultKind::kDrainBackend, 2},
                                                {FaultKind::kKillNode, 2},
                                                {FaultKind::kFreezeNode, 2},
                                                {FaultKind::kStopNode, 1},
                                                {FaultKind::kTableDown, 2},
                                                {FaultKind::kTableSlow, 1},
                                                {FaultKind::kLoseTableAnswers, 1},
                                                {FaultKind::kMoveKey, 3},
                                                {FaultKind::kRotateHotKeys, 1}}};
constexpr uint32_t kUsualFaultsAtOnce = 2;

bool IsNodeFault(FaultKind kind) {
  return kind == FaultKind::kKillNode || kind == FaultKind::kFreezeNode ||
         kind == FaultKind::kStopNode;
}

bool IsBackendFault(FaultKind kind) {
  return kind == FaultKind::kKillBackend || kind == FaultKind::kFreezeBackend ||
         kind == FaultKind::kStopBackend || kind == FaultKind::kDrainBackend;
}

bool IsTableFault(FaultKind kind) {
  return kind == FaultKind::kTableDown || kind == FaultKind::kTableSlow ||
         kind == FaultKind::kLoseTableAnswers;
}

bool IsInstant(FaultKind kind) {
  return kind == FaultKind::kMoveKey || kind == FaultKind::kRotateHotKeys;
}

class Scheduler {
 public:
  explicit Scheduler(const ScheduleSettings& settings)
      : settings_(settings), random_(settings.seed) {}

  std::vector<Fault> Run() {
    absl::Duration at = settings_.calm;
    while (true) {
      std::exponential_distribution<double> interval(
          1 / absl::ToDoubleSeconds(settings_.mean_interval));
      at += absl::Seconds(interval(random_));
      if (at >= settings_.length - settings_.calm) {
        return faults_;
      }
      const Fault fault = Draw(at);
      if (Fits(fault)) {
        faults_.push_back(fault);
      }
    }
  }

 private:
  Fault Draw(absl::Duration at) {
    Fault fault;
    fault.kind = DrawKind();
    fault.target = DrawTarget(fault.kind);
    fault.from = at;
    std::uniform_real_distribution<double> seconds(absl::ToDoubleSeconds(settings_.shortest),
                                                   absl::ToDoubleSeconds(settings_.longest));
    const absl::Duration length = absl::Seconds(seconds(random_));
    const absl::Duration end = settings_.length - settings_.calm;
    fault.until = IsInstant(fault.kind) ? at : std::min(at + length, end);
    return fault;
  }

  FaultKind DrawKind() {
    std::array<double, kKinds.size()> weights{};
    std::transform(kKinds.begin(), kKinds.end(), weights.begin(),
                   [](const KindWeight& entry) { return entry.weight; });
    std::discrete_distribution<size_t> kinds(weights.begin(), weights.end());
    return kKinds.at(kinds(random_)).kind;
  }

  std::string DrawTarget(FaultKind kind) {
    if (IsNodeFault(kind)) {
      return DrawFrom(settings_.nodes);
    }
    if (kind == FaultKind::kMoveKey) {
      return DrawFrom(settings_.keyed_backends);
    }
    if (!IsBackendFault(kind)) {
      return "";
    }
    constexpr double kShareOfKeyed = 0.75;
    const bool keyed = std::bernoulli_distribution(kShareOfKeyed)(random_);
    return DrawFrom(keyed || settings_.other_backends.empty() ? settings_.keyed_backends
                                                              : settings_.other_backends);
  }

  std::string DrawFrom(const std::vector<std::string>& names) {
    std::uniform_int_distribution<size_t> index(0, names.size() - 1);
    return names.at(index(random_));
  }

  bool Fits(const Fault& fault) const {
    if (IsInstant(fault.kind)) {
      return true;
    }
    uint32_t under_way = 0;
    for (const Fault& other : faults_) {
      if (IsInstant(other.kind) || other.until <= fault.from) {
        continue;
      }
      ++under_way;
      const bool same_target = other.target == fault.target;
      const bool both_nodes = IsNodeFault(other.kind) && IsNodeFault(fault.kind);
      const bool both_table = IsTableFault(other.kind) && IsTableFault(fault.kind);
      const bool second_node = both_nodes && settings_.at_once <= kUsualFaultsAtOnce;
      if (same_target || both_table || second_node) {
        return false;
      }
    }
    return under_way < settings_.at_once;
  }

  const ScheduleSettings settings_;
  std::mt19937_64 random_;
  std::vector<Fault> faults_;
};

}  // namespace

std::vector<Fault> MakeFaultSchedule(const ScheduleSettings& settings) {
  return Scheduler(settings).Run();
}

std::string NameOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillBackend:
      return "kill back end";
    case FaultKind::kFreezeBackend:
      return "freeze back end";
    case FaultKind::kStopBackend:
      return "stop back end";
    case FaultKind::kDrainBackend:
      return "drain back end";
    case FaultKind::kKillNode:
      return "kill node";
    case FaultKind::kFreezeNode:
      return "freeze node";
    case FaultKind::kStopNode:
      return "stop node";
    case FaultKind::kTableDown:
      return "table service down";
    case FaultKind::kTableSlow:
      return "table service slow";
    case FaultKind::kLoseTableAnswers:
      return "table answers lost";
    case FaultKind::kMoveKey:
      return "move hot key";
    case FaultKind::kRotateHotKeys:
      return "change hot keys";
  }
  return "unknown";
}

}  // namespace ladderstream::rehearsal
