#include "core/load/load_news_board.h"

#include <algorithm>

namespace ladderstream::load {
namespace {

/// Of the board's own node.
constexpr uint64_t kSelf = 0;
/// A node that did not report for so long is forgotten; longer than any report interval.
constexpr Duration kReporterLifetime = absl::Seconds(10);
/// Answers remembered of each node; as many as its reports that may be without an answer.
constexpr size_t kMostAnswers = 16;
constexpr Duration kPruneInterval = absl::Seconds(1);

}  // namespace

void LoadNewsBoard::TakeOwn(const std::vector<LoadNews>& news, Time now) {
  for (const LoadNews& entry : news) {
    Put(entry, kSelf, now);
  }
}

Time LoadNewsBoard::Reporter::AnsweredAt(uint64_t sequence) const {
  const auto answer = std::find_if(answers.begin(), answers.end(), [sequence](const Answer& one) {
    return one.sequence == sequence;
  });
  return answer == answers.end() ? absl::InfinitePast() : answer->made;
}

Time LoadNewsBoard::Reporter::LastAnswered() const {
  return answers.empty() ? absl::InfinitePast() : answers.back().made;
}

std::vector<LoadNews> LoadNewsBoard::TakeReported(const ReportOrigin& origin,
                                                  std::vector<LoadNews> news, Duration trusted_gap,
                                                  Time now) {
  Reporter& reporter = reporters_[origin.node];
  if (origin.sequence <= reporter.last_sequence) {
    counts_.not_newer += news.size();
    return {};
  }
  reporter.last_sequence = origin.sequence;
  const Duration gap = now - reporter.AnsweredAt(origin.last_answered);
  const Duration late = gap > trusted_gap ? gap : absl::ZeroDuration();
  std::erase_if(news, [this, &origin, late, now](LoadNews& entry) {
    entry.told_at -= late;
    return !Put(entry, origin.node, now);
  });
  return news;
}

bool LoadNewsBoard::Put(const LoadNews& news, uint64_t teller, Time now) {
  if (news.told.slots == 0 || now - news.told_at >= kLoadNewsLifetime) {
    ++counts_.too_old;
    return false;
  }
  Entry& entry = entries_[news.backend];
  if (entry.number > 0 && news.told_at <= entry.news.told_at) {
    ++counts_.not_newer;
    return false;
  }
  entry.news = news;
  entry.number = ++last_number_;
  entry.teller = teller;
  if (IsBusy(news.told)) {
    entry.busy_at = news.told_at;
  }
  ++counts_.used;
  return true;
}

std::vector<LoadNews> LoadNewsBoard::AnswerTo(const ReportOrigin& origin, Time now) {
  Prune(now);
  Reporter& reporter = reporters_[origin.node];
  std::vector<LoadNews> news;
  for (const auto& [backend, entry] : entries_) {
    const bool matters = now - entry.busy_at < kLoadNewsLifetime;
    if (entry.number > reporter.told_up_to && entry.teller != origin.node && matters) {
      news.push_back(entry.news);
    }
  }
  reporter.told_up_to = last_number_;
  reporter.answers.push_back({origin.sequence, now});
  if (reporter.answers.size() > kMostAnswers) {
    reporter.answers.pop_front();
  }
  const size_t most = std::min(news.size(), kMostLoadNews);
  std::partial_sort(news.begin(), news.begin() + static_cast<ptrdiff_t>(most), news.end(),
                    SaysMore);
  news.resize(most);
  return news;
}

void LoadNewsBoard::Prune(Time now) {
  if (now < next_prune_) {
    return;
  }
  next_prune_ = now + kPruneInterval;
  absl::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.news.told_at >= kLoadNewsLifetime;
  });
  absl::erase_if(reporters_, [now](const auto& reporter) {
    return now - reporter.second.LastAnswered() >= kReporterLifetime;
  });
}

void LoadNewsBoard::Clear() {
  entries_.clear();
  reporters_.clear();
}

}  // namespace ladderstream::load
