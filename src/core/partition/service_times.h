// How long each back end works on a request, learned from the answers that nodes got.
//
// A back end that tells its load is known by the answers that did not wait in its queue. For one
// that tells nothing, the time that answers took contains the wait, which grows without bound as it
// fills up; with the rate of its answers, over all nodes, the service time behind it is found by
// the formula of its queue.
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
  /// Takes over what is registered of `backends`, and forgets all others.
  void Keep(const std::vector<PartitionBackend>& backends);

  /// Whether anything is known; otherwise the figures below are zero.
  bool Known() const { return typical_ > 0; }
  /// The mean of a typical back end, in seconds: the median of all.
  double Typical() const { return typical_; }
  /// The mean of this one, in seconds; near the typical one while little is known of it.
  double Of(const std::string& backend) const;

 private:
  struct Learned {
    uint32_t slots = 1;
    bool includes_wait = false;
    /// Answers that were reported, the time they took, and how many there were in all, reported or
    /// not. Decayed.
    double answers = 0;
    double seconds = 0;
    double all_answers = 0;
    /// For how long it was observed, decayed alike, in seconds; `all_answers` over this is a rate.
    double observed = 0;
    Time at = absl::InfinitePast();
    Time cold_until = absl::InfinitePast();
  };

  static void Decay(Learned& learned, Time now);
  /// The service time that the answers of one back end show, in seconds.
  static double Mean(const Learned& learned);
  void UpdateTypical();

  std::map<std::string, Learned> backends_;
  double typical_ = 0;
};

}  // namespace ladderstream::partition
