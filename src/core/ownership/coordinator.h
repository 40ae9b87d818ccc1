// The coordinator: holds a lease in the metadata store, commits assignments under it, grants them
// to back ends, renews the grants, and moves keys.
//
// Pure: events and time in, actions out; no I/O, no thread, no clock. Every node has one; at most
// one of them holds the lease at a time. docs/design/013 says why no key ever has two owners.
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
  /// Where the lease and the assignments are kept.
  std::string table = "ownership";
  std::string partition = "ownership";
  /// How long after the send of a confirmed lease write the coordinator may act. Long enough that
  /// it goes on renewing holds and confirming its map while the store is away: with the use of the
  /// last map behind it, callers find owners for 8.9 s after the last write. Not longer, since a
  /// successor waits for it before it moves the keys of an owner that does not answer.
  Duration lease = absl::Milliseconds(6500);
  Duration lease_renewal = absl::Milliseconds(800);
  /// A holder that is heard of, but whose lease row was not renewed for this long, is challenged:
  /// it may be the only one that the store does not answer.
  Duration unrenewed_timeout = absl::Milliseconds(2500);
  /// How long one grant lets a back end hold keys; at most the platform's bound.
  Duration hold = absl::Milliseconds(4500);
  Duration hold_renewal = absl::Milliseconds(1000);
  /// Renewals of all ranges together; with more ranges each is renewed more rarely, within its
  /// hold.
  double renewals_per_second = 500;
  /// The clock of a back end may run this much slow.
  double clock_drift = 0.02;
  /// Added to every wait for another's hold to end.
  Duration slack = absl::Milliseconds(300);
  /// A peer's heartbeat older than this makes a node challenge the lease.
  Duration heartbeat_timeout = absl::Milliseconds(1000);
  /// How much longer than others this node waits before it challenges a missing holder: weak
  /// machines leave the lease to strong ones.
  Duration challenge_delay = absl::ZeroDuration();
  /// For this long a node may go on using a map after its last confirmation. Keys of an owner that
  /// did not answer its release move no sooner than this after they were published as moving. So
  /// far below the hold that waiting for it does not lengthen the wait for a silent owner.
  Duration map_confirmation = absl::Milliseconds(3200);
  /// A back end that confirmed no grant for this long is silent: it loses its keys.
  Duration unresponsive_timeout = absl::Milliseconds(1200);
  /// The same when it was because nothing listened at its address.
  Duration connection_refused_timeout = absl::Milliseconds(600);
  /// A service gets its first partition when its back ends have not changed for this long.
  Duration registration_settle = absl::Milliseconds(500);
  /// How many orders one back end is sent at once.
  uint32_t max_orders_per_backend = 2;
  /// An order to a back end or a store write without an answer is given up after this.
  Duration order_timeout = absl::Milliseconds(400);
  Duration store_timeout = absl::Milliseconds(600);
  /// What one write of the holder may carry.
  CommitLimits commit_limits;
  /// When a coordinator has drawn this many fences of its epoch it begins another.
  uint64_t fences_before_new_epoch = kFencesPerEpoch / 10 * 9;
  /// How often the partitioner is asked.
  Duration partition_interval = absl::Milliseconds(400);
  partition::PartitionWeights partition_weights;
};

/// Who this node is to others; written into the lease.
struct NodeIdentity {
  /// Drawn at random at each start.
  uint64_t incarnation = 0;
  std::string name;
  /// Where other nodes reach it.
  Endpoint peer_address;
};

/// What the holder of the lease tells all nodes, and what the lease row says.
struct LeaseView {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  Endpoint peer_address;
  /// The version of the lease row that the sender last confirmed; 0 when unknown.
  store::RowVersion row_version = 0;
  MSGPACK_DEFINE_ARRAY(epoch, incarnation, peer_address, row_version);
};

/// Numbers the calls of one coordinator, so that a reply finds its call.
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
  /// Empty when the last holder gave none.
  std::string handover;
  /// It must not leave later: then it is no longer known that this node holds the lease.
  Time send_by = absl::InfiniteFuture();
};
struct ReleaseAction {
  CallId call = 0;
  std::string backend;
  Endpoint address;
  KeyRange range;
  Fence fence = 0;
};
/// The map changed: publish it to all nodes (also to this one).
struct PublishAction {
  OwnershipMap map;
};
/// A belief changed; for the log. `event` is one of those in belief_events.h.
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
  /// It answered, and did not do it.
  kRefused,
  /// Another incarnation, or a back end of another service, answers at its address.
  kOtherInstance,
  /// The connection was refused. The back end may have ended, or be cut off.
  kUnreachable,
  /// No answer: it may be done, or may be done seconds later.
  kNoAnswer,
};
struct OrderReply {
  OrderStatus status = OrderStatus::kNoAnswer;
  /// Of a release.
  std::string handover;
};

class Coordinator {
 public:
  Coordinator(const CoordinatorSettings& settings, const NodeIdentity& self);
  ~Coordinator();

  /// The sharded services, and what changed in the registered back ends. One of any service at the
  /// address of an earlier one proves that this has ended.
  void OnCatalog(const std::vector<catalog::Service>& sharded_services,
                 const catalog::BackendChanges& changes, Time now);
  /// Another node's heartbeat as holder of the lease arrived.
  void OnHeartbeat(const LeaseView& view, Time now);
  /// The holder said that it gives the lease up, or its process surely ended.
  void OnCoordinatorEnded(uint64_t incarnation, Time now);
  /// What all nodes counted for one service.
  void OnLoad(const std::string& service, const std::vector<partition::KeyCount>& counts,
              const std::vector<partition::ServiceTimeSample>& samples, Time now);
  /// A back end turned a node's request away though it had free slots, and is left alone by that
  /// node for `rest`.
  void OnOwnerDeclined(const std::string& service, const std::string& backend, Duration backoff,
                       Time now);
  /// All limits in force that back ends have named, in requests a second from all nodes together.
  void SetRateLimits(const std::map<std::string, double>& limits, Time now);
  /// A node got "does not own the key" from an owner of the map in force: check its grant.
  void OnNotOwner(const std::string& service, Key key, Time now);
  /// It is proven that this incarnation of a back end has ended, and so holds nothing.
  void OnBackendEnded(const std::string& backend, Time now);
  void OnStoreReply(CallId call, const store::StoreReply& reply, Time now);
  void OnOrderReply(CallId call, const OrderReply& reply, Time now);
  /// To be called at or soon after NextWake().
  void OnTick(Time now);
  /// A planned stop of this node: gives the lease up as soon as nothing is half done, and never
  /// takes it again.
  void Resign(Time now);

  /// Actions since the last call, in order.
  std::vector<Action> TakeActions();
  /// When OnTick is due next.
  Time NextWake() const;

  /// Whether this node holds a valid lease now.
  bool Holds(Time now) const;
  /// Until when the lease is valid; in the infinite past while this node is not its holder.
  Time LeaseUntil() const;
  /// For heartbeats; only meaningful while Holds().
  LeaseView View() const;
  /// The holder as far as this node knows.
  const std::optional<LeaseView>& KnownHolder() const;
  /// The map last committed or read by this node.
  const OwnershipMap& Map() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::ownership
