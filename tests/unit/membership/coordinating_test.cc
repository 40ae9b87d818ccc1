// Tests of a coordinating node: its pushes and its answers to reports.
#include <boost/test/unit_test.hpp>
#include <set>

#include "membership_fixture.h"

namespace ladderstream::membership {
namespace {

// The nodes that may send to a cold back end are drawn from the list; a node without one may not.
BOOST_AUTO_TEST_CASE(SingleNodePublishesItsMemberListWhenItBecomesCoordinator) {
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

BOOST_FIXTURE_TEST_CASE(AnsweredReportConfirmsMemberList, Follower) {
  Heartbeat list = MakeHeartbeat(3, 2, {3, 1});
  list.members = {MakeIdentity(1), MakeIdentity(2)};
  list.members_version = 5;
  const uint64_t sequence = SendReport(kStart + absl::Seconds(1));
  Answer(sequence, list, kStart + absl::Milliseconds(1500));
  const auto confirmed = Take<MembersConfirmedAction>();
  BOOST_REQUIRE(confirmed.size() == 1);
  // Counted from the send of the report, less the margin.
  BOOST_TEST((confirmed.front().until == kStart + absl::Milliseconds(2900)));
  // A push confirms nothing because its age is not known.
  Answer(0, list, kStart + absl::Milliseconds(1600));
  BOOST_TEST(Take<MembersConfirmedAction>().empty());
}

/// While a lease that is no longer renewed runs out, another node may coordinate with another list.
BOOST_AUTO_TEST_CASE(LastPartOfLeaseConfirmsNoMemberList) {
  Follower follower(absl::Seconds(4));
  Heartbeat list = MakeHeartbeat(3, 2, {3, 1});
  list.members = {MakeIdentity(1), MakeIdentity(2)};
  list.members_version = 5;
  list.lease_left_ms = 4000;
  follower.Answer(follower.SendReport(kStart), list, kStart + absl::Milliseconds(100));
  BOOST_TEST(follower.Take<MembersConfirmedAction>().empty());
  list.lease_left_ms = 4001;
  const Time later = kStart + absl::Seconds(1);
  follower.Answer(follower.SendReport(later), list, later + absl::Milliseconds(100));
  BOOST_TEST(follower.Take<MembersConfirmedAction>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(SuccessorNotifiesAllMembersImmediately, Coordinator) {
  const auto pushed = TakeSent<Heartbeat>();
  BOOST_REQUIRE(pushed.size() == 1);
  BOOST_TEST(pushed.front().first.size() == 2);
  BOOST_TEST(pushed.front().second.lease.epoch == 3);
  BOOST_TEST(pushed.front().second.lease_left_ms == 2500);
  membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Seconds(3), kStart + absl::Seconds(1));
  BOOST_TEST(TakeSent<Heartbeat>().empty());
}

BOOST_FIXTURE_TEST_CASE(ReportIsAnsweredWithMapOnlyWhenOutdated, Coordinator) {
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

/// After a start of the entire fleet all nodes lack the map at once. Encoding it for each of 300
/// reports cost the coordinator its lease.
BOOST_FIXTURE_TEST_CASE(FullMapIsEncodedOnceForConcurrentReports, Coordinator) {
  membership.TakeActions();
  const Time asked = kStart + absl::Seconds(1);
  constexpr uint64_t kNodes = 40;
  for (uint64_t number = 10; number < 10 + kNodes; ++number) {
    membership.OnMessage(number, ReportOf(number, {}), asked);
  }
  size_t full_maps = 0;
  for (const auto& [to, answer] : TakeSent<Heartbeat>()) {
    BOOST_TEST(answer.answered_report == 41);
    full_maps += answer.map.size();
  }
  BOOST_TEST(full_maps == 1U);
  membership.OnTick(asked + absl::Milliseconds(50));
  auto sent = TakeSent<Heartbeat>();
  std::erase_if(sent, [](const auto& heartbeat) { return heartbeat.second.map.empty(); });
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_TEST(sent.front().first.size() == kNodes - 1);
  BOOST_TEST(sent.front().second.map.size() == 1);
  BOOST_TEST(!sent.front().second.members.empty());
  BOOST_TEST(sent.front().second.answered_report == 0);
}

BOOST_FIXTURE_TEST_CASE(ChangedMapIsPushedImmediatelyThenRateLimited, Coordinator) {
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

BOOST_FIXTURE_TEST_CASE(KeepAlivesAreSentBetweenInfrequentReports, Coordinator) {
  membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Minutes(1), kStart);
  for (uint64_t number = 10; number < 310; ++number) {
    membership.OnMessage(number, ReportOf(number, {2, 9}), kStart + absl::Seconds(1));
  }
  // Nodes that lack the list receive it together.
  membership.OnTick(kStart + absl::Milliseconds(1100));
  membership.TakeActions();
  membership.OnTick(kStart + absl::Milliseconds(1500));
  BOOST_TEST(TakeSent<Heartbeat>().empty());  // the published list still has three nodes
  const Time published = kStart + absl::Seconds(4);
  membership.OnTick(published);
  BOOST_TEST(Take<MembersChangedAction>().front().count == 301);
  for (int keep_alive = 1; keep_alive <= 2; ++keep_alive) {
    membership.OnTick(published + absl::Milliseconds(450) * keep_alive);
    const auto pushed = TakeSent<Heartbeat>();
    BOOST_REQUIRE(pushed.size() == 1);
    BOOST_TEST(pushed.front().first.size() == 300);
    BOOST_TEST(pushed.front().second.map.empty());
  }
}

BOOST_FIXTURE_TEST_CASE(KeepAliveCarriesMapWaitingForPush, Coordinator) {
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

BOOST_FIXTURE_TEST_CASE(EndedLeaseIsNotReported, Coordinator) {
  membership.TakeActions();
  const Time later = kStart + absl::Milliseconds(2500);
  membership.OnMessage(kConnection, ReportOf(1, {2, 8}), later);
  const auto answers = TakeSent<Heartbeat>();
  BOOST_TEST(answers.front().second.lease_left_ms == 0);
  BOOST_TEST(answers.front().second.map.empty());
  // The same limit as on nodes whose map it confirmed at the end of its lease.
  BOOST_TEST((membership.map_confirmed_until() == later + kConfirmation));
  membership.OnTick(later);
  BOOST_TEST((membership.NextWake() > later));
}

BOOST_FIXTURE_TEST_CASE(LeaseOfLaterEpochEndsThisOne, Coordinator) {
  membership.OnMessage(kConnection, MakeHeartbeat(4, 6, {}), kStart);
  BOOST_TEST(!membership.IsCoordinator(kStart));
  membership.OnLeaseHeld(MakeLease(3, 2), kStart + absl::Seconds(3), kStart);
  BOOST_TEST(!membership.IsCoordinator(kStart));
}

BOOST_FIXTURE_TEST_CASE(UnknownSenderIsAskedForItsIdentity, Coordinator) {
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

BOOST_FIXTURE_TEST_CASE(MemberReceivesChangesToTheList, Coordinator) {
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

BOOST_FIXTURE_TEST_CASE(ReportedLoadsAreForwarded, Coordinator) {
  Report report = ReportOf(1, {2, 9});
  report.loads = {LoadReport{}};
  membership.OnMessage(kConnection, report, kStart);
  BOOST_TEST(Take<ReportReceivedAction>().front().sender.incarnation == 1);
}

}  // namespace
}  // namespace ladderstream::membership
