// Trials of held requests: at most one at a time in the fleet, granted by the store.
#include <absl/strings/str_cat.h>

#include <utility>

#include "core/quarantine/crash_suspects.h"

namespace ladderstream::quarantine {
namespace {

/// A granted trial lapses after this: the request that asked for it waits for the grant. Well below
/// the time for which the store holds other trials back.
constexpr Duration kTrialTime = absl::Seconds(1);

}  // namespace

bool CrashSuspects::AskForTrial(const Fingerprint& request, Time now) {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return false;
  }
  Known& known = found->second;
  known.asked_at = now;
  if (now < known.trial_until && !known.trial_used) {
    return true;
  }
  known.trial_wanted = now >= known.record.HeldUntil() && known.record.trials < kMostTrials;
  known.trial_asked = known.trial_wanted;
  return known.trial_wanted;
}

bool CrashSuspects::AwaitsTrial(const Fingerprint& request, Time now) const {
  const auto found = records_.find(request);
  return found != records_.end() &&
         (found->second.trial_asked ||
          (now < found->second.trial_until && !found->second.trial_used));
}

void CrashSuspects::OnTrialDenied(const Fingerprint& request) {
  const auto found = records_.find(request);
  if (found != records_.end()) {
    found->second.trial_asked = false;
  }
}

bool CrashSuspects::UseTrial(const Fingerprint& request, Time now) {
  const auto found = records_.find(request);
  if (found == records_.end() || now >= found->second.trial_until ||
      std::exchange(found->second.trial_used, true)) {
    return false;
  }
  ++found->second.record.trials;
  found->second.record.tried_at = now;
  news_ = true;
  AddNote(request, "trial",
          absl::StrCat("it is sent once more, trial ", found->second.record.trials, " of ",
                       kMostTrials));
  return true;
}

void CrashSuspects::ReturnTrial(const Fingerprint& request) {
  const auto found = records_.find(request);
  if (found == records_.end() || !std::exchange(found->second.trial_used, false)) {
    return;
  }
  --found->second.record.trials;
  found->second.record.tried_at = absl::InfinitePast();
}

std::vector<SuspectRecord> CrashSuspects::TakeTrialsWanted(Time now) {
  std::vector<SuspectRecord> wanted;
  for (auto& [request, known] : records_) {
    const bool lapsed = now >= known.trial_until && known.trial_until > absl::InfinitePast();
    if (lapsed && !known.trial_used) {
      // The store has counted it.
      known.is_unsaved = true;
    }
    if (lapsed) {
      known.trial_until = absl::InfinitePast();
    }
    if (std::exchange(known.trial_wanted, false)) {
      wanted.push_back(known.record);
    }
  }
  return wanted;
}

void CrashSuspects::OnTrialGranted(const Fingerprint& request, Time now) {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return;
  }
  found->second.trial_until = now + kTrialTime;
  found->second.trial_used = false;
  found->second.trial_asked = false;
}

}  // namespace ladderstream::quarantine
