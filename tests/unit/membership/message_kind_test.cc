#include "core/membership/message_kind.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "node_fixture.h"

namespace ladderstream::membership {
namespace {

BOOST_AUTO_TEST_CASE(HeartbeatKindIsItsLargestContent) {
  Heartbeat heartbeat;
  BOOST_TEST((KindOf(heartbeat) == MessageKind::kHeartbeat));
  heartbeat.tables = {TableUpdate{}, TableUpdate{}};
  BOOST_TEST((KindOf(heartbeat) == MessageKind::kHeartbeat));
  heartbeat.map_changes.emplace_back();
  BOOST_TEST((KindOf(heartbeat) == MessageKind::kMapChanges));
  heartbeat.tables[0].rows.push_back({"key", "value", 1});
  BOOST_TEST((KindOf(heartbeat) == MessageKind::kRows));
  heartbeat.members.push_back(MakeIdentity(1));
  BOOST_TEST((KindOf(heartbeat) == MessageKind::kMembers));
  heartbeat.map.push_back(MakeMap(1, 1));
  BOOST_TEST((KindOf(heartbeat) == MessageKind::kMap));
}

BOOST_AUTO_TEST_CASE(DestinationsReportTheirZoneScope) {
  PeerIdentity near = MakeIdentity(2);
  PeerIdentity far = MakeIdentity(3);
  far.zone = "zone-b";
  MemberTable table(MakeIdentity(1), absl::Seconds(3), absl::ZeroDuration());
  table.Adopt(MakeMemberList({near, far}, 1), kStart);
  BOOST_TEST((table.At(near.address).zone == ZoneScope::kOwn));
  BOOST_TEST((table.At(far.address).zone == ZoneScope::kOther));
  BOOST_TEST((table.At(kSeed).zone == ZoneScope::kUnknown));
  const std::vector<Destination> others = table.Others();
  BOOST_TEST_REQUIRE(others.size() == 2);
  BOOST_TEST((others[0].zone == ZoneScope::kOwn));
  BOOST_TEST((others[1].zone == ZoneScope::kOther));
}

}  // namespace
}  // namespace ladderstream::membership
