// Exchange between nodes of the rate limits that back ends announce (allowance::ToldLimits).
//
// A node that receives a change from a back end reports it to the coordinator at once, which pushes
// it to all nodes. Without a coordinator, a node that is asked for one includes what it knows in
// its answer. Changes are published for ToldLimits::kTellFor, so that nothing is sent while no
// limit changes. Deterministic and not thread-safe.
#pragma once

#include <vector>

#include "core/allowance/told_limits.h"
#include "core/membership/messages.h"
#include "wire/time.h"

namespace ladderstream::membership {

class LimitExchange {
 public:
  /// Sets the recently changed limits: `own` received by this node itself, `all` by any node.
  void Set(std::vector<allowance::LimitRecord> own, std::vector<allowance::LimitRecord> all,
           Time now);

  std::vector<SharedLimit> ForReport(Time now) const;
  std::vector<SharedLimit> ForHeartbeat(Time now) const;

  static std::vector<allowance::LimitRecord> Decode(const std::vector<SharedLimit>& shared,
                                                    Time now);

 private:
  std::vector<allowance::LimitRecord> own_;
  std::vector<allowance::LimitRecord> all_;
  Time publish_until_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
