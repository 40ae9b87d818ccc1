// Tests of a node that does not coordinate: its reports, the coordinator it follows, and how long
// its map is confirmed.
#include <boost/test/unit_test.hpp>

#include "membership_fixture.h"

namespace ladderstream::membership {
namespace {

BOOST_AUTO_TEST_CASE(StartingNodeAsksSeedsForTheCoordinator) {
  Node node(1);
  node.membership.OnTick(kStart);
  const auto reports = node.TakeSent<Report>();
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST((reports.front().first == std::vector<Destination>{{kSeed, 0}}));

  Node seed(9);
  seed.membership.OnHolderKnown(MakeLease(3, 2), kStart);
  seed.membership.OnMessage(kConnection, reports.front().second, kStart);
  const auto answers = seed.TakeSent<Heartbeat>();
  BOOST_REQUIRE(answers.size() == 1);
  node.membership.OnMessage(kConnection, answers.front().second, kStart);
  BOOST_REQUIRE(node.membership.holder().has_value());
  BOOST_TEST(node.membership.holder()->incarnation == 2);
  // An answer of another node is no heartbeat of the coordinator and confirms no map.
  BOOST_TEST(node.Take<HeartbeatReceivedAction>().empty());
  BOOST_TEST((node.membership.map_confirmed_until() == absl::InfinitePast()));
}

/// A node that waited longer for its first report would depend on pushes alone.
BOOST_FIXTURE_TEST_CASE(ManyNodesReportToSuccessorWithinLongestInterval, Follower) {
  constexpr uint64_t kManyNodes = 1200;
  Heartbeat heartbeat = MakeHeartbeat(3, 2, {3, 1});
  for (uint64_t number = 1; number <= kManyNodes; ++number) {
    heartbeat.members.push_back(MakeIdentity(number));
  }
  heartbeat.members_version = 1;
  membership.OnMessage(kConnection, heartbeat, kStart);
  for (uint64_t epoch = 4; epoch < 24; ++epoch) {
    membership.OnHolderKnown(MakeLease(epoch, epoch), kStart);
    BOOST_TEST((membership.NextWake() <= kStart + MembershipSettings{}.longest_report_interval));
  }
}

BOOST_FIXTURE_TEST_CASE(KnownSenderSendsIncarnationOnly, Follower) {
  const auto sender_of_next = [this](bool wanted, uint64_t epoch, uint64_t coordinator) {
    membership.SendReport({}, {}, kStart);
    const Report report = TakeSent<Report>().front().second;
    Heartbeat answer = MakeHeartbeat(epoch, coordinator, {3, 1});
    answer.identity_wanted = wanted;
    Answer(report.sequence, answer, kStart);
    return report.sender;
  };
  BOOST_TEST((sender_of_next(true, 3, 2) == self));
  BOOST_TEST((sender_of_next(false, 3, 2) == self));
  const PeerIdentity shortened = sender_of_next(true, 3, 2);
  BOOST_TEST(!shortened.IsComplete());
  BOOST_TEST(shortened.incarnation == self.incarnation);
  BOOST_TEST((sender_of_next(false, 3, 2) == self));
  // A successor may not know the identity.
  membership.OnHolderKnown(MakeLease(4, 3), kStart);
  BOOST_TEST((sender_of_next(false, 4, 3) == self));
}

BOOST_FIXTURE_TEST_CASE(ReportsGoToCoordinatorAtInterval, Follower) {
  Time now = kStart + kSpread;
  for (int i = 0; i < 3; ++i) {
    membership.OnTick(now);
    BOOST_TEST(Take<ReportDueAction>().size() == 1);
    membership.SendReport({LoadReport{}}, {"backend-9"}, now);
    const auto reports = TakeSent<Report>();
    BOOST_REQUIRE(reports.size() == 1);
    BOOST_TEST((reports.front().first.front().address == MakeIdentity(2).address));
    BOOST_TEST((reports.front().second.map_version == ownership::MapVersion{3, 1}));
    Answer(reports.front().second.sequence, MakeHeartbeat(3, 2, {3, 1}), now);
    membership.TakeActions();
    const Duration pause = membership.NextWake() - now;
    BOOST_TEST(pause >= absl::Milliseconds(270));
    BOOST_TEST(pause <= absl::Milliseconds(300));
    now += pause;
  }
}

BOOST_AUTO_TEST_CASE(ManyMembersReportLessOften) {
  Node node(1);
  Heartbeat heartbeat = MakeHeartbeat(3, 2, {});
  for (uint64_t number = 1; number <= 200; ++number) {
    heartbeat.members.push_back(MakeIdentity(number));
  }
  heartbeat.members_version = 7;
  node.membership.OnMessage(kConnection, heartbeat, kStart);
  BOOST_TEST(node.Take<MembersChangedAction>().front().count == 200);
  node.membership.OnTick(kStart + absl::Seconds(1));
  BOOST_TEST((node.membership.NextWake() >= kStart + absl::Milliseconds(1900)));
}

BOOST_AUTO_TEST_CASE(NodesThatMissedAMapSpreadTheirReports) {
  Heartbeat heartbeat = MakeHeartbeat(3, 2, {3, 1});
  for (uint64_t number = 1; number <= 200; ++number) {
    heartbeat.members.push_back(MakeIdentity(number));
  }
  heartbeat.members_version = 7;
  std::set<Duration> waits;
  for (uint64_t number = 10; number < 20; ++number) {
    Node node(number);
    node.membership.OnMessage(kConnection, heartbeat, kStart);
    node.membership.OnTick(kStart + absl::Seconds(1));
    const Time due = node.membership.NextWake();
    node.membership.OnMessage(kConnection, heartbeat, due - absl::Milliseconds(500));
    BOOST_TEST(node.membership.NextWake() <= due);
    waits.insert(node.membership.NextWake() - (due - absl::Milliseconds(500)));
  }
  BOOST_TEST(waits.size() > 5);
  BOOST_TEST(*waits.begin() >= absl::ZeroDuration());
}

BOOST_FIXTURE_TEST_CASE(AnswerConfirmsMapFromSendTimeOfReport, Follower) {
  const uint64_t sequence = SendReport(kStart);
  Answer(sequence, MakeHeartbeat(3, 2, {3, 1}), kStart + absl::Milliseconds(700));
  const Time until = kStart + kConfirmation;
  BOOST_TEST((membership.map_confirmed_until() == until));
  // A repeated answer, or one to a report that was never sent, confirms nothing.
  Answer(sequence, MakeHeartbeat(3, 2, {3, 1}), kStart + absl::Seconds(5));
  Answer(99, MakeHeartbeat(3, 2, {3, 1}), kStart + absl::Seconds(5));
  BOOST_TEST((membership.map_confirmed_until() == until));
}

/// A successor waits until maps confirmed before the end of the lease are no longer in use, so
/// requests need not wait.
BOOST_FIXTURE_TEST_CASE(MapConfirmationOutlastsCoordinatorLease, Follower) {
  Heartbeat ending_lease = MakeHeartbeat(3, 2, {3, 1});
  ending_lease.lease_left_ms = 50;
  Answer(SendReport(kStart), ending_lease, kStart);
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
  // A lease that has run out confirms nothing.
  ending_lease.lease_left_ms = 0;
  Answer(SendReport(kStart + absl::Seconds(1)), ending_lease, kStart + absl::Seconds(1));
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

BOOST_FIXTURE_TEST_CASE(ConfirmationIsBounded, Follower) {
  Heartbeat long_lease = MakeHeartbeat(3, 2, {3, 1});
  long_lease.lease_left_ms = 60'000;
  Answer(SendReport(kStart), long_lease, kStart);
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

BOOST_FIXTURE_TEST_CASE(PushConfirmsForShortTime, Follower) {
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 1}), kStart);
  BOOST_TEST((membership.map_confirmed_until() == kStart + absl::Milliseconds(500)));
}

BOOST_FIXTURE_TEST_CASE(OnlyTheSameVersionIsConfirmed, Follower) {
  Answer(SendReport(kStart), MakeHeartbeat(3, 2, {2, 8}), kStart);
  BOOST_TEST((membership.map_confirmed_until() == absl::InfinitePast()));
  Answer(SendReport(kStart), MakeHeartbeat(3, 2, {3, 1}), kStart);
  // A newer map exists that this node lacks: the confirmation of the held one is not extended.
  const uint64_t later = SendReport(kStart + absl::Seconds(1));
  Answer(later, MakeHeartbeat(3, 2, {3, 2}), kStart + absl::Seconds(1));
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

/// At 295 nodes, each heartbeat without the map between two pushes made all nodes stop using it.
BOOST_FIXTURE_TEST_CASE(NewerMapElsewhereKeepsConfirmedMapInUse, Follower) {
  Answer(SendReport(kStart), MakeHeartbeat(3, 2, {3, 1}), kStart);
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 2}), kStart + absl::Milliseconds(450));
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

BOOST_FIXTURE_TEST_CASE(OnlyNewerMapsAreAdopted, Follower) {
  Heartbeat newer = MakeHeartbeat(3, 2, {3, 2});
  newer.map = {MakeMap(3, 2)};
  membership.OnMessage(kConnection, newer, kStart);
  BOOST_TEST((Take<MapChangedAction>().front().map->version == ownership::MapVersion{3, 2}));
  Heartbeat older = MakeHeartbeat(3, 2, {3, 1});
  older.map = {MakeMap(3, 1)};
  membership.OnMessage(kConnection, older, kStart);
  BOOST_TEST((membership.map()->version == ownership::MapVersion{3, 2}));
  BOOST_TEST(Take<MapChangedAction>().empty());
}

BOOST_FIXTURE_TEST_CASE(HighestEpochCoordinates, Follower) {
  Heartbeat successor = MakeHeartbeat(4, 6, {4, 1});
  successor.map = {MakeMap(4, 1)};
  membership.OnMessage(kConnection, successor, kStart);
  BOOST_TEST(membership.holder()->incarnation == 6);
  membership.TakeActions();
  const Time confirmed = membership.map_confirmed_until();
  Heartbeat deposed = MakeHeartbeat(3, 2, {4, 1});
  deposed.map = {MakeMap(4, 1)};
  membership.OnMessage(kConnection, deposed, kStart + absl::Milliseconds(400));
  BOOST_TEST(membership.holder()->incarnation == 6);
  BOOST_TEST((membership.map_confirmed_until() == confirmed));
  BOOST_TEST(Take<HeartbeatReceivedAction>().empty());
  membership.SendReport({}, {}, kStart);
  BOOST_TEST((TakeSent<Report>().front().first.front().address == MakeIdentity(6).address));
}

BOOST_FIXTURE_TEST_CASE(EarlierEpochOfSameNodeIsIgnored, Follower) {
  membership.OnHolderKnown(MakeLease(5, 2), kStart);
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 1}), kStart);
  BOOST_TEST((membership.map_confirmed_until() == absl::InfinitePast()));
  BOOST_TEST(Take<HeartbeatReceivedAction>().empty());
}

BOOST_FIXTURE_TEST_CASE(RefusedConnectionReportsCoordinatorEnded, Follower) {
  membership.OnConnectFailed(MakeIdentity(2).address, false, kStart);
  membership.OnConnectFailed(MakeIdentity(3).address, true, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().empty());
  membership.OnConnectFailed(MakeIdentity(2).address, true, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().front().incarnation == 2);
}

BOOST_FIXTURE_TEST_CASE(AnotherProcessAtCoordinatorAddressReportsCoordinatorEnded, Follower) {
  Heartbeat other;
  other.sender = 77;
  Answer(SendReport(kStart), other, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().front().incarnation == 2);
}

BOOST_FIXTURE_TEST_CASE(ResignationOfNonCoordinatorIsIgnored, Follower) {
  membership.OnMessage(kConnection, Resignation{3}, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().empty());
  membership.OnMessage(kConnection, Resignation{2}, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(LostConnectionToCoordinatorTriggersReport, Follower) {
  membership.OnTick(kStart + kSpread);
  const uint64_t sequence = SendReport(kStart + kSpread);
  Answer(sequence, MakeHeartbeat(3, 2, {3, 1}), kStart + kSpread);
  membership.OnConnectionLost(MakeIdentity(2).address, kStart + absl::Milliseconds(100));
  BOOST_TEST((membership.NextWake() == kStart + absl::Milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveCoordinatorTriggersSearchForSuccessor, Follower) {
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 1}), kStart);
  membership.OnTick(kStart + absl::Milliseconds(900));
  BOOST_TEST(TakeSent<Report>().empty());
  membership.OnTick(kStart + absl::Milliseconds(1300));
  const auto reports = TakeSent<Report>();
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST((reports.front().first.front().address == kSeed));
}

}  // namespace
}  // namespace ladderstream::membership
