// The replicated state of ownership: a deterministic state machine on the log's commands.
//
// Every replica applies the same commands in the same order and reaches the same state; nothing
// here reads a clock. A command that does not fit the state it meets changes nothing and gives the
// reason as a result code, so a leader may propose from a state that is a little old. Not
// thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/command.h"
#include "wire/configuration.h"
#include "wire/identifiers.h"
#include "wire/ownership.h"
#include "wire/peer_message.h"

namespace ladderstream::authority {

/// What the group knows of one back end.
struct BackendRecord {
  /// The incarnation last admitted; zero for none.
  BackendIncarnation incarnation;
  /// False before the first admission and after every lease of `incarnation` was seen to end.
  bool admitted = false;
  /// An operator asked for it; holds over restarts of the back end.
  bool draining = false;
  /// The incarnation that said it is leaving; a later one is not draining because of it.
  BackendIncarnation leaving;
  /// Id zero for none.
  NodeDescriptor home;
  /// The entry that last changed what the back end may serve.
  GrantToken grants_version;
  /// The entry that last changed home or draining.
  GrantToken changed_at;
  /// Incarnations that a later one replaced, the newest last; they are never admitted again.
  std::vector<BackendIncarnation> superseded;

  bool IsDraining() const { return draining || (admitted && leaving == incarnation); }
  bool IsSuperseded(BackendIncarnation candidate) const;

  bool operator==(const BackendRecord&) const = default;
  MSGPACK_DEFINE_ARRAY(incarnation, admitted, draining, leaving, home, grants_version, changed_at,
                       superseded);
};

class OwnershipState {
 public:
  using Assignments = std::map<ShardId, Assignment>;
  using Backends = std::map<BackendId, BackendRecord>;
  using Nodes = std::map<NodeId, NodeDescriptor>;

  /// Applies one committed command; `token` is its place in the log. Gives kOk, or why it changed
  /// nothing (for commands of several items: why the first item that was left out was).
  ResultCode Apply(const GrantToken& token, const Command& command);

  /// The whole state as bytes, and back. Restore throws Error(kMalformedMessage).
  std::string TakeSnapshot() const;
  void Restore(const std::string& snapshot);
  /// Restores a checkpoint of an earlier generation. Every grant gets a token of `generation`, so
  /// that it outranks all that the lost end of the earlier log may have given.
  void RestoreInGeneration(const std::string& snapshot, uint64_t generation);

  /// The last entry applied.
  const GrantToken& version() const { return version_; }
  /// The last entry that changed anything a router sees.
  const GrantToken& routing_changed_at() const { return routing_changed_at_; }
  const Configuration& configuration() const { return configuration_; }
  const Assignments& assignments() const { return assignments_; }
  const Backends& backends() const { return backends_; }
  const Nodes& nodes() const { return nodes_; }
  /// Shards that nobody owns.
  const std::set<ShardId>& free_shards() const { return free_; }
  /// Shards whose owners were told to stop and have not yet acknowledged.
  const std::set<ShardId>& revoking_shards() const { return revoking_; }

  /// nullptr when unknown.
  const BackendRecord* FindBackendRecord(const BackendId& backend) const;
  const Assignment* FindAssignment(const ShardId& shard) const;
  /// Shards that `backend` owns or is giving up.
  const std::set<ShardId>& ShardsOf(const BackendId& backend) const;
  /// Whether `backend` is configured for `service`, admitted and not draining.
  bool MayReceive(const BackendId& backend, const ServiceName& service) const;
  GrantSet GrantsOf(const BackendId& backend) const;
  /// All back ends that have a home.
  std::vector<BackendHome> Homes() const;

  /// Fills in what is newer than `known`: assignments, removed shards, homes.
  void FillChangesSince(const GrantToken& known, StatePullResponse& response) const;

  /// Back ends whose grants changed since the last call.
  std::set<BackendId> TakeChangedGrants();

 private:
  struct Removal {
    ShardId shard;
    GrantToken removed_at;
    MSGPACK_DEFINE_ARRAY(shard, removed_at);
  };
  struct Snapshot;

  ResultCode ApplyOne(const AdoptConfiguration& command);
  ResultCode ApplyOne(const AdmitNode& command);
  ResultCode ApplyOne(const RemoveNode& command);
  ResultCode ApplyOne(const SetHome& command);
  ResultCode ApplyOne(const AdmitBackend& command);
  ResultCode ApplyOne(const ExpireBackend& command);
  ResultCode ApplyOne(const SetDraining& command);
  ResultCode ApplyOne(const AssignShards& command);
  ResultCode ApplyOne(const RevokeShards& command);
  ResultCode ApplyOne(const ConfirmRevocation& command);
  ResultCode ApplyOne(const SplitKey& command);
  ResultCode ApplyOne(const MergeKey& command);

  ResultCode AssignOne(const AssignShards::Item& item);
  ResultCode RevokeOne(const RevokeShards::Item& item);
  void AddMissingShards();
  void RevokeWhatIsNotConfigured();
  void AddMissingBackends();
  /// Whether the shard belongs to a service that is configured and divided by key.
  bool IsConfigured(const ShardId& shard) const;
  bool IsConfigured(const BackendId& backend, const ServiceName& service) const;
  /// Replaces or adds an assignment, stamped as changed now.
  void Put(Assignment assignment);
  void Erase(const ShardId& shard);
  void Unindex(const Assignment& assignment);
  void Index(const Assignment& assignment);
  /// Nobody owns the shard any more; it goes away if its service did.
  void Release(const ShardId& shard);
  void ReleaseAllOf(const BackendId& backend);
  /// Drops the record of a back end that is configured no more and owns nothing.
  void ForgetIfGone(const BackendId& backend);
  void MarkGrantsChanged(const BackendId& backend);
  void MarkRoutingChanged() { routing_changed_at_ = version_; }
  void RememberRemoval(const ShardId& shard);

  GrantToken version_;
  GrantToken routing_changed_at_;
  Configuration configuration_;
  Nodes nodes_;
  Backends backends_;
  Assignments assignments_;
  std::vector<Removal> removals_;
  /// Who knows less than this gets everything.
  GrantToken full_before_;

  // Derived from the above.
  std::map<BackendId, std::set<ShardId>> shards_of_;
  std::set<ShardId> free_;
  std::set<ShardId> revoking_;
  std::set<std::pair<GrantToken, ShardId>> by_change_;
  std::set<BackendId> changed_grants_;
};

}  // namespace ladderstream::authority
