// How long each back end works on a request, learned from answers that did not queue.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/partition/partitioner.h"

namespace ladderstream::partition {

class ServiceTimes {
 public:
  /// Answers of a back end that is still slow from its start say nothing of its speed.
  void SetColdUntil(const std::string& backend, Time until);
  void Add(const std::vector<ServiceTimeSample>& samples, Time now);
  /// Forgets all back ends that are not in `backends`.
  void Keep(const std::vector<PartitionBackend>& backends);

  /// Whether anything is known; otherwise the figures below are zero.
  bool Known() const { return typical_ > 0; }
  /// The mean of a typical back end, in seconds: the median of all.
  double Typical() const { return typical_; }
  /// The mean of this one, in seconds; near the typical one while little is known of it.
  double Of(const std::string& backend) const;

 private:
  struct Learned {
    double answers = 0;
    double seconds = 0;
    Time at = absl::InfinitePast();
    Time cold_until = absl::InfinitePast();
  };

  void UpdateTypical();

  std::map<std::string, Learned> backends_;
  double typical_ = 0;
};

}  // namespace ladderstream::partition
