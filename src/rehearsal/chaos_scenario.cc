#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <set>

#include "rehearsal/fault_schedule.h"
#include "rehearsal/scenario.h"
#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

constexpr absl::Duration kStopPoll = absl::Milliseconds(250);

class Chaos {
 public:
  explicit Chaos(Rehearsal* rehearsal) : rehearsal_(rehearsal), cluster_(rehearsal->cluster()) {}

  void Begin(const Fault& fault) {
    if (stopping_.contains(fault.target)) {
      return;
    }
    begun_.insert(fault.target);
    Note(fault);
    switch (fault.kind) {
      case FaultKind::kKillBackend:
      case FaultKind::kKillNode:
        cluster_.NoteAbsent(fault.target);
        cluster_.processes().Kill(fault.target);
        break;
      case FaultKind::kFreezeBackend:
      case FaultKind::kFreezeNode:
        cluster_.NoteAbsent(fault.target);
        cluster_.processes().Signal(fault.target, SIGSTOP);
        break;
      case FaultKind::kStopBackend:
        cluster_.NoteLeaving(fault.target);
        [[fallthrough]];
      case FaultKind::kStopNode:
        cluster_.NoteAbsent(fault.target);
        cluster_.processes().Signal(fault.target, SIGTERM);
        break;
      case FaultKind::kDrainBackend:
        cluster_.NoteAbsent(fault.target);
        cluster_.operators().Drain(fault.target);
        cluster_.NoteLeaving(fault.target);
        break;
      case FaultKind::kTableDown:
        cluster_.ControlTable(R"({"down":true})");
        break;
      case FaultKind::kTableSlow:
        cluster_.ControlTable(R"({"delay_ms":400})");
        break;
      case FaultKind::kLoseTableAnswers:
        cluster_.ControlTable(R"({"lose_answers":3})");
        break;
      case FaultKind::kMoveKey:
        MoveHotKey(fault);
        break;
      case FaultKind::kRotateHotKeys:
        rehearsal_->load().RotateKeys();
        break;
    }
  }

  void End(const Fault& fault) {
    if (begun_.erase(fault.target) == 0) {
      return;
    }
    switch (fault.kind) {
      case FaultKind::kKillBackend:
      case FaultKind::kKillNode:
        cluster_.processes().Restart(fault.target);
        NotePresentIfBackend(fault.target);
        break;
      case FaultKind::kFreezeBackend:
      case FaultKind::kFreezeNode:
        cluster_.processes().Signal(fault.target, SIGCONT);
        NotePresentIfBackend(fault.target);
        break;
      case FaultKind::kStopBackend:
      case FaultKind::kStopNode:
        stopping_.insert(fault.target);
        StartWhatStopped();
        break;
      case FaultKind::kDrainBackend:
        cluster_.NoteStaying(fault.target);
        cluster_.operators().Undrain(fault.target);
        cluster_.NotePresent(fault.target);
        break;
      case FaultKind::kTableDown:
        cluster_.ControlTable(R"({"down":false})");
        break;
      case FaultKind::kTableSlow:
        cluster_.ControlTable(R"({"delay_ms":0})");
        break;
      case FaultKind::kLoseTableAnswers:
        cluster_.ControlTable(R"({"lose_answers":0})");
        break;
      case FaultKind::kMoveKey:
      case FaultKind::kRotateHotKeys:
        break;
    }
  }

  // A planned stop may take longer than the fault lasts.
  void StartWhatStopped() {
    for (auto name = stopping_.begin(); name != stopping_.end();) {
      if (cluster_.processes().IsRunning(*name)) {
        ++name;
        continue;
      }
      cluster_.NoteStaying(*name);
      cluster_.processes().Restart(*name);
      NotePresentIfBackend(*name);
      name = stopping_.erase(name);
    }
  }

 private:
  void NotePresentIfBackend(const std::string& name) {
    if (!name.starts_with("node-")) {
      cluster_.NotePresent(name);
    }
  }

  // The trace names the key that is moved.
  void Note(Fault fault) {
    if (fault.kind == FaultKind::kMoveKey && fault.key.empty()) {
      fault.key = HottestKeyFor(fault.target).key;
    }
    if (fault.kind != FaultKind::kRotateHotKeys) {
      rehearsal_->NoteFault(fault, fault.until - fault.from);
    }
  }

  void MoveHotKey(const Fault& fault) {
    const ProbeTarget& hottest = HottestKeyFor(fault.target);
    const std::string& key = fault.key.empty() ? hottest.key : fault.key;
    cluster_.operators().MoveKey(hottest.service, key, fault.target);
  }

  // The hottest probed key of a back end's service.
  const ProbeTarget& HottestKeyFor(const std::string& backend) const {
    const auto& probes = rehearsal_->probes();
    const auto found = std::find_if(
        probes.begin(), probes.end(),
        [&backend](const ProbeTarget& probe) { return backend.starts_with(probe.service); });
    if (found == probes.end()) {
      throw Error(ResultCode::kUnknownName, absl::StrCat("no key is probed for ", backend));
    }
    return *found;
  }

  Rehearsal* rehearsal_;
  Cluster& cluster_;
  /// Processes that were told to stop and shall be started again.
  std::set<std::string> stopping_;
  /// Targets of faults under way; a process that is still stopping is spared another fault.
  std::set<std::string> begun_;
};

ScheduleSettings MakeScheduleSettings(const RehearsalSettings& settings, const Cluster& cluster) {
  ScheduleSettings schedule;
  schedule.seed = settings.seed;
  schedule.length = settings.length;
  schedule.nodes = cluster.NodeNames();
  schedule.keyed_backends = cluster.BackendNames(RoutingKind::kByKey);
  schedule.other_backends = cluster.BackendNames(RoutingKind::kByLoad);
  return schedule;
}

}  // namespace

Verdict RunChaos(const RehearsalSettings& settings, std::ostream* out) {
  Rehearsal rehearsal(settings, out);
  rehearsal.Prepare();
  Chaos chaos(&rehearsal);
  std::vector<Step> steps;
  for (const Fault& fault :
       MakeFaultSchedule(MakeScheduleSettings(settings, rehearsal.cluster()))) {
    const std::string name = absl::StrCat(NameOf(fault.kind), " ", fault.target);
    steps.push_back({fault.from, name, [&chaos, fault] { chaos.Begin(fault); }});
    if (fault.until > fault.from) {
      steps.push_back(
          {fault.until, absl::StrCat("end of: ", name), [&chaos, fault] { chaos.End(fault); }});
    }
  }
  for (absl::Duration at; at < settings.length; at += kStopPoll) {
    steps.push_back({at, "", [&chaos] { chaos.StartWhatStopped(); }});
  }
  rehearsal.Run(std::move(steps));
  return rehearsal.Finish();
}

}  // namespace ladderstream::rehearsal
