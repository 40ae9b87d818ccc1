#include "standin/backend/grant_holder.h"

#include <algorithm>

#include "wire/configuration.h"

namespace ladderstream::standin {

bool GrantHolder::Apply(const GrantSet& set) {
  if (set.version <= held_.version) {
    return false;
  }
  held_ = set;
  grants_.clear();
  for (const Grant& grant : set.grants) {
    grants_[GrantKey(grant.shard, grant.token)] = grant;
  }
  return true;
}

void GrantHolder::RenewLease(const GrantToken& version, Time sent, Duration lease) {
  if (version == held_.version) {
    lease_end_ = std::max(lease_end_, sent + lease);
  }
}

const Grant* GrantHolder::Find(const ServiceName& service, const std::string& key,
                               const GrantToken& token) const {
  const RangeIndex range = RangeOf(key, range_count_);
  const auto split = grants_.find(GrantKey(ShardId{service, range, key}, token));
  if (split != grants_.end()) {
    return &split->second;
  }
  const auto whole = grants_.find(GrantKey(ShardId{service, range, ""}, token));
  if (whole == grants_.end()) {
    return nullptr;
  }
  const auto& excluded = whole->second.excluded_keys;
  const bool is_excluded = std::find(excluded.begin(), excluded.end(), key) != excluded.end();
  return is_excluded ? nullptr : &whole->second;
}

bool GrantHolder::Holds(const GrantKey& grant) const { return grants_.contains(grant); }

void GrantHolder::EndWork(const GrantKey& grant) {
  const auto work = work_.find(grant);
  if (work != work_.end() && --work->second == 0) {
    work_.erase(work);
  }
}

bool GrantHolder::UpdateApplied() {
  if (applied_version_ == held_.version) {
    return false;
  }
  const bool revoked_work_left = std::any_of(work_.begin(), work_.end(), [this](const auto& work) {
    return !grants_.contains(work.first);
  });
  if (revoked_work_left) {
    return false;
  }
  applied_version_ = held_.version;
  return true;
}

}  // namespace ladderstream::standin
