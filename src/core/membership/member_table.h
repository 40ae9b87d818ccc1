// The list of member nodes as one node knows it. The coordinator maintains it from reports; the
// other nodes adopt it from the coordinator's heartbeats.
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

/// Where to send a message: on `connection` while it is open, else to `address`.
struct Destination {
  /// Port 0 when unknown.
  Endpoint address;
  /// A connection of the transport; 0 for none.
  uint64_t connection = 0;
  /// Used only to count the traffic that leaves the zone.
  ZoneScope zone = ZoneScope::kUnknown;
  bool operator==(const Destination&) const = default;
};

class MemberTable {
 public:
  /// A member that has not reported for `lifetime` is removed. The interval between publications of
  /// a changed list is at least `publish_interval_per_member` times the number of members.
  MemberTable(PeerIdentity self, Duration lifetime, Duration publish_interval_per_member);

  /// Records a report of `member` on a connection of the transport. An earlier process at the same
  /// address is removed. Returns the full identity, or nothing when the report carries only an
  /// incarnation that is not known.
  std::optional<PeerIdentity> OnReport(const PeerIdentity& member, uint64_t connection, Time now);
  /// Adopts the coordinator's list, or the changes to it, unless the held list is as new or newer.
  /// Returns whether the list was adopted.
  bool Adopt(const Heartbeat& heartbeat, Time now);
  /// Adds to `heartbeat` what a node that holds the list of `version` lacks.
  void AddTo(uint64_t version, Heartbeat* heartbeat) const;
  /// Whether a node that holds the list of `version` can only be sent the full list.
  bool NeedsFull(uint64_t version) const {
    return version < version_ && !ChangesSince(version).has_value();
  }
  /// Records that this node became the coordinator. Members get a full lifetime to report to it,
  /// and list versions continue above those of earlier epochs.
  void TakeOver(uint64_t epoch, Time now);
  /// Removes members that stopped reporting and publishes the list when due. Returns whether a
  /// changed list was published.
  bool Refresh(Time now, Duration report_interval);

  /// The published list, this node included.
  const std::vector<PeerIdentity>& members() const { return published_; }
  uint64_t version() const { return version_; }
  /// All known members except this node.
  std::vector<Destination> Others() const;
  std::vector<uint64_t> OtherIncarnations() const;
  /// Returns the zone scope of `member` relative to this node.
  ZoneScope ScopeOf(const PeerIdentity& member) const;
  /// Returns the destination for the node at `address`, which need not be a member.
  Destination At(const Endpoint& address) const;

 private:
  struct Member {
    PeerIdentity identity;
    uint64_t connection = 0;
    Time last_report;
  };

  /// The changes from the previous version to `version`.
  struct Change {
    uint64_t version = 0;
    MemberChanges changes;
  };

  void Publish();
  /// Publishes the list as `version` and records the changes in the history.
  void PublishChange(uint64_t version);
  /// Returns nothing when the history does not reach back to `version`.
  std::optional<MemberChanges> ChangesSince(uint64_t version) const;
  /// Returns false when `changes` are not based on the held list.
  bool Apply(const MemberChanges& changes, Time now);
  bool Replace(const std::vector<PeerIdentity>& members, Time now);

  PeerIdentity self_;
  Duration lifetime_;
  Duration publish_interval_per_member_;
  /// By incarnation, without this node.
  std::map<uint64_t, Member> others_;
  std::vector<PeerIdentity> published_;
  uint64_t version_ = 0;
  /// The newest changes, each based on the previous one.
  std::deque<Change> history_;
  bool changed_ = false;
  Time last_publish_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
