// The names of everything a coordinator reports as a change of what it believes. A
// StateChangeAction's `event` is always one of these.
#pragma once

namespace ladderstream::ownership::state_change {

// The lease.

/// A heartbeat or a row showed another holder than the one known before.
inline constexpr char kHolderChanged[] = "holder_changed";
/// The holder seems to be missing; this node challenges the lease.
inline constexpr char kLeaseChallenged[] = "lease_challenged";
/// This node holds the lease from now on.
inline constexpr char kLeaseAcquired[] = "lease_acquired";
/// A write to the store was refused or had no answer; told for the first of several in a row.
inline constexpr char kStoreWriteFailed[] = "store_write_failed";
/// The store refused a transaction for what it held, too large or malformed. It is not sent again
/// as it is.
inline constexpr char kCommitRejected[] = "commit_rejected";
/// The lease ran out without a confirmed renewal. Nothing is sent until one is confirmed.
inline constexpr char kLeaseLapsed[] = "lease_lapsed";
/// A lapsed lease was renewed before another node took it.
inline constexpr char kLeaseRegained[] = "lease_regained";
/// Another node holds the lease now.
inline constexpr char kLeaseLost[] = "lease_lost";
/// The lease was given up on purpose.
inline constexpr char kResigned[] = "resigned";
/// A row of the store cannot be read.
inline constexpr char kRowUnreadable[] = "row_unreadable";

// Keys.

/// A service has its first owners.
inline constexpr char kServicePartitioned[] = "service_partitioned";
/// Changes of owners or fences are in the store.
inline constexpr char kAssignmentsCommitted[] = "assignments_committed";
/// An owner is told to release keys that another back end shall get.
inline constexpr char kMoveStarted[] = "move_started";
/// Moves that are not needed wait, since a write to the store is unanswered; told once until one is
/// confirmed.
inline constexpr char kMovesPutOff[] = "moves_put_off";
/// The new owner of moved keys has confirmed its grant.
inline constexpr char kMoveFinished[] = "move_finished";
/// A refused grant showed that the owner has seen a higher fence: the keys get a new one.
inline constexpr char kOwnerFenced[] = "owner_fenced";
/// An owner told a node that it does not hold keys that the map says it holds.
inline constexpr char kOwnerDenied[] = "owner_denied";
/// The hold of an owner that never answered has surely run out.
inline constexpr char kOwnerWaitedOut[] = "owner_waited_out";
/// Neighbouring ranges of one owner get one fence.
inline constexpr char kRangesMerged[] = "ranges_merged";

// Back ends.

/// A back end leaves orders unanswered: it gets no keys for a while, and loses those it has.
inline constexpr char kOwnerSilent[] = "owner_silent";
inline constexpr char kOwnerDeclines[] = "owner_declines";
/// A silent back end answered again.
inline constexpr char kOwnerAnswers[] = "owner_answers";
/// It is proven that a back end has ended.
inline constexpr char kBackendEnded[] = "backend_ended";

}  // namespace ladderstream::ownership::state_change
