// The nodes that take part, as one node knows them: kept by the coordinator from reports, and by
// the others from its heartbeats.
#pragma once

#include <cstdint>
#include <map>
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
  /// ended.
  void OnReport(const PeerIdentity& member, uint64_t connection, Time now);
  /// Takes over the list of the coordinator unless a newer one is known. True when it changed.
  bool Adopt(const std::vector<PeerIdentity>& members, uint64_t version, Time now);
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

  void Publish();

  PeerIdentity self_;
  Duration lifetime_;
  Duration publish_interval_per_member_;
  /// By incarnation; never this node.
  std::map<uint64_t, Member> others_;
  std::vector<PeerIdentity> published_;
  uint64_t version_ = 0;
  bool changed_ = false;
  Time last_publish_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
