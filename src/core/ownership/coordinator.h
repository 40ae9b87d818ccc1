// The coordinator: holds a lease in the metadata store, commits assignments under it, grants them
// to back ends, renews the grants, and moves keys.
//
// Coordinator is a deterministic state machine: it takes events and the current time and returns
// actions. It does no I/O, starts no thread and reads no clock. Every node has one; at most one of
// them holds the lease at a time. docs/design/013 explains why no key ever has two owners.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/catalog/backend_set.h"
#include "core/catalog/catalog.h"
#include "core/ownership/commit_limits.h"
#include "core/ownership/ownership_map.h"
#include "core/partition/partitioner.h"
#include "core/store/store_types.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::ownership {

struct CoordinatorSettings {
  /// Table and partition of the store that hold the lease and the assignments.
  std::string table = "ownership";
  std::string partition = "ownership";
  /// Validity of the lease, counted from the send of a confirmed lease write. It is long enough for
  /// the coordinator to renew holds and confirm its map during a store outage: with the time for
  /// which nodes use the last map, requests are routed to owners for 8.9 s after the last write. It
  /// is no longer because a successor waits for it to end before it moves the keys of an
  /// unresponsive owner.
  Duration lease = absl::Milliseconds(6500);
  Duration lease_renewal = absl::Milliseconds(800);
  /// A holder that sends heartbeats but has not renewed its lease row for this long is challenged:
  /// it may be the only node that cannot reach the store.
  Duration unrenewed_timeout = absl::Milliseconds(2500);
  /// How long one grant lets a back end hold keys; at most the platform's maximum hold.
  Duration hold = absl::Milliseconds(4500);
  Duration hold_renewal = absl::Milliseconds(1000);
  /// Limit of the renewal rate over all ranges. With more ranges each one is renewed less often,
  /// but always within its hold.
  double renewals_per_second = 500;
  /// Largest relative error by which the clock of a back end may run slow.
  double clock_drift = 0.02;
  /// Added to every wait for the end of another node's or back end's hold. An order leaves within
  /// this after it was decided.
  Duration slack = absl::Milliseconds(300);
  /// A node challenges the lease when the holder's last heartbeat is older than this.
  Duration heartbeat_timeout = absl::Milliseconds(1000);
  /// Extra time that this node waits before it challenges a missing holder, so that slow machines
  /// leave the lease to fast ones.
  Duration challenge_delay = absl::ZeroDuration();
  /// How long a node may use a map after its last confirmation. Keys of an owner that did not
  /// answer its release move no sooner than this after they were published as moving. It is far
  /// enough below the hold that it does not lengthen the wait for an unresponsive owner.
  Duration map_confirmation = absl::Milliseconds(3200);
  /// A back end that has confirmed no grant for this long is unresponsive and loses its keys.
  Duration unresponsive_timeout = absl::Milliseconds(1200);
  /// The same limit for a back end whose address refuses connections.
  Duration connection_refused_timeout = absl::Milliseconds(600);
  /// A service is partitioned for the first time when its back ends have not changed for this long.
  Duration registration_settle = absl::Milliseconds(500);
  /// Largest number of orders in flight to one back end.
  uint32_t max_orders_per_backend = 2;
  /// Time-outs of an order to a back end and of a store call.
  Duration order_timeout = absl::Milliseconds(400);
  Duration store_timeout = absl::Milliseconds(600);
  /// Limits of one transaction of the holder.
  CommitLimits commit_limits;
  /// A coordinator begins a new epoch when it has used this many fences of the current one.
  uint64_t fences_before_new_epoch = kFencesPerEpoch / 10 * 9;
  /// Interval between calls of the partitioner.
  Duration partition_interval = absl::Milliseconds(400);
  partition::PartitionWeights partition_weights;
};

/// Identity of this node, written into the lease row.
struct NodeIdentity {
  /// Chosen at random at each start.
  uint64_t incarnation = 0;
  std::string name;
  /// Address at which other nodes reach it.
  Endpoint peer_address;
};

/// State of the lease as its holder sends it to all nodes in heartbeats, or as the lease row has
/// it.
struct LeaseView {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  Endpoint peer_address;
  /// Version of the lease row in the sender's last confirmed write; 0 when unknown.
  store::RowVersion row_version = 0;
  MSGPACK_DEFINE_ARRAY(epoch, incarnation, peer_address, row_version);
};

/// Identifies a call of one coordinator, to match replies with calls.
using CallId = uint64_t;

struct CommitAction {
  CallId call = 0;
  store::Transaction transaction;
};
struct ReadAction {
  CallId call = 0;
  store::ReadQuery query;
};
struct GrantAction {
  CallId call = 0;
  std::string backend;
  Endpoint address;
  KeyRange range;
  Fence fence = 0;
  Duration hold;
  /// Handover data of the previous owner; empty when it returned none.
  std::string handover;
  /// The grant must not be sent later: this node may no longer hold the lease, or the grant would
  /// outlast what the coordinator waits out.
  Time send_by = absl::InfiniteFuture();
};
struct ReleaseAction {
  CallId call = 0;
  std::string backend;
  Endpoint address;
  KeyRange range;
  Fence fence = 0;
};
/// Requests that the changed map be published to all nodes, including this one.
struct PublishAction {
  OwnershipMap map;
};
/// Reports a state change for the log. `event` is one of the names in belief_events.h.
struct StateChangeAction {
  std::string event;
  std::string detail;
};
using Action = std::variant<CommitAction, ReadAction, GrantAction, ReleaseAction, PublishAction,
                            StateChangeAction>;

enum class OrderStatus {
  kDone,
  /// The back end has seen a higher fence on some of these keys.
  kFenced,
  /// The back end answered but did not execute the order.
  kRefused,
  /// Another incarnation, or a back end of another service, answered at its address.
  kOtherInstance,
  /// The connection was refused: the back end has ended or cannot be reached. The order was not
  /// sent.
  kUnreachable,
  /// No connection came up: the order was not sent. Proves nothing about the back end.
  kNotSent,
  /// No answer: the order may have been executed, or may still be executed seconds later.
  kNoAnswer,
};
struct OrderReply {
  OrderStatus status = OrderStatus::kNoAnswer;
  /// Handover data that a release returned.
  std::string handover;
};

class Coordinator {
 public:
  Coordinator(const CoordinatorSettings& settings, const NodeIdentity& self);
  ~Coordinator();

  /// Sets the sharded services and applies the changes of the registered back ends. A new back end
  /// of any service at the address of an owner causes an order to the owner, whose answer tells
  /// whether the owner still runs.
  void OnCatalog(const std::vector<catalog::Service>& sharded_services,
                 const catalog::BackendChanges& changes, Time now);
  /// Handles a heartbeat of another node that holds the lease.
  void OnHeartbeat(const LeaseView& view, Time now);
  /// Handles the end of a holder that announced giving up the lease or whose process has ended.
  void OnCoordinatorEnded(uint64_t incarnation, Time now);
  /// Adds the request counts and service times that all nodes measured for one service.
  void OnLoad(const std::string& service, const std::vector<partition::KeyCount>& counts,
              const std::vector<partition::ServiceTimeSample>& samples, Time now);
  /// Records that a back end with free slots declined a request of a node, which sends it nothing
  /// for `backoff`.
  void OnOwnerDeclined(const std::string& service, const std::string& backend, Duration backoff,
                       Time now);
  /// Sets all rate limits in force that back ends have reported, in requests per second summed over
  /// all nodes.
  void SetRateLimits(const std::map<std::string, double>& limits, Time now);
  /// Renews the grant of `key` after its owner according to the map in force rejected a request as
  /// not the owner.
  void OnNotOwner(const std::string& service, Key key, Time now);
  void OnStoreReply(CallId call, const store::StoreReply& reply, Time now);
  void OnOrderReply(CallId call, const OrderReply& reply, Time now);
  /// Performs all due work. Call it at or soon after NextWake().
  void OnTick(Time now);
  /// Prepares a planned stop of this node: gives up the lease as soon as no write or move is
  /// unfinished, and never acquires it again.
  void Resign(Time now);

  /// Returns the actions since the last call, in order.
  std::vector<Action> TakeActions();
  /// Returns the time at which OnTick is due next.
  Time NextWake() const;

  /// Returns whether this node holds a valid lease at `now`.
  bool Holds(Time now) const;
  /// Returns the lease expiry; InfinitePast when this node is not the holder.
  Time LeaseUntil() const;
  /// Returns the lease state to send in heartbeats; only meaningful while Holds().
  LeaseView View() const;
  /// Returns the holder known to this node.
  const std::optional<LeaseView>& KnownHolder() const;
  /// Returns the map last committed or read by this node.
  const OwnershipMap& Map() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::ownership
