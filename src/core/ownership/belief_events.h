// Names of the state changes that a coordinator reports. The `event` of a StateChangeAction is
// always one of these.
#pragma once

namespace ladderstream::ownership::state_change {

// The lease.

/// A heartbeat or a row named a new holder.
inline constexpr char kHolderChanged[] = "holder_changed";
/// The holder appears to be missing, and this node challenges the lease.
inline constexpr char kLeaseChallenged[] = "lease_challenged";
/// This node acquired the lease.
inline constexpr char kLeaseAcquired[] = "lease_acquired";
/// A write to the store was refused or not answered; reported for the first of consecutive
/// failures.
inline constexpr char kStoreWriteFailed[] = "store_write_failed";
/// The store rejected a transaction as too large or malformed. It is not resent unchanged.
inline constexpr char kCommitRejected[] = "commit_rejected";
/// The lease expired without a confirmed renewal. No orders are sent until one is confirmed.
inline constexpr char kLeaseLapsed[] = "lease_lapsed";
/// An expired lease was renewed before another node acquired it.
inline constexpr char kLeaseRegained[] = "lease_regained";
/// Another node acquired the lease.
inline constexpr char kLeaseLost[] = "lease_lost";
/// This node gave up the lease for a planned stop.
inline constexpr char kResigned[] = "resigned";
/// A row of the store cannot be decoded.
inline constexpr char kRowUnreadable[] = "row_unreadable";

// Keys.

/// A service got its first owners.
inline constexpr char kServicePartitioned[] = "service_partitioned";
/// Changes of owners or fences were committed to the store.
inline constexpr char kAssignmentsCommitted[] = "assignments_committed";
/// A move of keys to another back end began.
inline constexpr char kMoveStarted[] = "move_started";
/// Optional moves are deferred because a write to the store is unanswered; reported once until a
/// write is confirmed.
inline constexpr char kMovesPutOff[] = "moves_put_off";
/// The new owner of moved keys confirmed its grant.
inline constexpr char kMoveFinished[] = "move_finished";
/// An owner refused a grant because it has seen a higher fence; the keys get a new fence.
inline constexpr char kOwnerFenced[] = "owner_fenced";
/// An owner rejected a request as not the owner of a key that the map assigns to it.
inline constexpr char kOwnerDenied[] = "owner_denied";
/// The hold of an owner that did not answer its release has expired.
inline constexpr char kOwnerWaitedOut[] = "owner_waited_out";
/// Neighbouring ranges of one owner get a common fence.
inline constexpr char kRangesMerged[] = "ranges_merged";

// Back ends.

/// A back end leaves orders unanswered: it loses its keys and gets none for a while.
inline constexpr char kOwnerSilent[] = "owner_silent";
/// No owner of a service answers, so none of them is regarded as unresponsive: more likely this
/// node is disconnected.
inline constexpr char kOwnersUnreached[] = "owners_unreached";
/// Orders to a back end go through other nodes, as it does not answer directly; or directly again.
inline constexpr char kOrdersThroughPeers[] = "orders_through_peers";
inline constexpr char kOrdersDirect[] = "orders_direct";
/// A back end with free slots declines requests.
inline constexpr char kOwnerDeclines[] = "owner_declines";
/// An unresponsive back end answered again.
inline constexpr char kOwnerAnswers[] = "owner_answers";
/// A back end is asked whether it still runs, because the registration of another one suggests
/// that it has ended.
inline constexpr char kBackendQuestioned[] = "backend_questioned";
/// A back end is proven to have ended.
inline constexpr char kBackendEnded[] = "backend_ended";
/// Another instance answered for a back end that was granted its keys at another address, or that
/// has answered a later order.
inline constexpr char kBackendEndUnproven[] = "backend_end_unproven";
/// A back end is no longer taken to have ended.
inline constexpr char kBackendEndWithdrawn[] = "backend_end_withdrawn";

}  // namespace ladderstream::ownership::state_change
