// Exchange of suspects with other nodes and the store.
#include <algorithm>
#include <utility>

#include "core/quarantine/crash_suspects.h"

namespace ladderstream::quarantine {
namespace {

/// As many nodes as verify a loss at once follow after each of these.
constexpr Duration kVerifyInterval = absl::Milliseconds(500);
/// Between two corrections of nodes that have not heard that a request was served.
constexpr Duration kBetweenTold = absl::Milliseconds(300);
/// Most losses are settled or served elsewhere by then, and need not be stored.
constexpr Duration kTransient = absl::Milliseconds(500);
/// Records in the row of one node.
constexpr size_t kMostWitnessed = 32;

}  // namespace

std::vector<SuspectRecord> CrashSuspects::Shared(Time now) const {
  std::vector<SuspectRecord> shared;
  for (const auto& [request, known] : records_) {
    if (known.is_shared && now < ForgottenAt(known) && !IsCovered(known, now)) {
      shared.push_back(known.record);
    }
  }
  const size_t count = std::min(shared.size(), kMostShared);
  std::partial_sort(shared.begin(), shared.begin() + static_cast<std::ptrdiff_t>(count),
                    shared.end(), [now](const SuspectRecord& one, const SuspectRecord& other) {
                      return IsMoreSuspect(one, other, now);
                    });
  shared.resize(count);
  return shared;
}

bool CrashSuspects::MergeLoss(const Fingerprint& request, const Loss& loss, Time now) {
  const auto known = records_.find(request);
  if (known != records_.end() && loss.at <= known->second.record.served_at + kTransitSlack) {
    return false;
  }
  const bool changed = Advance(request, loss, now);
  if (IsCrash(loss)) {
    // An incarnation that has ended has ended for whatever else was at work there.
    open_.Conclude(loss.backend, loss.state);
  } else if (loss.state != LossState::kOpen) {
    open_.Drop(request, loss.backend);
  } else if (changed) {
    const size_t rank = RankFor(loss.backend);
    open_.Add(loss.backend, {request, loss.at}, now,
              now + kVerifyInterval * static_cast<int64_t>(rank / kFirstVerifiers),
              /*is_own=*/rank < kFirstVerifiers);
  }
  return changed;
}

void CrashSuspects::ClearServedHere(const SuspectRecord& heard, Time now) {
  const Time served_at = served_.ServedAt(heard.request);
  const bool is_outdated =
      served_at > heard.served_at + kTransitSlack &&
      std::any_of(heard.losses.begin(), heard.losses.end(),
                  [served_at](const Loss& loss) { return loss.at <= served_at + kTransitSlack; });
  if (!is_outdated) {
    return;
  }
  Known& known = FindOrAdd(heard.request, now);
  known.is_shared = true;
  const bool changed = Clear(&known, served_at);
  open_.Drop(heard.request);
  if (changed || now - known.served_told_at >= kBetweenTold) {
    known.served_told_at = now;
    news_ = true;
  }
}

bool CrashSuspects::Merge(const std::vector<SuspectRecord>& heard, Time now) {
  bool any = false;
  for (const SuspectRecord& record : heard) {
    if (now >= record.ForgottenAt()) {
      continue;
    }
    ClearServedHere(record, now);
    const auto known = records_.find(record.request);
    if (known != records_.end()) {
      any = Clear(&known->second, record.served_at) || any;
    }
    for (const Loss& loss : record.losses) {
      any =
          MergeLoss(record.request, {loss.backend, std::min(loss.at, now), loss.state}, now) || any;
    }
    const auto merged = records_.find(record.request);
    if (merged == records_.end()) {
      continue;
    }
    merged->second.is_shared = true;
    SuspectRecord& known_record = merged->second.record;
    if (record.trials > known_record.trials) {
      known_record.trials = record.trials;
      known_record.tried_at = std::min(record.tried_at, now);
      any = true;
    }
  }
  ApplyVerdicts(now);
  return any;
}

bool CrashSuspects::MustOutliveNode(const SuspectRecord& record, Time now) const {
  if (record.CountCrashes() >= kCrashesToStore) {
    // It has a row of its own.
    return false;
  }
  // One loss is what each innocent request has that was at work at a crash: rows for these would
  // cost a write a crash at every node.
  const auto lasting =
      std::count_if(record.losses.begin(), record.losses.end(), [this, now](const Loss& loss) {
        return IsCrash(loss) || (loss.state == LossState::kOpen &&
                                 now - open_.OpenSince(loss.backend) >= kTransient);
      });
  return lasting >= static_cast<std::ptrdiff_t>(kCrashesToStore);
}

std::vector<SuspectRecord> CrashSuspects::Witnessed(Time now) const {
  std::vector<SuspectRecord> witnessed;
  for (const auto& [request, known] : records_) {
    if (known.is_witnessed && now < ForgottenAt(known) && !IsCovered(known, now) &&
        MustOutliveNode(known.record, now)) {
      witnessed.push_back(known.record);
    }
  }
  std::sort(witnessed.begin(), witnessed.end(),
            [now](const SuspectRecord& one, const SuspectRecord& other) {
              return IsMoreSuspect(one, other, now);
            });
  witnessed.resize(std::min(witnessed.size(), kMostWitnessed));
  return witnessed;
}

void CrashSuspects::Inherit(const std::vector<SuspectRecord>& records) {
  for (const SuspectRecord& record : records) {
    const auto known = records_.find(record.request);
    if (known != records_.end()) {
      known->second.is_witnessed = true;
    }
  }
}

std::vector<StoredChange> CrashSuspects::TakeStoredChanges(Time now) {
  std::vector<StoredChange> changes = std::exchange(removed_, {});
  for (auto& [request, known] : records_) {
    if (IsCovered(known, now) || !std::exchange(known.is_unsaved, false)) {
      continue;
    }
    const bool to_store = known.record.CountCrashes() >= kCrashesToStore;
    if (to_store) {
      changes.push_back(known.record);
    } else if (known.is_stored) {
      changes.push_back(EmptyRecord(request));
    }
    known.is_stored = to_store;
  }
  return changes;
}

}  // namespace ladderstream::quarantine
