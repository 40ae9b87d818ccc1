#include "core/allowance/told_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ladderstream::allowance {
namespace {

/// A limit that differs by less than this share is no news for others.
constexpr double kSameShare = 0.1;
/// Limits are notes for the log; beyond so many at a time they are counted by metrics only.
constexpr size_t kMostNotes = 256;

bool AreAlike(const std::optional<double>& a, const std::optional<double>& b) {
  if (!a.has_value() || !b.has_value()) {
    return a.has_value() == b.has_value();
  }
  return std::abs(*a - *b) <= kSameShare * std::max(*a, *b);
}

}  // namespace

void ToldLimits::Set(const std::string& backend, const Entry& entry) {
  Entry& held = entries_[backend];
  limited_ += entry.rate.has_value() ? 1 : 0;
  limited_ -= held.rate.has_value() ? 1 : 0;
  held = entry;
}

void ToldLimits::OnAnswer(const std::string& backend, const catalog::ToldLimit& told, Time sent,
                          Time now) {
  const auto found = entries_.find(backend);
  const bool known = found != entries_.end();
  if (told.unreadable || (!told.rate.has_value() && !known)) {
    return;
  }
  if (!told.rate.has_value() && (!found->second.rate.has_value() || sent <= found->second.heard)) {
    return;
  }
  const std::optional<double> before = known ? found->second.rate : std::nullopt;
  const bool changes = !AreAlike(before, told.rate);
  const Time changed_at = changes || !known ? now : found->second.changed_at;
  Set(backend, {told.rate, now, changed_at, changes || (known && found->second.own)});
  if (changes) {
    news_ = true;
    if (notes_.size() < kMostNotes) {
      notes_.push_back({backend, told.rate, false});
    }
  }
}

bool ToldLimits::Merge(const std::vector<LimitRecord>& records, Time now) {
  bool news = false;
  for (const LimitRecord& record : records) {
    const auto found = entries_.find(record.backend);
    const bool known = found != entries_.end();
    if (known && found->second.heard >= record.heard) {
      continue;
    }
    const std::optional<double> before = known ? found->second.rate : std::nullopt;
    if (AreAlike(before, record.rate)) {
      if (known) {
        found->second.heard = record.heard;
      }
      continue;
    }
    Set(record.backend, {record.rate, record.heard, now, false});
    news = true;
    if (notes_.size() < kMostNotes) {
      notes_.push_back({record.backend, record.rate, true});
    }
  }
  return news;
}

void ToldLimits::Forget(Time now) {
  absl::erase_if(entries_, [&](const auto& entry) {
    const bool lapsed = now - entry.second.heard >= kLifetime;
    limited_ -= lapsed && entry.second.rate.has_value() ? 1 : 0;
    return lapsed;
  });
}

std::optional<double> ToldLimits::RateOf(const std::string& backend) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() ? std::nullopt : found->second.rate;
}

std::optional<LimitRecord> ToldLimits::Find(const std::string& backend) const {
  const auto found = entries_.find(backend);
  if (found == entries_.end() || !found->second.rate.has_value()) {
    return std::nullopt;
  }
  return LimitRecord{backend, found->second.rate, found->second.heard};
}

std::vector<LimitRecord> ToldLimits::InForce() const {
  std::vector<LimitRecord> records;
  for (const auto& [backend, entry] : entries_) {
    if (entry.rate.has_value()) {
      records.push_back({backend, entry.rate, entry.heard});
    }
  }
  return records;
}

bool ToldLimits::TakeNews() { return std::exchange(news_, false); }

std::vector<LimitRecord> ToldLimits::Changed(bool own_only, Time now) const {
  std::vector<std::pair<Time, LimitRecord>> changed;
  for (const auto& [backend, entry] : entries_) {
    if (now - entry.changed_at < kTellFor && (entry.own || !own_only)) {
      changed.push_back({entry.changed_at, {backend, entry.rate, entry.heard}});
    }
  }
  if (changed.size() > kMostShared) {
    std::nth_element(changed.begin(), changed.begin() + kMostShared, changed.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    changed.resize(kMostShared);
  }
  std::vector<LimitRecord> records;
  records.reserve(changed.size());
  for (auto& [at, record] : changed) {
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<LimitNote> ToldLimits::TakeNotes() { return std::exchange(notes_, {}); }

}  // namespace ladderstream::allowance
