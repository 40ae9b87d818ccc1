// The entries a replica holds behind its snapshot point, and the members they put in force.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "wire/replication.h"

namespace ladderstream::replication {

class Log {
 public:
  /// A log whose entries up to `base_index` are known only as applied state.
  Log(uint64_t base_index, uint64_t base_term, const GroupMembers& members);

  uint64_t base_index() const { return base_index_; }
  uint64_t last_index() const { return base_index_ + entries_.size(); }
  uint64_t last_term() const;
  /// How many entries are held.
  uint64_t size() const { return entries_.size(); }

  /// Gives the term of the entry at `index`; nothing when it is not held and is not the base.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  /// Gives the entry at `index`, which must be held.
  const LogEntry& At(uint64_t index) const { return entries_[index - base_index_ - 1]; }
  /// Gives entries from `index` on, at least one if there is any, as many as fit into one message.
  std::vector<LogEntry> Slice(uint64_t index) const;

  /// `entry.index` must be last_index() + 1.
  void Append(LogEntry entry);
  /// Drops the entry at `index` and all after it.
  void TruncateFrom(uint64_t index);
  /// Drops entries up to and including `index`.
  void CompactTo(uint64_t index);
  /// Replaces everything by a snapshot.
  void Reset(uint64_t base_index, uint64_t base_term, const GroupMembers& members);

  /// The members put in force by the newest entry that has any, committed or not.
  const GroupMembers& members() const { return members_.back().members; }
  uint64_t members_index() const { return members_.back().index; }
  /// The members in force after the entry at `index`.
  const GroupMembers& MembersAt(uint64_t index) const;

 private:
  struct MembersEntry {
    uint64_t index = 0;
    GroupMembers members;
  };

  uint64_t base_index_;
  uint64_t base_term_;
  std::deque<LogEntry> entries_;
  /// Never empty; the first is what held at the base.
  std::vector<MembersEntry> members_;
};

}  // namespace ladderstream::replication
