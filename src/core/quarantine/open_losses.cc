#include "core/quarantine/open_losses.h"

#include <algorithm>
#include <iterator>

namespace ladderstream::quarantine {
namespace {

/// A back end that could not be judged for so long is given up.
constexpr Duration kJudgedFor = absl::Minutes(1);
constexpr Duration kLongestInterval = absl::Seconds(2);
/// Evidence that is older has to be gathered anew.
constexpr Duration kRecent = absl::Seconds(1);
/// Longer than any request is under way.
constexpr Duration kGoneKept = absl::Minutes(2);
/// Losses of one back end, and back ends with losses, that wait for a verdict.
constexpr size_t kMostLostRequests = 128;
constexpr size_t kMostEntries = 1024;

}  // namespace

void OpenLosses::Add(const std::string& backend, const LostRequest& lost, Time now, Time probe_at,
                     bool is_own) {
  if (!entries_.contains(backend) && entries_.size() >= kMostEntries) {
    return;
  }
  const auto [place, is_new] = entries_.try_emplace(backend);
  Entry& entry = place->second;
  if (is_new) {
    entry.since = now;
    entry.next_probe = probe_at;
    const auto gone = gone_.find(backend);
    if (gone != gone_.end()) {
      entry.gone_at = gone->second;
    }
  }
  entry.next_probe = std::min(entry.next_probe, probe_at);
  entry.is_own = entry.is_own || is_own;
  const bool known =
      std::any_of(entry.requests.begin(), entry.requests.end(),
                  [&lost](const LostRequest& one) { return one.request == lost.request; });
  if (known || entry.requests.size() >= kMostLostRequests) {
    return;
  }
  entry.requests.push_back(lost);
  if (entry.told && is_own) {
    unsettled_.push_back({backend, LossState::kOpen, {lost}, true});
  }
}

Time OpenLosses::OpenSince(const std::string& backend) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() ? absl::InfiniteFuture() : found->second.since;
}

void OpenLosses::Drop(const Fingerprint& request) {
  for (auto& [backend, entry] : entries_) {
    DropFrom(&entry, request);
  }
  EraseEmpty();
}

void OpenLosses::Drop(const Fingerprint& request, const std::string& backend) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    DropFrom(&found->second, request);
    EraseEmpty();
  }
}

void OpenLosses::DropFrom(Entry* entry, const Fingerprint& request) {
  std::erase_if(entry->requests,
                [&request](const LostRequest& one) { return one.request == request; });
}

void OpenLosses::EraseEmpty() {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    entry = entry->second.requests.empty() ? entries_.erase(entry) : std::next(entry);
  }
}

void OpenLosses::Conclude(const std::string& backend, LossState state) {
  auto found = entries_.extract(backend);
  if (found.empty()) {
    return;
  }
  Entry& entry = found.mapped();
  verdicts_.push_back({backend, state, std::move(entry.requests), entry.is_own});
}

void OpenLosses::Tell(const std::string& backend, Entry* entry) {
  if (entry->is_own && !std::exchange(entry->told, true)) {
    unsettled_.push_back({backend, LossState::kOpen, entry->requests, true});
  }
}

bool OpenLosses::ReachesAround(const std::string& backend, Time since) const {
  return contacts_ == nullptr || !contacts_->HasControls(backend) ||
         contacts_->ReachesAround(backend, since);
}

bool OpenLosses::NeedsControl(const std::string& backend, const Entry& entry) const {
  if (contacts_ == nullptr || !contacts_->HasControls(backend)) {
    return false;
  }
  return entry.gone_at.has_value() ? !contacts_->ReachesAny(backend, *entry.gone_at)
                                   : !contacts_->ReachesAround(backend, entry.since);
}

void OpenLosses::ConcludeIfEnded(const std::string& backend, const Entry& entry, Time now) {
  const bool refuses =
      entry.refused_again_at.has_value() && now - *entry.refused_again_at < kRecent;
  const bool gone = entry.gone_at.has_value() && entry.probed_at >= *entry.gone_at;
  if ((refuses && ReachesAround(backend, entry.since)) || (gone && !NeedsControl(backend, entry))) {
    Conclude(backend, LossState::kEnded);
  }
}

void OpenLosses::OnRefused(const std::string& backend, Time now) {
  const auto found = entries_.find(backend);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  Tell(backend, &entry);
  if (!entry.refused_at.has_value()) {
    entry.refused_at = now;
    entry.next_probe = std::min(entry.next_probe, now + kBetweenProbes);
  } else if (now - *entry.refused_at >= kBetweenProbes) {
    entry.refused_again_at = now;
  }
  ConcludeIfEnded(backend, entry, now);
}

void OpenLosses::OnUnanswered(const std::string& backend, Time now) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    Tell(backend, &found->second);
    ConcludeIfEnded(backend, found->second, now);
  }
}

void OpenLosses::OnReached(const std::string& backend, Time now) {
  if (entries_.empty()) {
    return;
  }
  if (entries_.contains(backend)) {
    Conclude(backend, LossState::kAlive);
  }
  OnControlReached(now);
}

void OpenLosses::OnControlReached(Time now) {
  std::vector<std::string> waiting;
  for (const auto& [backend, entry] : entries_) {
    if (entry.refused_again_at.has_value()) {
      waiting.push_back(backend);
    }
  }
  for (const std::string& backend : waiting) {
    Entry& entry = entries_.at(backend);
    if (now - *entry.refused_again_at < kRecent) {
      ConcludeIfEnded(backend, entry, now);
    } else {
      ProbeSoon(&entry, now);
    }
  }
}

void OpenLosses::OnRegistrationGone(const std::string& backend, Time now) {
  absl::erase_if(gone_, [now](const auto& entry) { return now - entry.second > kGoneKept; });
  gone_.try_emplace(backend, now);
  const auto found = entries_.find(backend);
  if (found != entries_.end() && !found->second.gone_at.has_value()) {
    found->second.gone_at = now;
    ProbeSoon(&found->second, now);
  }
}

void OpenLosses::OnRegistered(const std::string& backend) {
  gone_.erase(backend);
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    // It had only lapsed.
    found->second.gone_at.reset();
  }
}

void OpenLosses::OnPathCut(const std::string& backend, Time /*now*/) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    Tell(backend, &found->second);
  }
}

void OpenLosses::OnPathRestored(const std::string& backend, Time now) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    ProbeSoon(&found->second, now);
  }
}

void OpenLosses::OnWanted(const std::string& backend, Time now) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    ProbeSoon(&found->second, now);
  }
}

void OpenLosses::ProbeSoon(Entry* entry, Time now) {
  entry->next_probe = std::min(entry->next_probe, std::max(now, entry->probed_at + kBetweenProbes));
}

std::vector<std::string> OpenLosses::TakeProbes(Time now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const bool given_up = now - entry->second.since > kJudgedFor;
    entry = given_up ? entries_.erase(entry) : std::next(entry);
  }
  std::vector<std::string> due;
  for (auto& [backend, entry] : entries_) {
    if (now < entry.next_probe) {
      continue;
    }
    const bool is_first = entry.probed_at == absl::InfinitePast();
    entry.probed_at = now;
    entry.interval = is_first ? kBetweenProbes : std::min(2 * entry.interval, kLongestInterval);
    entry.next_probe = now + entry.interval;
    due.push_back(backend);
    if (!is_first && NeedsControl(backend, entry)) {
      const std::vector<std::string> controls = contacts_->TakeControls(backend);
      due.insert(due.end(), controls.begin(), controls.end());
    }
  }
  std::sort(due.begin(), due.end());
  due.erase(std::unique(due.begin(), due.end()), due.end());
  return due;
}

Time OpenLosses::NextProbe() const {
  Time next = absl::InfiniteFuture();
  for (const auto& [backend, entry] : entries_) {
    next = std::min(next, entry.next_probe);
  }
  return next;
}

}  // namespace ladderstream::quarantine
