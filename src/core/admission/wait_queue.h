// The requests of one service that wait for a slot or for a moving key.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include "wire/time.h"

namespace ladderstream::admission {

/// Ordered by rank (0 first), then by arrival.
class WaitQueue {
 public:
  struct Entry {
    uint32_t priority = 0;
    Time arrival;
    uint64_t request = 0;
    bool operator<(const Entry& other) const {
      return std::tie(priority, arrival, request) <
             std::tie(other.priority, other.arrival, other.request);
    }
  };

  void Add(const Entry& entry) { entries_.insert(entry); }
  void Remove(const Entry& entry) { entries_.erase(entry); }
  size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

  /// Returns the waiting requests in the order in which they are to be served.
  std::vector<uint64_t> Requests() const {
    std::vector<uint64_t> requests(entries_.size());
    std::transform(entries_.begin(), entries_.end(), requests.begin(),
                   [](const Entry& entry) { return entry.request; });
    return requests;
  }

 private:
  std::set<Entry> entries_;
};

}  // namespace ladderstream::admission
