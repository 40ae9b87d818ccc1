// Requests that were served a short time ago.
//
// A request may be served at one node right after it was lost at another: the node that served it
// tells so once it hears of the loss.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <deque>

#include "core/quarantine/fingerprint.h"
#include "wire/time.h"

namespace ladderstream::quarantine {

class RecentlyServed {
 public:
  void Add(const Fingerprint& request, Time now);
  /// Infinite past when it was not served of late.
  Time ServedAt(const Fingerprint& request) const;

 private:
  void Forget(Time now);

  absl::flat_hash_map<Fingerprint, Time> served_;
  /// In the order in which they were served.
  std::deque<std::pair<Time, Fingerprint>> order_;
};

}  // namespace ladderstream::quarantine
