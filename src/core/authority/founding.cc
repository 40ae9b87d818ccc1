#include "core/authority/founding.h"

#include <algorithm>

#include "core/authority/group_membership.h"
#include "wire/codec.h"
#include "wire/store_rows.h"

namespace ladderstream::authority {
namespace {

/// Every voter was seen to be replaced by another process: no leader can be alive, and what is
/// waited for is only that the new processes have heard of each other.
constexpr Duration kRestartRecoveryDelay = absl::Seconds(3);

}  // namespace

std::string GroupRowKey(GroupId group) { return kGroupRowPrefix + std::to_string(group.value()); }

Founding::Founding(const AuthoritySettings& settings, Time now)
    : settings_(settings),
      leader_heard_(now),
      next_read_(now + settings.founding_delay),
      row_unchanged_since_(now) {}

void Founding::NoteLeader(Time now) {
  leader_heard_ = now;
  next_read_ = std::max(next_read_, now + settings_.founding_delay);
}

bool Founding::WantsRead(Time now) const { return now >= next_read_; }

StoreTransaction Founding::ReadTransaction(Time now) {
  next_read_ = now + settings_.store_poll_interval;
  StoreTransaction transaction;
  transaction.reads.push_back(GroupRowKey(settings_.group));
  return transaction;
}

std::optional<StoreTransaction> Founding::Consider(const StoreRow& row, const FoundingView& view,
                                                   Time now) {
  if (row.version == 0) {
    return ClaimFirst(row, view);
  }
  if (row.version != row_version_) {
    row_version_ = row.version;
    row_unchanged_since_ = now;
  }
  const auto group = Decode<GroupRow>(row.value);
  // The row is as old as the last write of a leader; a surviving replica may know better.
  const bool own_is_newer =
      view.own_generation == group.generation && view.own_version > group.checkpoint_version;
  const GroupMembers& members = own_is_newer ? view.own_members : group.members;
  const Duration silence = now - std::max(leader_heard_, row_unchanged_since_);
  if (silence < DelayBeforeRecovery(members, view)) {
    return std::nullopt;
  }
  return ClaimNext(row, group, view);
}

Duration Founding::DelayBeforeRecovery(const GroupMembers& members,
                                       const FoundingView& view) const {
  size_t possibly_alive = 0;
  bool all_replaced = true;
  for (const NodeDescriptor& voter : members.voters) {
    const bool replaced = view.is_replaced(voter);
    all_replaced = all_replaced && replaced;
    // This node's own vote does not count: it leaves the old generation with the claim.
    const bool surely_gone = voter.id == settings_.self.id || replaced || view.is_unlisted(voter);
    possibly_alive += surely_gone ? 0 : 1;
  }
  if (possibly_alive > members.voters.size() / 2) {
    return absl::InfiniteDuration();
  }
  return all_replaced ? std::min(kRestartRecoveryDelay, settings_.recovery_delay)
                      : settings_.recovery_delay;
}

std::optional<BeginGeneration> Founding::BeginIfFounder(const StoreRow& row,
                                                        const FoundingView& view) const {
  if (row.version == 0) {
    return std::nullopt;
  }
  const auto group = Decode<GroupRow>(row.value);
  const bool is_founder =
      std::any_of(group.founders.begin(), group.founders.end(),
                  [this](const NodeDescriptor& node) { return node.id == settings_.self.id; });
  if (!is_founder || group.leader_writes > 0 || group.generation <= view.own_generation) {
    return std::nullopt;
  }
  return BeginGeneration{group.generation, group.founders, group.checkpoint};
}

StoreTransaction Founding::ClaimFirst(const StoreRow& row, const FoundingView& view) const {
  GroupRow group;
  group.generation = 1;
  group.founders = ChooseFounders(view);
  return ClaimWith(row, group);
}

StoreTransaction Founding::ClaimNext(const StoreRow& stored, const GroupRow& row,
                                     const FoundingView& view) const {
  GroupRow group;
  group.generation = std::max(row.generation, view.own_generation) + 1;
  group.founders = ChooseFounders(view);
  group.checkpoint_version = row.checkpoint_version;
  group.checkpoint = row.checkpoint;
  // What a surviving replica has applied was committed, and may be newer than the checkpoint.
  if (view.own_generation > 0 && view.own_version > row.checkpoint_version) {
    std::string own = view.take_own_snapshot();
    if (own.size() <= kMaxCheckpointBytes) {
      group.checkpoint_version = view.own_version;
      group.checkpoint = std::move(own);
    }
  }
  return ClaimWith(stored, group);
}

StoreTransaction Founding::ClaimWith(const StoreRow& stored, const GroupRow& row) const {
  GroupRow claimed = row;
  claimed.members.voters = claimed.founders;
  StoreTransaction transaction;
  const std::string key = GroupRowKey(settings_.group);
  transaction.reads.push_back(key);
  transaction.conditions.push_back({key, stored.version});
  transaction.writes.push_back({key, Encode(claimed)});
  return transaction;
}

std::vector<NodeDescriptor> Founding::ChooseFounders(const FoundingView& view) const {
  std::vector<NodeDescriptor> all = {settings_.self};
  all.insert(all.end(), view.heard.begin(), view.heard.end());
  return SpreadOverZones(all, OddCount(all.size(), settings_.voter_count));
}

}  // namespace ladderstream::authority
