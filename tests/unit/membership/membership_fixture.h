// Fixtures of a node that follows a coordinator and of a node that coordinates.
#pragma once

#include "core/membership/membership.h"
#include "node_fixture.h"

namespace ladderstream::membership {

inline constexpr uint64_t kConnection = 5;

/// The first reports to a new coordinator are spread over less than this.
inline constexpr Duration kSpread = absl::Milliseconds(10);

/// How long one answered report confirms a map, counted from its send.
inline const Duration kConfirmation =
    MembershipSettings{}.confirmation - MembershipSettings{}.confirmation_margin;

/// Returns a heartbeat of node `number` as coordinator.
inline Heartbeat MakeHeartbeat(uint64_t epoch, uint64_t number, ownership::MapVersion map_version) {
  Heartbeat heartbeat;
  heartbeat.sender = number;
  heartbeat.lease = MakeLease(epoch, number);
  heartbeat.lease_left_ms = 2000;
  heartbeat.map_version = map_version;
  return heartbeat;
}

/// A node that knows node 2 as coordinator of epoch 3, and its map.
struct Follower : Node {
  explicit Follower(Duration members_lease_reserve = absl::ZeroDuration())
      : Node(1, {}, members_lease_reserve) {
    membership.OnHolderKnown(MakeLease(3, 2), kStart);
    membership.OnMap(MakeMap(3, 1), kStart);
    membership.TakeActions();
  }

  /// Sends a report and returns its sequence.
  uint64_t SendReport(Time now) {
    membership.SendReport({}, {}, now);
    return TakeSent<Report>().front().second.sequence;
  }
  void Answer(uint64_t sequence, Heartbeat heartbeat, Time now) {
    heartbeat.answered_report = sequence;
    membership.OnMessage(kConnection, heartbeat, now);
  }
};

/// A coordinator of epoch 3 with two members.
struct Coordinator : Node {
  Coordinator() : Node(2) {
    Heartbeat members = MakeHeartbeat(2, 8, {});
    members.members = {MakeIdentity(1), MakeIdentity(2), MakeIdentity(3)};
    members.members_version = 1;
    membership.OnMessage(kConnection, members, kStart);
    membership.OnMap(MakeMap(2, 9), kStart);
    membership.TakeActions();
    membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Milliseconds(2500), kStart);
  }

  Report ReportOf(uint64_t number, ownership::MapVersion map_version) {
    Report report;
    report.sender = MakeIdentity(number);
    report.sequence = 41;
    report.map_version = map_version;
    return report;
  }
};

}  // namespace ladderstream::membership
