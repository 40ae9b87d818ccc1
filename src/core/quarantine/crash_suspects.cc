#include "core/quarantine/crash_suspects.h"

#include <absl/container/btree_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace ladderstream::quarantine {
namespace {

constexpr size_t kMostNotes = 256;
/// A process that takes the name or the address of a lost one later than this says nothing of the
/// loss: longer than three heartbeats, the delay of the store, and the reuse of an address.
constexpr Duration kReplacedWithin = absl::Seconds(30);
/// A request that is held is not forgotten for so long after it was asked for.
constexpr Duration kKeepAsked = absl::Minutes(10);

/// FNV-1a with a final mix: every node must draw the same, whatever it was built with.
uint64_t HashOf(const std::string& backend, uint64_t member) {
  constexpr uint64_t kOffset = 14695981039346656037U;
  constexpr uint64_t kPrime = 1099511628211U;
  uint64_t hash = kOffset;
  for (const char byte : backend) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  hash = (hash ^ member) * kPrime;
  hash ^= hash >> 29U;
  return hash * kPrime;
}

/// Whether `one` keeps a request back more than `other` does.
bool IsStricter(const Judgement& one, const Judgement& other, Time now) {
  const auto rank = [now](const Judgement& judgement) {
    return std::tuple(judgement.Held(now), judgement.needs_trial, judgement.Unsettled(),
                      judgement.crashes, judgement.open);
  };
  return rank(one) > rank(other);
}

}  // namespace

void CrashSuspects::SetMembers(uint64_t self, std::vector<uint64_t> members) {
  self_ = self;
  members_ = std::move(members);
}

size_t CrashSuspects::RankFor(const std::string& backend) const {
  const uint64_t own = HashOf(backend, self_);
  return static_cast<size_t>(std::count_if(members_.begin(), members_.end(), [&](uint64_t member) {
    return member != self_ && HashOf(backend, member) > own;
  }));
}

// Losses.

void CrashSuspects::OnLost(const RequestIdentity& request, const std::string& backend, Time at,
                           Time now) {
  AddLost(request.content, backend, at, now);
  if (request.HasVariant()) {
    AddLost(request.variant, backend, at, now);
    LinkVariant(request);
  }
  ApplyVerdicts(now);
}

void CrashSuspects::AddLost(const Fingerprint& request, const std::string& backend, Time at,
                            Time now) {
  if (AddWitnessed(request, {backend, at, LossState::kOpen}, now)) {
    open_.Add(backend, {request, at}, now, /*probe_at=*/now, /*is_own=*/true);
  }
}

void CrashSuspects::OnGivenUp(const RequestIdentity& request, const std::string& backend, Time at,
                              Time now) {
  AddGivenUp(request.content, backend, at, now);
  if (request.HasVariant()) {
    AddGivenUp(request.variant, backend, at, now);
    LinkVariant(request);
  }
}

void CrashSuspects::AddGivenUp(const Fingerprint& request, const std::string& backend, Time at,
                               Time now) {
  if (AddWitnessed(request, {backend, at, LossState::kWatched}, now)) {
    open_.Add(backend, {request, at}, now, /*probe_at=*/absl::InfiniteFuture(), /*is_own=*/true);
  }
}

void CrashSuspects::LinkVariant(const RequestIdentity& request) {
  const auto known = records_.find(request.variant);
  if (known != records_.end()) {
    known->second.content = request.content;
  }
}

bool CrashSuspects::IsCovered(const Known& known, Time now) const {
  if (!known.content.has_value()) {
    return false;
  }
  const auto content = records_.find(*known.content);
  if (content == records_.end()) {
    return false;
  }
  const SuspectRecord& of_content = content->second.record;
  const SuspectRecord& of_variant = known.record;
  const size_t crashes = of_content.CountCrashes();
  return crashes >= of_variant.CountCrashes() &&
         crashes + of_content.CountOpen(now) >=
             of_variant.CountCrashes() + of_variant.CountOpen(now);
}

bool CrashSuspects::AddWitnessed(const Fingerprint& request, const Loss& loss, Time now) {
  if (loss.at <= served_.ServedAt(request)) {
    return false;
  }
  Advance(request, loss, now);
  FindOrAdd(request, now).is_witnessed = true;
  return true;
}

void CrashSuspects::OnServed(const RequestIdentity& request, Time now) {
  served_.Add(request.content, now);
  ClearOne(request.content, now);
  if (request.HasVariant()) {
    served_.Add(request.variant, now);
    ClearOne(request.variant, now);
  }
}

void CrashSuspects::Release(const Fingerprint& request, Time now) {
  std::vector<Fingerprint> released = {request};
  for (const auto& [variant, known] : records_) {
    if (known.content == request) {
      released.push_back(variant);
    }
  }
  for (const Fingerprint& one : released) {
    ClearOne(one, now);
  }
}

void CrashSuspects::ClearOne(const Fingerprint& request, Time now) {
  const auto known = records_.find(request);
  if (known == records_.end()) {
    return;
  }
  open_.Drop(request);
  news_ = Clear(&known->second, now) || news_;
  if (!known->second.is_shared) {
    records_.erase(known);
  }
}

bool CrashSuspects::Clear(Known* known, Time served_at) {
  SuspectRecord& record = known->record;
  if (served_at <= record.served_at) {
    return false;
  }
  record.served_at = served_at;
  const bool was_stored = known->is_stored || record.CountCrashes() >= kCrashesToStore;
  const auto old = std::erase_if(record.losses, [served_at](const Loss& loss) {
    return loss.at <= served_at + kTransitSlack;
  });
  if (old == 0 || !known->is_shared) {
    return false;
  }
  record.trials = 0;
  record.tried_at = absl::InfinitePast();
  known->trial_until = absl::InfinitePast();
  known->trial_used = false;
  known->trial_asked = false;
  known->is_unsaved = false;
  if (was_stored) {
    known->is_stored = false;
    removed_.push_back(EmptyRecord(record.request));
  }
  AddNote(record.request, "cleared", "a back end has served it, or an operator has released it");
  // What is known of its variants counts from now on.
  news_ = news_ || std::any_of(records_.begin(), records_.end(), [&record](const auto& entry) {
            return entry.second.content == record.request && !entry.second.record.losses.empty();
          });
  return true;
}

void CrashSuspects::OnWanted(const RequestIdentity& request, Time now) {
  for (const Fingerprint& one : {request.content, request.variant}) {
    const auto known = records_.find(one);
    if (known == records_.end()) {
      continue;
    }
    for (const Loss& loss : known->second.record.losses) {
      if (loss.state == LossState::kOpen) {
        open_.OnWanted(loss.backend, now);
      }
    }
  }
}

// Evidence.

void CrashSuspects::OnRefused(const std::string& backend, Time now) {
  open_.OnRefused(backend, now);
  ApplyVerdicts(now);
}

void CrashSuspects::OnUnanswered(const std::string& backend, Time now) {
  open_.OnUnanswered(backend, now);
  ApplyVerdicts(now);
}

void CrashSuspects::OnConnected(const std::string& backend, Time now) {
  open_.OnReached(backend, now);
  ApplyVerdicts(now);
}

void CrashSuspects::OnAnswered(const std::string& backend, Time now) {
  OnConnected(backend, now);
  if (!ended_.contains(backend)) {
    return;
  }
  ended_.erase(backend);
  for (auto& [request, known] : records_) {
    for (const Loss& loss : known.record.losses) {
      if (loss.backend == backend && loss.state == LossState::kEnded) {
        Advance(request, {backend, loss.at, LossState::kReturned}, now);
        known.is_unsaved = true;
        news_ = true;
        break;
      }
    }
  }
}

void CrashSuspects::OnRegistrationGone(const std::string& backend, Time now) {
  open_.OnRegistrationGone(backend, now);
}

void CrashSuspects::OnReplaced(const std::string& backend, Time now) {
  open_.Conclude(backend, LossState::kReplaced);
  for (auto& [request, known] : records_) {
    for (const Loss& loss : known.record.losses) {
      if (loss.backend == backend && now - loss.at < kReplacedWithin) {
        if (Advance(request, {backend, loss.at, LossState::kReplaced}, now)) {
          known.is_unsaved = known.is_unsaved || RankFor(backend) < kFirstVerifiers;
          known.is_shared = true;
          news_ = true;
        }
        break;
      }
    }
  }
  ApplyVerdicts(now);
}

void CrashSuspects::OnPathCut(const std::string& backend, Time now) {
  open_.OnPathCut(backend, now);
  ApplyVerdicts(now);
}

void CrashSuspects::OnPathRestored(const std::string& backend, Time now) {
  open_.OnPathRestored(backend, now);
}

std::vector<std::string> CrashSuspects::LostBackends(Time now) const {
  absl::btree_set<std::string> lost;
  for (const auto& [request, known] : records_) {
    for (const Loss& loss : known.record.losses) {
      if (now - loss.at < kReplacedWithin && loss.state != LossState::kReplaced) {
        lost.insert(loss.backend);
      }
    }
  }
  return {lost.begin(), lost.end()};
}

void CrashSuspects::ApplyVerdicts(Time now) {
  for (const Verdict& unsettled : open_.TakeUnsettled()) {
    for (const LostRequest& lost : unsettled.requests) {
      const auto known = records_.find(lost.request);
      if (known == records_.end()) {
        continue;
      }
      known->second.is_shared = true;
      news_ = true;
      const SuspectRecord& record = known->second.record;
      const bool is_slow = now - lost.at > kBetweenProbes;
      if (is_slow && !IsCovered(known->second, now) &&
          record.CountCrashes() + record.CountOpen(now) >= kCrashesToStopRetries) {
        AddNote(lost.request, "suspected",
                absl::StrCat("lost with ", unsettled.backend, ", which is not reached; ",
                             record.CountCrashes(), " crashes, ", record.CountOpen(now),
                             " losses open"));
      }
    }
  }
  for (const Verdict& verdict : open_.TakeVerdicts()) {
    for (const LostRequest& lost : verdict.requests) {
      const bool changed = Advance(lost.request, {verdict.backend, lost.at, verdict.state}, now);
      const auto known = records_.find(lost.request);
      if (!changed || known == records_.end()) {
        continue;
      }
      const bool is_crash = verdict.state != LossState::kAlive;
      known->second.is_unsaved = known->second.is_unsaved || (is_crash && verdict.is_own);
      known->second.is_shared = known->second.is_shared || is_crash;
      news_ = news_ || (known->second.is_shared && verdict.is_own);
    }
  }
}

// Records.

CrashSuspects::Known& CrashSuspects::FindOrAdd(const Fingerprint& request, Time now) {
  const auto known = records_.find(request);
  if (known != records_.end()) {
    return known->second;
  }
  MakeRoom(now);
  Known& added = records_[request];
  added.record.request = request;
  return added;
}

bool CrashSuspects::Advance(const Fingerprint& request, const Loss& loss, Time now) {
  Known& known = FindOrAdd(request, now);
  SuspectRecord& record = known.record;
  if (loss.at <= record.served_at) {
    return false;
  }
  const auto same = std::find_if(record.losses.begin(), record.losses.end(),
                                 [&](const Loss& one) { return one.backend == loss.backend; });
  if (same != record.losses.end() && same->state >= loss.state) {
    return false;
  }
  if (same != record.losses.end()) {
    same->state = loss.state;
  } else if (record.losses.size() < kMostLosses) {
    record.losses.push_back(loss);
    std::stable_sort(record.losses.begin(), record.losses.end(),
                     [](const Loss& a, const Loss& b) { return a.at < b.at; });
  } else {
    return false;
  }
  if (loss.state == LossState::kEnded) {
    ended_.insert(loss.backend);
  }
  if (!IsCovered(known, now)) {
    ++settled_.at(static_cast<size_t>(loss.state));
    NoteAdvance(record, loss, now);
  }
  return true;
}

void CrashSuspects::NoteAdvance(const SuspectRecord& record, const Loss& loss, Time now) {
  if (!IsCrash(loss)) {
    if (loss.state == LossState::kReturned) {
      AddNote(record.request, "returned", absl::StrCat(loss.backend, " answers again"));
    }
    return;
  }
  const Time until = record.HeldUntil();
  const std::string names = record.CrashedBackends();
  const absl::string_view how(NameOf(loss.state).data(), NameOf(loss.state).size());
  if (until > now) {
    AddNote(record.request, "held",
            absl::StrCat("for ", absl::FormatDuration(until - now), ", it crashed ", names, "; ",
                         loss.backend, " ", how));
  } else {
    AddNote(record.request, "accused",
            absl::StrCat("was at work when these crashed: ", names, "; ", loss.backend, " ", how));
  }
}

void CrashSuspects::AddNote(const Fingerprint& request, std::string event, std::string detail) {
  if (notes_.size() < kMostNotes) {
    notes_.push_back({request, std::move(event), std::move(detail)});
  }
}

bool CrashSuspects::empty() const {
  return std::all_of(records_.begin(), records_.end(), [](const auto& entry) {
    return std::all_of(
        entry.second.record.losses.begin(), entry.second.record.losses.end(),
        [](const Loss& loss) { return !IsCrash(loss) && loss.state != LossState::kOpen; });
  });
}

Judgement CrashSuspects::Judge(const RequestIdentity& request, Time now) const {
  Judgement judgement = JudgeOne(request.content, now);
  if (request.HasVariant()) {
    Judgement variant = JudgeOne(request.variant, now);
    if (IsStricter(variant, judgement, now)) {
      judgement = std::move(variant);
    }
  }
  return judgement;
}

Judgement CrashSuspects::JudgeOne(const Fingerprint& request, Time now) const {
  Judgement judgement;
  judgement.request = request;
  const auto known = records_.find(request);
  if (known == records_.end() || now >= ForgottenAt(known->second)) {
    return judgement;
  }
  const SuspectRecord& record = known->second.record;
  judgement.crashes = record.CountCrashes();
  judgement.open = record.CountOpen(now);
  judgement.held_until = record.HeldUntil();
  judgement.needs_trial = judgement.crashes >= kCrashesToHold && now >= judgement.held_until;
  judgement.backends = record.CrashedBackends();
  return judgement;
}

size_t CrashSuspects::CountHeld(Time now) const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(), [this, now](const auto& entry) {
        return now < entry.second.record.HeldUntil() && !IsCovered(entry.second, now);
      }));
}

size_t CrashSuspects::CountOpen(Time now) const {
  size_t open = 0;
  for (const auto& [request, known] : records_) {
    open += IsCovered(known, now) ? 0 : known.record.CountOpen(now);
  }
  return open;
}

// Memory.

Time CrashSuspects::ForgottenAt(const Known& known) {
  const Time forgotten = known.record.ForgottenAt();
  const bool is_held = known.record.CountCrashes() >= kCrashesToHold;
  return is_held ? std::max(forgotten, known.asked_at + kKeepAsked) : forgotten;
}

void CrashSuspects::Forget(Time now) {
  for (auto entry = records_.begin(); entry != records_.end();) {
    entry = now >= ForgottenAt(entry->second) ? records_.erase(entry) : std::next(entry);
  }
  if (records_.empty()) {
    ended_.clear();
  }
}

void CrashSuspects::MakeRoom(Time now) {
  if (records_.size() < kMostRecords) {
    return;
  }
  Forget(now);
  if (records_.size() < kMostRecords) {
    return;
  }
  const auto least =
      std::max_element(records_.begin(), records_.end(), [now](const auto& a, const auto& b) {
        return IsMoreSuspect(a.second.record, b.second.record, now);
      });
  records_.erase(least);
}

}  // namespace ladderstream::quarantine
