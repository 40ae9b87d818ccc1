#include "core/membership/load_news_entries.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ladderstream::membership {
namespace {

constexpr double kPercent = 100;
/// Of what a back end says; beyond it, a figure says no more.
constexpr double kMostSlowdown = 1000;

/// Rounded up: news are never told as newer than they are.
uint32_t AgeOf(const load::LoadNews& news, Time now) {
  constexpr int64_t kOldest = std::numeric_limits<uint32_t>::max();
  const int64_t age =
      absl::ToInt64Milliseconds(absl::Ceil(now - news.told_at, absl::Milliseconds(1)));
  return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, kOldest));
}

}  // namespace

std::vector<LoadNewsEntry> ToEntries(const std::vector<load::LoadNews>& news, Time now) {
  std::vector<LoadNewsEntry> entries;
  entries.reserve(news.size());
  for (const load::LoadNews& one : news) {
    const double slowdown = std::clamp(one.told.slowdown, 0.0, kMostSlowdown) * kPercent;
    entries.push_back({one.backend, one.told.running, one.told.waiting, one.told.slots,
                       AgeOf(one, now), static_cast<uint32_t>(std::lround(slowdown))});
  }
  return entries;
}

std::vector<load::LoadNews> ToLoadNews(const std::vector<LoadNewsEntry>& entries, Time made) {
  std::vector<load::LoadNews> news;
  news.reserve(entries.size());
  for (const LoadNewsEntry& entry : entries) {
    const catalog::ToldLoad told{entry.running, entry.waiting, entry.slots,
                                 entry.slowdown_percent / kPercent};
    news.push_back({entry.backend, told, made - absl::Milliseconds(entry.age_ms)});
  }
  return news;
}

}  // namespace ladderstream::membership
