// The newest load of each back end, by what all nodes told; kept by the coordinator.
//
// A message may be late, repeated or out of order. How long a report was on its way is not known,
// but it was sent after the answer that its node had last got was made: what comes long after that
// is taken to be as old as that allows.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <vector>

#include "core/load/load_news.h"

namespace ladderstream::load {

/// Which report news came with.
struct ReportOrigin {
  /// The sender's incarnation.
  uint64_t node = 0;
  /// Of the sender's reports.
  uint64_t sequence = 0;
  /// The newest of its reports whose answer from here it had got; 0 for none.
  uint64_t last_answered = 0;
};

class LoadNewsBoard {
 public:
  /// What this node's own back ends told it.
  void TakeOwn(const std::vector<LoadNews>& news, Time now);
  /// What a report told; ages count as if it had come at once. It is taken to have come at once
  /// unless it was sent more than `trusted_gap` after the answer that its node last got. Gives the
  /// entries that changed the board, with the times that are believed.
  std::vector<LoadNews> TakeReported(const ReportOrigin& origin, std::vector<LoadNews> news,
                                     Duration trusted_gap, Time now);
  /// For the answer to a report: what was put up since the last answer to its node, the most
  /// important first, at most kMostLoadNews. What is left out is not told later.
  std::vector<LoadNews> AnswerTo(const ReportOrigin& origin, Time now);
  /// Another node coordinates.
  void Clear();

  const LoadNewsCounts& counts() const { return counts_; }

 private:
  struct Answer {
    uint64_t sequence = 0;
    Time made;
  };
  struct Reporter {
    uint64_t last_sequence = 0;
    /// What this node was told up to.
    uint64_t told_up_to = 0;
    /// The newest answers, oldest first.
    std::deque<Answer> answers;

    /// When the answer to this report was made; in the infinite past when that is not remembered.
    Time AnsweredAt(uint64_t sequence) const;
    Time LastAnswered() const;
  };
  struct Entry {
    LoadNews news;
    /// Of the turn in which it was put up.
    uint64_t number = 0;
    Time busy_at = absl::InfinitePast();
    uint64_t teller = 0;
  };

  bool Put(const LoadNews& news, uint64_t teller, Time now);
  void Prune(Time now);

  absl::flat_hash_map<BackendHash, Entry> entries_;
  absl::flat_hash_map<uint64_t, Reporter> reporters_;
  uint64_t last_number_ = 0;
  Time next_prune_ = absl::InfinitePast();
  LoadNewsCounts counts_;
};

}  // namespace ladderstream::load
