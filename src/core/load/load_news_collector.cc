#include "core/load/load_news_collector.h"

#include <algorithm>
#include <utility>

namespace ladderstream::load {

void LoadNewsCollector::OnTold(const LoadNews& news) {
  if (news.told.slots > 0) {
    fresh_[news.backend] = news;
  }
}

void LoadNewsCollector::OnHeard(const LoadNews& news) {
  if (IsBusy(news.told)) {
    Time& busy_at = known_[news.backend].busy_at;
    busy_at = std::max(busy_at, news.told_at);
  }
}

std::vector<LoadNews> LoadNewsCollector::Take(Time now) {
  std::vector<LoadNews> taken;
  for (const auto& [backend, news] : std::exchange(fresh_, {})) {
    const auto known = known_.find(backend);
    const bool was_busy = known != known_.end() && now - known->second.busy_at < kLoadNewsLifetime;
    if (now - news.told_at < kLoadNewsLifetime && (IsBusy(news.told) || was_busy)) {
      taken.push_back(news);
    }
  }
  absl::erase_if(
      known_, [now](const auto& entry) { return now - entry.second.busy_at >= kLoadNewsLifetime; });
  if (taken.size() > kMostLoadNews) {
    std::partial_sort(taken.begin(), taken.begin() + kMostLoadNews, taken.end(), SaysMore);
    taken.resize(kMostLoadNews);
  }
  for (const LoadNews& news : taken) {
    OnHeard(news);
  }
  return taken;
}

}  // namespace ladderstream::load
