// What nodes tell each other of back ends that name limits (allowance::ToldLimits).
//
// Who hears a change reports it to the coordinator at once, which pushes it to all; without a
// coordinator, whoever is asked for one tells what it knows with its answer. Changes are told for
// ToldLimits::kTellFor, so that calm costs nothing. Pure and of one thread.
#pragma once

#include <vector>

#include "core/allowance/told_limits.h"
#include "core/membership/messages.h"
#include "wire/time.h"

namespace ladderstream::membership {

class LimitExchange {
 public:
  /// What changed lately: heard by this node itself, and by anybody.
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
