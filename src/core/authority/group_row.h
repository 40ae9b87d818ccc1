// What the table service keeps of a group: who founded its generation, and its newest checkpoint.
//
// The row is claimed by conditional transaction, so no two groups ever start one generation. Once
// founded, only the group's leader writes it, once per checkpoint interval even if nothing changed:
// a row that changes shows that a leader is alive.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "wire/identifiers.h"
#include "wire/replication.h"

namespace ladderstream::authority {

/// The largest checkpoint that is put into the row, in bytes; a table service bounds its rows. A
/// larger one is left out: a recovery then begins with the configuration row and free shards.
inline constexpr size_t kMaxCheckpointBytes = 380 * 1024;

struct GroupRow {
  uint64_t generation = 0;
  /// Who begins the generation's log.
  std::vector<NodeDescriptor> founders;
  /// As last written by the leader; the founders until then.
  GroupMembers members;
  /// How often the generation's leaders wrote this row. A founder that comes late, after the first
  /// time, does not found any more but joins.
  uint64_t leader_writes = 0;
  /// The state up to `checkpoint_version`; empty for none. Until the first leader write it is the
  /// state that the generation begins with.
  GrantToken checkpoint_version;
  std::string checkpoint;
  MSGPACK_DEFINE_ARRAY(generation, founders, members, leader_writes, checkpoint_version,
                       checkpoint);
};

/// The row's key in the table service.
std::string GroupRowKey(GroupId group);

}  // namespace ladderstream::authority
