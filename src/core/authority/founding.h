// Decides when a node that hears of no leader founds its group, joins as a founder, or founds the
// group anew after its majority was lost. Reads and claims the group's row in the table service.
//
// Not thread-safe. The caller runs the transactions and brings their answers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "core/authority/group_row.h"

namespace ladderstream::authority {

/// What the node knows besides the row.
struct FoundingView {
  /// The generation of the replica that runs on this node; zero for none.
  uint64_t own_generation = 0;
  /// State and version of that replica.
  GrantToken own_version;
  /// The members by that replica's log.
  GroupMembers own_members;
  std::function<std::string()> take_own_snapshot;
  /// Other nodes heard lately.
  std::vector<NodeDescriptor> heard;
  /// Whether the node has ended: another process answers at its address, or the platform's machine
  /// list does not name it any more. Silence alone proves nothing.
  std::function<bool(const NodeDescriptor&)> is_replaced;
  std::function<bool(const NodeDescriptor&)> is_unlisted;
};

/// Starts the replica of a founder.
struct BeginGeneration {
  uint64_t generation = 0;
  std::vector<NodeDescriptor> founders;
  /// A checkpoint of an earlier generation; empty for none.
  std::string initial_checkpoint;
};

class Founding {
 public:
  Founding(const AuthoritySettings& settings, Time now);

  /// A leader is known to be at work.
  void NoteLeader(Time now);

  /// Whether the row should be read now.
  bool WantsRead(Time now) const;
  Time NextRead() const { return next_read_; }
  StoreTransaction ReadTransaction(Time now);

  /// Looks at the row as read: gives the transaction that claims the next generation, if it is
  /// time.
  std::optional<StoreTransaction> Consider(const StoreRow& row, const FoundingView& view, Time now);

  /// Whether the row as read names this node as a founder of a generation that it has not begun.
  std::optional<BeginGeneration> BeginIfFounder(const StoreRow& row,
                                                const FoundingView& view) const;

 private:
  StoreTransaction ClaimFirst(const StoreRow& row, const FoundingView& view) const;
  StoreTransaction ClaimNext(const StoreRow& stored, const GroupRow& row,
                             const FoundingView& view) const;
  StoreTransaction ClaimWith(const StoreRow& stored, const GroupRow& row) const;
  std::vector<NodeDescriptor> ChooseFounders(const FoundingView& view) const;
  /// How long leader and row must have been silent before the group counts as lost; infinite while
  /// a majority of its voters may be alive.
  Duration DelayBeforeRecovery(const GroupMembers& members, const FoundingView& view) const;

  const AuthoritySettings settings_;
  Time leader_heard_;
  Time next_read_;
  uint64_t row_version_ = 0;
  Time row_unchanged_since_;
};

}  // namespace ladderstream::authority
