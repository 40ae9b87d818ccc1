// The load of shards and back ends as the leader adds it up from the nodes' reports, smoothed. Not
// thread-safe.
#pragma once

#include <map>
#include <vector>

#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::authority {

class LoadView {
 public:
  /// Takes in what the nodes report now; called once per placement period.
  void Update(const std::vector<NodeReport>& reports, Time now);

  /// Requests per second.
  double RateOf(const ShardId& shard) const;
  /// Failures per second.
  double FailureRateOf(const BackendId& backend) const;
  /// Reported keys of the service; the caller leaves out those that are shards.
  std::vector<ShardLoad> KeysOf(const ServiceName& service) const;

 private:
  std::map<ShardId, double> rates_;
  std::map<BackendId, double> failure_rates_;
  Time updated_ = absl::InfinitePast();
};

}  // namespace ladderstream::authority
