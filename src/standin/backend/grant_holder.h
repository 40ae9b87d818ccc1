// What one back end may serve: its grant set, its lease, and which grants still have work running.
//
// The rules are those of docs/design/001: a set that is not newer is ignored; a lease counts from
// the moment its request was sent and only under the set that is held; a version is reported as
// applied only when nothing runs any more under a grant outside of it. Not thread-safe; time is
// passed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "wire/ownership.h"
#include "wire/time.h"

namespace ladderstream::standin {

/// Names one grant: a shard under one token.
using GrantKey = std::pair<ShardId, GrantToken>;

class GrantHolder {
 public:
  /// `range_count` is the service's, as its operators declared it.
  explicit GrantHolder(uint32_t range_count) : range_count_(range_count) {}

  /// Takes `set` over and gives true, or ignores it when its version is not higher.
  bool Apply(const GrantSet& set);

  /// Takes over a lease that was given under `version` for a request sent at `sent`. Ignored unless
  /// that version is held.
  void RenewLease(const GrantToken& version, Time sent, Duration lease);

  bool LeaseIsLive(Time now) const { return now < lease_end_; }
  Time lease_end() const { return lease_end_; }

  /// Gives the grant that covers `key` under `token`, or nullptr.
  const Grant* Find(const ServiceName& service, const std::string& key,
                    const GrantToken& token) const;
  bool Holds(const GrantKey& grant) const;

  /// Work under `grant` begins to exist (queued or running), or has ended.
  void BeginWork(const GrantKey& grant) { ++work_[grant]; }
  void EndWork(const GrantKey& grant);

  /// Reports the held version as applied if nothing is left of what it revoked. Gives true when
  /// that changed the applied version.
  bool UpdateApplied();

  const GrantSet& held() const { return held_; }
  const GrantToken& applied_version() const { return applied_version_; }

 private:
  const uint32_t range_count_;
  GrantSet held_;
  std::map<GrantKey, Grant> grants_;
  GrantToken applied_version_;
  Time lease_end_ = absl::InfinitePast();
  std::map<GrantKey, uint32_t> work_;
};

}  // namespace ladderstream::standin
