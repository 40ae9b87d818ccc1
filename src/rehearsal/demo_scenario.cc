#include <absl/strings/str_cat.h>

#include "rehearsal/scenario.h"
#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

// When the steps are taken, as shares of the run.
constexpr double kMoveAt = 0.2;
constexpr double kKillAt = 0.4;
constexpr double kRestartAt = 0.6;
constexpr double kDrainAt = 0.7;

class Demo {
 public:
  Demo(Rehearsal* rehearsal, absl::Duration length)
      : rehearsal_(rehearsal), cluster_(rehearsal->cluster()), length_(length) {}

  void MoveHotKey() {
    const ProbeTarget& hot = rehearsal_->probes().front();
    const std::string owner = cluster_.OwnerOf(hot.service, hot.key);
    for (const std::string& backend : cluster_.BackendNames(RoutingKind::kByKey)) {
      if (backend != owner && backend.starts_with(hot.service)) {
        Note(FaultKind::kMoveKey, backend, absl::ZeroDuration(), hot.key);
        cluster_.operators().MoveKey(hot.service, hot.key, backend);
        rehearsal_->Say(
            absl::StrCat("          ", hot.key, " moves from ", owner, " to ", backend));
        return;
      }
    }
  }

  void KillOwner() {
    // The coldest of the probed keys, so that the killed one is hardly the moved key's owner.
    const ProbeTarget& target = rehearsal_->probes().back();
    victim_ = cluster_.OwnerOf(target.service, target.key);
    rehearsal_->Say(absl::StrCat("          ", target.key, " is owned by ", victim_));
    cluster_.NoteAbsent(victim_);
    Note(FaultKind::kKillBackend, victim_, length_ * (kRestartAt - kKillAt));
    cluster_.processes().Kill(victim_);
  }

  void RestartOwner() {
    cluster_.processes().Restart(victim_);
    cluster_.NotePresent(victim_);
  }

  void Drain() {
    for (const std::string& backend : cluster_.BackendNames(RoutingKind::kByKey)) {
      if (backend != victim_) {
        cluster_.NoteAbsent(backend);
        Note(FaultKind::kDrainBackend, backend, length_ * (1 - kDrainAt));
        cluster_.operators().Drain(backend);
        cluster_.NoteLeaving(backend);
        rehearsal_->Say(absl::StrCat("          ", backend, " is draining"));
        return;
      }
    }
  }

 private:
  void Note(FaultKind kind, const std::string& target, absl::Duration length,
            const std::string& key = "") {
    rehearsal_->NoteFault({.kind = kind, .target = target, .key = key, .from = {}, .until = {}},
                          length);
  }

  Rehearsal* rehearsal_;
  Cluster& cluster_;
  absl::Duration length_;
  std::string victim_;
};

}  // namespace

Verdict RunDemo(const RehearsalSettings& settings, std::ostream* out) {
  Rehearsal rehearsal(settings, out);
  rehearsal.Prepare();
  Demo demo(&rehearsal, settings.length);
  rehearsal.Run(
      {{settings.length * kMoveAt, "a hot key is moved", [&] { demo.MoveHotKey(); }},
       {settings.length * kKillAt, "an owner is killed", [&] { demo.KillOwner(); }},
       {settings.length * kRestartAt, "it is started again", [&] { demo.RestartOwner(); }},
       {settings.length * kDrainAt, "a back end is drained", [&] { demo.Drain(); }}});
  return rehearsal.Finish();
}

}  // namespace ladderstream::rehearsal
