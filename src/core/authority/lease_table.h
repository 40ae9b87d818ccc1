// The leases that this node, as leader, gave to back ends. Volatile: a new leader starts without
// any and learns from its voters by when the earlier leader's leases have ended.
//
// A lease is counted by the back end from when it SENT its request and by the leader from when it
// ANSWERED, so the leader's reading ends later. See docs/design/002. Not thread-safe.
#pragma once

#include <map>
#include <optional>

#include "core/authority/authority.h"
#include "core/authority/ownership_state.h"

namespace ladderstream::authority {

/// What the leader knows of one back end's requests.
struct LeaseRecord {
  /// On the leader's clock: no lease given by this node lasts longer.
  Time ends = absl::InfinitePast();
  /// The newest grant set that the admitted incarnation reported as applied.
  GrantToken applied_version;
  /// An incarnation that asked without being admitted; zero for none. While there is one, the
  /// admitted incarnation's lease is renewed no more.
  BackendIncarnation candidate;
  /// ExpireBackend was proposed: no lease until it is applied.
  bool expiring = false;
  /// The admitted incarnation said that it is leaving.
  bool leaving = false;
  /// When this node, as leader, saw the incarnation admitted.
  Time admitted_at = absl::InfinitePast();
  /// Since when the admitted incarnation has been known to this leader.
  Time known_since = absl::InfiniteFuture();
};

class LeaseTable {
 public:
  explicit LeaseTable(const AuthoritySettings& settings);

  /// This node became leader, its state complete. No lease of earlier leaders outlasts
  /// `earlier_leases_end`; no lease is given before `earliest_lease`.
  void BeginTerm(Time now, Time earlier_leases_end, Time earliest_lease);

  /// Answers a back end. `leader_lease` is what is left of this node's own lease, read after the
  /// request arrived.
  LeaseResponse Answer(const LeaseRequest& request, const OwnershipState& state,
                       Duration leader_lease, Time now);

  const LeaseRecord* Find(const BackendId& backend) const;
  bool IsLive(const BackendId& backend, Time now) const;

  /// The moment by which every lease of the admitted incarnation has ended, whoever gave it.
  Time LeasesEnd(const BackendId& backend) const;
  /// The moment at which a back end that asks no more loses its shards. Leaves back ends time to
  /// find a new leader.
  Time ExpiresAt(const BackendId& backend) const;

  void MarkExpiring(const BackendId& backend);
  /// The state admitted an incarnation; it has the time of a lease to ask for its first.
  void NoteAdmitted(const BackendId& backend, Time now);
  /// The state has no admitted incarnation any more.
  void NoteExpired(const BackendId& backend);

  /// Whether something came that the leader has to act upon, since the last call.
  bool TakeDirty();

 private:
  Duration GiveLease(LeaseRecord& record, Duration leader_lease, Time now);
  /// Forgets all but the end of the leases given.
  void Reset(LeaseRecord& record);
  void NoteCandidate(LeaseRecord& record, const LeaseRequest& request);

  const Duration backend_lease_;
  const Duration expiry_margin_;
  const double max_clock_drift_;
  Time term_began_ = absl::InfinitePast();
  Time earlier_leases_end_ = absl::InfinitePast();
  Time earliest_lease_ = absl::InfinitePast();
  std::map<BackendId, LeaseRecord> records_;
  bool dirty_ = false;
};

}  // namespace ladderstream::authority
