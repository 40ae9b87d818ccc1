// What back ends told one node since it last passed that on.
//
// Silence means "as usual": only back ends that are busy, or were when any node last told of them,
// are told of.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "core/load/load_news.h"

namespace ladderstream::load {

class LoadNewsCollector {
 public:
  /// The back end told this with an answer to this node.
  void OnTold(const LoadNews& news);
  /// Another node told of it.
  void OnHeard(const LoadNews& news);
  /// What is worth telling since the last Take: the most important, at most kMostLoadNews. What is
  /// left out is not told later, as it would be old.
  std::vector<LoadNews> Take(Time now);

 private:
  struct Known {
    /// When some node last told that it was busy.
    Time busy_at = absl::InfinitePast();
  };

  absl::flat_hash_map<BackendHash, LoadNews> fresh_;
  absl::flat_hash_map<BackendHash, Known> known_;
};

}  // namespace ladderstream::load
