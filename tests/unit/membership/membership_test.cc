#include "core/membership/membership.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "node_fixture.h"

namespace ladderstream::membership {
namespace {

constexpr uint64_t kConnection = 5;

/// The first reports to a new coordinator are spread over less than this.
constexpr Duration kSpread = absl::Milliseconds(10);

/// What one answered report confirms a map for, from its send.
const Duration kConfirmation =
    MembershipSettings{}.confirmation - MembershipSettings{}.confirmation_margin;

/// A heartbeat of node `number` as coordinator.
Heartbeat MakeHeartbeat(uint64_t epoch, uint64_t number, ownership::MapVersion map_version) {
  Heartbeat heartbeat;
  heartbeat.sender = number;
  heartbeat.lease = MakeLease(epoch, number);
  heartbeat.lease_left_ms = 2000;
  heartbeat.map_version = map_version;
  return heartbeat;
}

/// A node that knows node 2 as coordinator of epoch 3, and its map.
struct Follower : Node {
  Follower() : Node(1) {
    membership.OnHolderKnown(MakeLease(3, 2), kStart);
    membership.OnMap(MakeMap(3, 1), kStart);
    membership.TakeActions();
  }

  /// Sends a report and gives its sequence.
  uint64_t SendReport(Time now) {
    membership.SendReport({}, {}, now);
    return TakeSent<Report>().front().second.sequence;
  }
  void Answer(uint64_t sequence, Heartbeat heartbeat, Time now) {
    heartbeat.answered_report = sequence;
    membership.OnMessage(kConnection, heartbeat, now);
  }
};

BOOST_AUTO_TEST_CASE(AStartingNodeAsksItsSeedsWhoCoordinates) {
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
  // Hearsay is no sign of life of the coordinator and confirms no map.
  BOOST_TEST(node.Take<HeartbeatHeardAction>().empty());
  BOOST_TEST((node.membership.map_confirmed_until() == absl::InfinitePast()));
}

/// Pushes alone would have to keep a node going that waits longer for its first report.
BOOST_FIXTURE_TEST_CASE(ManyNodesReportToASuccessorWithinTheLongestInterval, Follower) {
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

BOOST_FIXTURE_TEST_CASE(AKnownSenderTellsItsIncarnationOnly, Follower) {
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
  BOOST_TEST(!shortened.IsWhole());
  BOOST_TEST(shortened.incarnation == self.incarnation);
  BOOST_TEST((sender_of_next(false, 3, 2) == self));
  // A successor may know less.
  membership.OnHolderKnown(MakeLease(4, 3), kStart);
  BOOST_TEST((sender_of_next(false, 4, 3) == self));
}

BOOST_FIXTURE_TEST_CASE(ReportsGoToTheCoordinatorAtTheInterval, Follower) {
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

BOOST_AUTO_TEST_CASE(NodesThatMissedAMapDoNotReportAllAtOnce) {
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

BOOST_FIXTURE_TEST_CASE(AnAnswerConfirmsFromTheReportsSend, Follower) {
  const uint64_t sequence = SendReport(kStart);
  Answer(sequence, MakeHeartbeat(3, 2, {3, 1}), kStart + absl::Milliseconds(700));
  const Time until = kStart + kConfirmation;
  BOOST_TEST((membership.map_confirmed_until() == until));
  // The same answer again, or one to a report never sent, confirms nothing.
  Answer(sequence, MakeHeartbeat(3, 2, {3, 1}), kStart + absl::Seconds(5));
  Answer(99, MakeHeartbeat(3, 2, {3, 1}), kStart + absl::Seconds(5));
  BOOST_TEST((membership.map_confirmed_until() == until));
}

/// A successor waits for maps that were confirmed before the end of the lease, so requests need
/// not.
BOOST_FIXTURE_TEST_CASE(AMapStaysConfirmedBeyondTheLeaseOfWhoConfirmedIt, Follower) {
  Heartbeat ending_lease = MakeHeartbeat(3, 2, {3, 1});
  ending_lease.lease_left_ms = 50;
  Answer(SendReport(kStart), ending_lease, kStart);
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
  // One that ran out confirms nothing.
  ending_lease.lease_left_ms = 0;
  Answer(SendReport(kStart + absl::Seconds(1)), ending_lease, kStart + absl::Seconds(1));
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

BOOST_FIXTURE_TEST_CASE(NoConfirmationOutlastsItsBound, Follower) {
  Heartbeat long_lease = MakeHeartbeat(3, 2, {3, 1});
  long_lease.lease_left_ms = 60'000;
  Answer(SendReport(kStart), long_lease, kStart);
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

BOOST_FIXTURE_TEST_CASE(APushConfirmsForAShortTimeOnly, Follower) {
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 1}), kStart);
  BOOST_TEST((membership.map_confirmed_until() == kStart + absl::Milliseconds(500)));
}

BOOST_FIXTURE_TEST_CASE(OnlyTheSameVersionIsConfirmed, Follower) {
  Answer(SendReport(kStart), MakeHeartbeat(3, 2, {2, 8}), kStart);
  BOOST_TEST((membership.map_confirmed_until() == absl::InfinitePast()));
  Answer(SendReport(kStart), MakeHeartbeat(3, 2, {3, 1}), kStart);
  // A newer map exists that this node has not got: the one held is confirmed no longer than it was.
  const uint64_t later = SendReport(kStart + absl::Seconds(1));
  Answer(later, MakeHeartbeat(3, 2, {3, 2}), kStart + absl::Seconds(1));
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

/// At 295 nodes each bare heartbeat between two pushes once stopped all of them from using the map.
BOOST_FIXTURE_TEST_CASE(ANewerMapElsewhereDoesNotStopTheUseOfAConfirmedOne, Follower) {
  Answer(SendReport(kStart), MakeHeartbeat(3, 2, {3, 1}), kStart);
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 2}), kStart + absl::Milliseconds(450));
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
}

BOOST_FIXTURE_TEST_CASE(OnlyNewerMapsAreTaken, Follower) {
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

BOOST_FIXTURE_TEST_CASE(TheHighestEpochCoordinates, Follower) {
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
  BOOST_TEST(Take<HeartbeatHeardAction>().empty());
  membership.SendReport({}, {}, kStart);
  BOOST_TEST((TakeSent<Report>().front().first.front().address == MakeIdentity(6).address));
}

BOOST_FIXTURE_TEST_CASE(AnEarlierEpochOfTheSameNodeCountsNoLonger, Follower) {
  membership.OnHolderKnown(MakeLease(5, 2), kStart);
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 1}), kStart);
  BOOST_TEST((membership.map_confirmed_until() == absl::InfinitePast()));
  BOOST_TEST(Take<HeartbeatHeardAction>().empty());
}

BOOST_FIXTURE_TEST_CASE(ARefusedConnectionSaysThatTheCoordinatorEnded, Follower) {
  membership.OnConnectFailed(MakeIdentity(2).address, false, kStart);
  membership.OnConnectFailed(MakeIdentity(3).address, true, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().empty());
  membership.OnConnectFailed(MakeIdentity(2).address, true, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().front().incarnation == 2);
}

BOOST_FIXTURE_TEST_CASE(AnotherProcessAtItsAddressSaysSoToo, Follower) {
  Heartbeat stranger;
  stranger.sender = 77;
  Answer(SendReport(kStart), stranger, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().front().incarnation == 2);
}

BOOST_FIXTURE_TEST_CASE(AResignationCountsOnlyForTheCoordinator, Follower) {
  membership.OnMessage(kConnection, Resignation{3}, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().empty());
  membership.OnMessage(kConnection, Resignation{2}, kStart);
  BOOST_TEST(Take<CoordinatorEndedAction>().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ALostConnectionToTheCoordinatorIsTriedAtOnce, Follower) {
  membership.OnTick(kStart + kSpread);
  const uint64_t sequence = SendReport(kStart + kSpread);
  Answer(sequence, MakeHeartbeat(3, 2, {3, 1}), kStart + kSpread);
  membership.OnConnectionLost(MakeIdentity(2).address, kStart + absl::Milliseconds(100));
  BOOST_TEST((membership.NextWake() == kStart + absl::Milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(AfterASilenceOthersAreAskedForASuccessor, Follower) {
  membership.OnMessage(kConnection, MakeHeartbeat(3, 2, {3, 1}), kStart);
  membership.OnTick(kStart + absl::Milliseconds(900));
  BOOST_TEST(TakeSent<Report>().empty());
  membership.OnTick(kStart + absl::Milliseconds(1300));
  const auto reports = TakeSent<Report>();
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST((reports.front().first.front().address == kSeed));
}

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

// Who may send to a cold back end is drawn from the list: a node without one may not.
BOOST_AUTO_TEST_CASE(ANodeThatIsAloneTellsOfItsListWhenItLeads) {
  Node node(2);
  node.membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Seconds(2), kStart);
  const auto changed = node.Take<MembersChangedAction>();
  BOOST_REQUIRE(changed.size() == 1);
  BOOST_TEST(changed.front().count == 1U);
  node.membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Seconds(3),
                              kStart + absl::Seconds(1));
  const auto confirmed = node.Take<MembersConfirmedAction>();
  BOOST_REQUIRE(confirmed.size() == 1);
  BOOST_TEST((confirmed.front().until == kStart + absl::Seconds(3)));
}

BOOST_FIXTURE_TEST_CASE(AnAnsweredReportConfirmsTheListOfMembers, Follower) {
  Heartbeat list = MakeHeartbeat(3, 2, {3, 1});
  list.members = {MakeIdentity(1), MakeIdentity(2)};
  list.members_version = 5;
  const uint64_t sequence = SendReport(kStart + absl::Seconds(1));
  Answer(sequence, list, kStart + absl::Milliseconds(1500));
  const auto confirmed = Take<MembersConfirmedAction>();
  BOOST_REQUIRE(confirmed.size() == 1);
  // From the report's send, less the margin.
  BOOST_TEST((confirmed.front().until == kStart + absl::Milliseconds(2900)));
  // A push, whose age is not known, confirms nothing.
  Answer(0, list, kStart + absl::Milliseconds(1600));
  BOOST_TEST(Take<MembersConfirmedAction>().empty());
}

BOOST_FIXTURE_TEST_CASE(ASuccessorTellsAllMembersAtOnce, Coordinator) {
  const auto pushed = TakeSent<Heartbeat>();
  BOOST_REQUIRE(pushed.size() == 1);
  BOOST_TEST(pushed.front().first.size() == 2);
  BOOST_TEST(pushed.front().second.lease.epoch == 3);
  BOOST_TEST(pushed.front().second.lease_left_ms == 2500);
  membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Seconds(3), kStart + absl::Seconds(1));
  BOOST_TEST(TakeSent<Heartbeat>().empty());
}

BOOST_FIXTURE_TEST_CASE(AReportIsAnsweredWithTheMapOnlyWhenItIsOlder, Coordinator) {
  membership.TakeActions();
  membership.OnMessage(kConnection, ReportOf(1, {2, 8}), kStart + absl::Seconds(1));
  membership.OnMessage(kConnection, ReportOf(1, {2, 9}), kStart + absl::Seconds(1));
  const auto answers = TakeSent<Heartbeat>();
  BOOST_REQUIRE(answers.size() == 2);
  BOOST_TEST(answers[0].first.front().connection == kConnection);
  BOOST_TEST(answers[0].second.answered_report == 41);
  BOOST_TEST(answers[0].second.lease_left_ms == 1500);
  BOOST_TEST(answers[0].second.map.size() == 1);
  BOOST_TEST(answers[1].second.map.empty());
}

/// After a start of the whole fleet everybody lacks the map at once. Encoding it for each of 300
/// reports cost the coordinator its lease.
BOOST_FIXTURE_TEST_CASE(AWholeMapIsMadeOnceForThoseThatAskTogether, Coordinator) {
  membership.TakeActions();
  const Time asked = kStart + absl::Seconds(1);
  constexpr uint64_t kNodes = 40;
  for (uint64_t number = 10; number < 10 + kNodes; ++number) {
    membership.OnMessage(number, ReportOf(number, {}), asked);
  }
  size_t whole = 0;
  for (const auto& [to, answer] : TakeSent<Heartbeat>()) {
    BOOST_TEST(answer.answered_report == 41);
    whole += answer.map.size();
  }
  BOOST_TEST(whole == 1U);
  membership.OnTick(asked + absl::Milliseconds(50));
  auto sent = TakeSent<Heartbeat>();
  std::erase_if(sent, [](const auto& heartbeat) { return heartbeat.second.map.empty(); });
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_TEST(sent.front().first.size() == kNodes - 1);
  BOOST_TEST(sent.front().second.map.size() == 1);
  BOOST_TEST(!sent.front().second.members.empty());
  BOOST_TEST(sent.front().second.answered_report == 0);
}

BOOST_FIXTURE_TEST_CASE(AChangedMapIsPushedAtOnceThenBounded, Coordinator) {
  membership.TakeActions();
  const Time first = kStart + absl::Milliseconds(100);
  membership.OnMap(MakeMap(3, 1), first);
  const Heartbeat changed = TakeSent<Heartbeat>().front().second;
  BOOST_REQUIRE(changed.map_changes.size() == 1);
  BOOST_TEST((changed.map_changes.front().base == ownership::MapVersion{2, 9}));
  BOOST_TEST((changed.map_changes.front().version == ownership::MapVersion{3, 1}));
  membership.OnMap(MakeMap(3, 2), first);
  membership.OnMap(MakeMap(3, 3), first);
  BOOST_TEST(TakeSent<Heartbeat>().empty());
  BOOST_TEST((membership.NextWake() == first + absl::Milliseconds(6)));
  membership.OnTick(first + absl::Milliseconds(6));
  const auto pushed = TakeSent<Heartbeat>();
  BOOST_REQUIRE(pushed.size() == 1);
  BOOST_TEST((pushed.front().second.map_version == ownership::MapVersion{3, 3}));
}

BOOST_FIXTURE_TEST_CASE(RareReportsAreMadeUpForBySignsOfLife, Coordinator) {
  membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Minutes(1), kStart);
  for (uint64_t number = 10; number < 310; ++number) {
    membership.OnMessage(number, ReportOf(number, {2, 9}), kStart + absl::Seconds(1));
  }
  // Those that lack the list get it together.
  membership.OnTick(kStart + absl::Milliseconds(1100));
  membership.TakeActions();
  membership.OnTick(kStart + absl::Milliseconds(1500));
  BOOST_TEST(TakeSent<Heartbeat>().empty());  // to all that is known, three nodes take part
  const Time published = kStart + absl::Seconds(4);
  membership.OnTick(published);
  BOOST_TEST(Take<MembersChangedAction>().front().count == 301);
  for (int sign = 1; sign <= 2; ++sign) {
    membership.OnTick(published + absl::Milliseconds(450) * sign);
    const auto pushed = TakeSent<Heartbeat>();
    BOOST_REQUIRE(pushed.size() == 1);
    BOOST_TEST(pushed.front().first.size() == 300);
    BOOST_TEST(pushed.front().second.map.empty());
  }
}

BOOST_FIXTURE_TEST_CASE(ASignOfLifeCarriesTheMapThatWaitsForItsPush, Coordinator) {
  membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Minutes(1), kStart);
  for (uint64_t number = 10; number < 310; ++number) {
    membership.OnMessage(number, ReportOf(number, {2, 9}), kStart + absl::Seconds(1));
  }
  const Time published = kStart + absl::Seconds(4);
  membership.OnTick(published);
  membership.OnMap(MakeMap(3, 1), published);
  membership.OnMap(MakeMap(3, 2), published + absl::Milliseconds(10));
  membership.TakeActions();
  membership.OnTick(published + absl::Milliseconds(450));
  const auto sent = TakeSent<Heartbeat>();
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_REQUIRE(sent.front().second.map_changes.size() == 1);
  BOOST_TEST((sent.front().second.map_changes.front().version == ownership::MapVersion{3, 2}));
}

BOOST_FIXTURE_TEST_CASE(AnEndedLeaseIsNotTold, Coordinator) {
  membership.TakeActions();
  const Time later = kStart + absl::Milliseconds(2500);
  membership.OnMessage(kConnection, ReportOf(1, {2, 8}), later);
  const auto answers = TakeSent<Heartbeat>();
  BOOST_TEST(answers.front().second.lease_left_ms == 0);
  BOOST_TEST(answers.front().second.map.empty());
  // Nothing more is confirmed than when the lease was renewed last.
  BOOST_TEST((membership.map_confirmed_until() == kStart + kConfirmation));
  membership.OnTick(later);
  BOOST_TEST((membership.NextWake() > later));
}

BOOST_FIXTURE_TEST_CASE(ALeaseOfALaterEpochEndsThisOne, Coordinator) {
  membership.OnMessage(kConnection, MakeHeartbeat(4, 6, {}), kStart);
  BOOST_TEST(!membership.IsCoordinator(kStart));
  membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Seconds(3), kStart);
  BOOST_TEST(!membership.IsCoordinator(kStart));
}

BOOST_FIXTURE_TEST_CASE(AnUnknownSenderIsAskedForItsIdentity, Coordinator) {
  membership.TakeActions();
  Report report = ReportOf(9, {2, 9});
  report.sender = {.incarnation = 9, .name = {}, .zone = {}, .address = {}};
  membership.OnMessage(kConnection, report, kStart);
  BOOST_TEST(TakeSent<Heartbeat>().front().second.identity_wanted);
  membership.OnMessage(kConnection, ReportOf(9, {2, 9}), kStart);
  BOOST_TEST(!TakeSent<Heartbeat>().front().second.identity_wanted);
  membership.OnMessage(kConnection, report, kStart);
  BOOST_TEST(!TakeSent<Heartbeat>().front().second.identity_wanted);
}

BOOST_FIXTURE_TEST_CASE(AMemberIsSentWhatChangedInTheList, Coordinator) {
  const auto pushed = TakeSent<Heartbeat>();
  BOOST_TEST(pushed.front().second.members.empty());
  BOOST_TEST_REQUIRE(pushed.front().second.member_changes.size() == 1);
  BOOST_TEST(pushed.front().second.member_changes.front().base == 1);
  Report report = ReportOf(1, {2, 9});
  report.members_version = 1;
  membership.OnMessage(kConnection, report, kStart);
  BOOST_TEST(TakeSent<Heartbeat>().front().second.member_changes.size() == 1);
  report.members_version = 0;
  membership.OnMessage(kConnection, report, kStart);
  BOOST_TEST(TakeSent<Heartbeat>().front().second.members.size() == 3);
}

BOOST_FIXTURE_TEST_CASE(ReportedLoadsAreHandedOn, Coordinator) {
  Report report = ReportOf(1, {2, 9});
  report.loads = {LoadReport{}};
  membership.OnMessage(kConnection, report, kStart);
  BOOST_TEST(Take<ReportReceivedAction>().front().sender.incarnation == 1);
}

}  // namespace
}  // namespace ladderstream::membership
