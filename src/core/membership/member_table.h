// The nodes that take part, as one node knows them: kept by the coordinator from reports, and by
// the others from its heartbeats.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/membership/message_kind.h"
#include "core/membership/messages.h"
#include "wire/time.h"

namespace ladderstream::membership {

/// Where to send: on `connection` while it is open, else to `address`.
struct Destination {
  /// Port 0 when unknown.
  Endpoint address;
  /// A connection of the transport; 0 for none.
  uint64_t connection = 0;
  /// Only for counting what leaves the zone.
  ZoneScope zone = ZoneScope::kUnknown;
  bool operator==(const Destination&) const = default;
};

class MemberTable {
 public:
  /// A member that did not report for `lifetime` leaves. A changed list is published at most once
  /// per `publish_interval_per_member` for each member.
  MemberTable(PeerIdentity self, Duration lifetime, Duration publish_interval_per_member);

  /// A member reported, on this connection of the transport. Another run at the same address has
  /// ended. Gives its whole identity; nothing when it is not known and not told.
  std::optional<PeerIdentity> OnReport(const PeerIdentity& member, uint64_t connection, Time now);
  /// Takes over the list of the coordinator, or what changed in it, unless a newer one is known.
  /// True when it changed.
  bool Adopt(const Heartbeat& heartbeat, Time now);
  /// Puts into `heartbeat` what a node that holds the list of `version` lacks.
  void AddTo(uint64_t version, Heartbeat* heartbeat) const;
  /// Whether a node that holds the list of `version` can only be sent the whole one.
  bool NeedsFull(uint64_t version) const {
    return version < version_ && !ChangesSince(version).has_value();
  }
  /// This node became the coordinator: members get a whole lifetime to report to it, and the list's
  /// versions go on above those of earlier epochs.
  void TakeOver(uint64_t epoch, Time now);
  /// Lets silent members go and publishes the list when it is due. True when it changed.
  bool Refresh(Time now, Duration report_interval);

  /// The published list, this node included.
  const std::vector<PeerIdentity>& members() const { return published_; }
  uint64_t version() const { return version_; }
  /// All known members but this node.
  std::vector<Destination> Others() const;
  std::vector<uint64_t> OtherIncarnations() const;
  /// Where `member` is, seen from this node.
  ZoneScope ScopeOf(const PeerIdentity& member) const;
  /// The node at `address`, a member or not.
  Destination At(const Endpoint& address) const;

 private:
  struct Member {
    PeerIdentity identity;
    uint64_t connection = 0;
    Time last_report;
  };

  /// What one version changed in the one before it.
  struct Change {
    uint64_t version = 0;
    MemberChanges changes;
  };

  void Publish();
  /// Publishes the list as that of `version` and remembers what changed.
  void PublishChange(uint64_t version);
  /// Empty when not every change since `version` is remembered.
  std::optional<MemberChanges> ChangesSince(uint64_t version) const;
  /// Unless `changes` do not lead on from the list held.
  bool Apply(const MemberChanges& changes, Time now);
  bool Replace(const std::vector<PeerIdentity>& members, Time now);

  PeerIdentity self_;
  Duration lifetime_;
  Duration publish_interval_per_member_;
  /// By incarnation; never this node.
  std::map<uint64_t, Member> others_;
  std::vector<PeerIdentity> published_;
  uint64_t version_ = 0;
  /// The newest changes, each based on the one before it.
  std::deque<Change> history_;
  bool changed_ = false;
  Time last_publish_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
