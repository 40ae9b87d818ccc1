#include "core/quarantine/crash_suspects.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace ladderstream::quarantine {
namespace {

/// A back end that refuses no connection this long after a loss has not crashed.
constexpr Duration kProbedFor = absl::Seconds(1);
/// A request that has crashed fewer back ends than hold it is forgotten this long after the last.
constexpr Duration kForgetAccused = absl::Minutes(1);
/// One that was held is remembered for this long after its release, so that the next crash holds it
/// at once, and for longer.
constexpr Duration kForgetReleased = absl::Minutes(10);
/// How long a request is held; doubled with each crash beyond the first ones. Few who come again
/// come once in five minutes; a caller who was held by mistake asks something else meanwhile.
constexpr Duration kFirstHold = absl::Minutes(5);
constexpr Duration kLongestHold = absl::Hours(1);
/// Losses of one back end, and back ends with losses, that wait for a verdict.
constexpr size_t kMostLostRequests = 64;
constexpr size_t kMostLosses = 256;
constexpr size_t kMostNotes = 256;

Duration HoldAfter(size_t crashes) {
  return std::min(kFirstHold * (int64_t{1} << (crashes - kCrashesToHold)), kLongestHold);
}

std::string NamesOf(const std::vector<Crash>& crashes) {
  std::string names;
  for (const Crash& crash : crashes) {
    absl::StrAppend(&names, names.empty() ? "" : " ", crash.backend);
  }
  return names;
}

Time HeldUntil(const SuspectRecord& record) {
  if (record.crashes.size() < kCrashesToHold) {
    return absl::InfinitePast();
  }
  return record.crashes.back().at + HoldAfter(record.crashes.size());
}

Time ForgottenAt(const SuspectRecord& record) {
  if (record.crashes.empty()) {
    // Long enough for all nodes to hear that it was served.
    return record.served_at + kForgetAccused;
  }
  return record.crashes.size() < kCrashesToHold ? record.crashes.back().at + kForgetAccused
                                                : HeldUntil(record) + kForgetReleased;
}

bool MoreAccused(const SuspectRecord& one, const SuspectRecord& other) {
  if (one.crashes.size() != other.crashes.size()) {
    return one.crashes.size() > other.crashes.size();
  }
  return ForgottenAt(one) > ForgottenAt(other);
}

}  // namespace

void CrashSuspects::OnLost(const Fingerprint& request, const std::string& backend, Time now) {
  if (!lost_.contains(backend) && lost_.size() >= kMostLosses) {
    return;
  }
  const auto [place, is_new] = lost_.try_emplace(backend);
  Loss& loss = place->second;
  if (is_new) {
    loss.next_probe = now;
  }
  loss.at = now;
  if (loss.requests.size() < kMostLostRequests) {
    loss.requests.push_back(request);
  }
}

std::vector<std::string> CrashSuspects::TakeProbes(Time now) {
  std::vector<std::string> due;
  for (auto entry = lost_.begin(); entry != lost_.end();) {
    Loss& loss = entry->second;
    if (now - loss.at > kProbedFor) {
      lost_.erase(entry++);
      continue;
    }
    if (now >= loss.next_probe) {
      loss.next_probe = now + kBetweenProbes;
      due.push_back(entry->first);
    }
    ++entry;
  }
  return due;
}

Time CrashSuspects::NextProbe() const {
  Time next = absl::InfiniteFuture();
  for (const auto& [backend, loss] : lost_) {
    next = std::min(next, loss.next_probe);
  }
  return next;
}

void CrashSuspects::OnRefused(const std::string& backend, Time now) {
  const auto found = lost_.find(backend);
  if (found == lost_.end()) {
    return;
  }
  Loss& loss = found->second;
  loss.refused_at = loss.refused_at.value_or(now);
  if (now - *loss.refused_at < kBetweenProbes) {
    return;
  }
  const Loss crashed = std::move(loss);
  lost_.erase(found);
  for (const Fingerprint& request : crashed.requests) {
    news_ = Accuse(request, {backend, crashed.at}, now) || news_;
  }
}

bool CrashSuspects::Accuse(const Fingerprint& request, const Crash& crash, Time now) {
  const auto known = records_.find(request);
  if (known == records_.end()) {
    MakeRoom(now);
  }
  SuspectRecord& record = known == records_.end() ? records_[request] : known->second;
  record.request = request;
  const bool counted = std::any_of(record.crashes.begin(), record.crashes.end(),
                                   [&](const Crash& one) { return one.backend == crash.backend; });
  if (counted || crash.at <= record.served_at || record.crashes.size() >= kMostCrashes) {
    return false;
  }
  record.crashes.push_back(crash);
  std::stable_sort(record.crashes.begin(), record.crashes.end(),
                   [](const Crash& a, const Crash& b) { return a.at < b.at; });
  if (notes_.size() < kMostNotes) {
    const Time until = HeldUntil(record);
    const std::string names = NamesOf(record.crashes);
    notes_.push_back({request, until > now ? "held" : "accused",
                      until > now ? absl::StrCat("for ", absl::FormatDuration(until - now),
                                                 ", it crashed ", names)
                                  : absl::StrCat("was at work when these crashed: ", names)});
  }
  return true;
}

bool CrashSuspects::Clear(SuspectRecord* record, Time served_at) {
  if (served_at <= record->served_at) {
    return false;
  }
  record->served_at = served_at;
  const auto old = std::erase_if(record->crashes,
                                 [served_at](const Crash& crash) { return crash.at <= served_at; });
  if (old > 0 && notes_.size() < kMostNotes) {
    notes_.push_back(
        {record->request, "cleared", "a back end has served it, or an operator has released it"});
  }
  return old > 0;
}

void CrashSuspects::OnServed(const Fingerprint& request, Time now) {
  const auto known = records_.find(request);
  if (known != records_.end()) {
    news_ = Clear(&known->second, now) || news_;
  }
}

Judgement CrashSuspects::Judge(const Fingerprint& request, Time now) const {
  const auto known = records_.find(request);
  if (known == records_.end() || now >= ForgottenAt(known->second)) {
    return {};
  }
  return {known->second.crashes.size(), HeldUntil(known->second), NamesOf(known->second.crashes)};
}

size_t CrashSuspects::CountHeld(Time now) const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [now](const auto& entry) { return now < HeldUntil(entry.second); }));
}

std::vector<SuspectRecord> CrashSuspects::Shared(Time now) const {
  std::vector<SuspectRecord> shared;
  for (const auto& [request, record] : records_) {
    if (now < ForgottenAt(record)) {
      shared.push_back(record);
    }
  }
  const size_t count = std::min(shared.size(), kMostShared);
  std::partial_sort(shared.begin(), shared.begin() + static_cast<std::ptrdiff_t>(count),
                    shared.end(), MoreAccused);
  shared.resize(count);
  return shared;
}

bool CrashSuspects::Merge(const std::vector<SuspectRecord>& heard, Time now) {
  bool any = false;
  for (const SuspectRecord& record : heard) {
    if (now >= ForgottenAt(record)) {
      continue;
    }
    const auto known = records_.find(record.request);
    if (known != records_.end()) {
      any = Clear(&known->second, record.served_at) || any;
    }
    for (const Crash& crash : record.crashes) {
      any = Accuse(record.request, {crash.backend, std::min(crash.at, now)}, now) || any;
    }
  }
  return any;
}

void CrashSuspects::Forget(Time now) {
  absl::erase_if(records_, [now](const auto& entry) { return now >= ForgottenAt(entry.second); });
}

void CrashSuspects::MakeRoom(Time now) {
  if (records_.size() < kMostRecords) {
    return;
  }
  Forget(now);
  if (records_.size() < kMostRecords) {
    return;
  }
  const auto least = std::max_element(
      records_.begin(), records_.end(),
      [](const auto& a, const auto& b) { return MoreAccused(a.second, b.second); });
  records_.erase(least);
}

}  // namespace ladderstream::quarantine
