#include <boost/test/unit_test.hpp>
#include <set>

#include "node_fixture.h"

namespace ladderstream::membership {
namespace {

constexpr uint64_t kConnection = 5;

/// Refuses every store call of the node's followers up to `until`.
void RefuseUntil(Node& node, Time from, Time until) {
  store::StoreReply refused;
  refused.status = store::StoreStatus::kRefused;
  for (Time now = from; now <= until; now += absl::Milliseconds(10)) {
    for (store::TableFollower* follower : {&node.configuration, &node.backends}) {
      if (const auto call = follower->Poll(now)) {
        follower->OnReply(call->call, refused, now);
      }
    }
  }
}

Heartbeat MemberList(std::initializer_list<uint64_t> numbers) {
  Heartbeat heartbeat;
  heartbeat.sender = *numbers.begin();
  heartbeat.lease = MakeLease(1, heartbeat.sender);
  heartbeat.lease_left_ms = 2000;
  heartbeat.members_version = 1;
  for (const uint64_t number : numbers) {
    heartbeat.members.push_back(MakeIdentity(number));
  }
  return heartbeat;
}

BOOST_AUTO_TEST_CASE(NodeRejectedByTheStoreFetchesRowsFromAnotherNode) {
  Node requester(1);
  Node helper(2);
  helper.LoadTables({{"config", "r12", 40}}, {{"i-1", "ready", 50}}, 60, kStart);
  RefuseUntil(requester, kStart, kStart + absl::Milliseconds(299));
  requester.membership.OnTick(kStart + absl::Milliseconds(299));
  BOOST_TEST(requester.TakeSent<SnapshotRequest>().empty());

  const Time later = kStart + absl::Milliseconds(301);
  RefuseUntil(requester, later, later);
  requester.membership.OnTick(later);
  const auto requests = requester.TakeSent<SnapshotRequest>();
  BOOST_REQUIRE(requests.size() == 1);
  BOOST_TEST((requests.front().first == std::vector<Destination>{{kSeed, 0}}));
  helper.membership.OnMessage(kConnection, requests.front().second, later);
  const auto answers = helper.TakeSent<Snapshot>();
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_TEST(answers.front().first.front().connection == kConnection);
  BOOST_TEST(answers.front().second.age_ms == 301);

  requester.membership.OnMessage(kConnection, answers.front().second, later);
  BOOST_TEST(requester.Take<TablesMergedAction>().size() == 1);
  BOOST_TEST(requester.configuration.rows().at("config").value == "r12");
  BOOST_TEST(requester.backends.rows().at("i-1").version == 50);
  BOOST_TEST((requester.backends.last_confirmed() == kStart));
  BOOST_TEST(requester.backends.RecentlyFailed(later));
}

BOOST_AUTO_TEST_CASE(LateSnapshotConfirmsFromSendTimeOfItsRequest) {
  // The table may have changed while the answer was in transit.
  Node requester(1);
  Node helper(2);
  helper.LoadTables({{"config", "r12", 40}}, {{"i-1", "ready", 50}}, 60, kStart);
  const Time sent_at = kStart + absl::Milliseconds(301);
  RefuseUntil(requester, kStart, sent_at);
  requester.membership.OnTick(sent_at);
  const auto requests = requester.TakeSent<SnapshotRequest>();
  BOOST_REQUIRE(requests.size() == 1);
  helper.membership.OnMessage(kConnection, requests.front().second, sent_at);
  const Snapshot answer = helper.TakeSent<Snapshot>().front().second;
  requester.membership.OnMessage(kConnection, answer, sent_at + absl::Seconds(2));
  BOOST_TEST((requester.backends.last_confirmed() == kStart));
  // This snapshot answers no request, so its creation time is unknown.
  Snapshot unsolicited = answer;
  unsolicited.backends_version = 70;
  unsolicited.age_ms = 0;
  requester.membership.OnMessage(kConnection, unsolicited, sent_at + absl::Seconds(3));
  BOOST_TEST(requester.backends.as_of() == 70);
  BOOST_TEST((requester.backends.last_confirmed() == kStart));
}

BOOST_AUTO_TEST_CASE(SnapshotRequestsAreSpreadOverMembers) {
  Node requester(1);
  requester.membership.OnMessage(kConnection, MemberList({2, 3, 4}), kStart);
  std::set<std::string> requested_hosts;
  Time last = absl::InfinitePast();
  for (Time now = kStart; now < kStart + absl::Seconds(2); now += absl::Milliseconds(10)) {
    RefuseUntil(requester, now, now);
    requester.membership.OnTick(now);
    for (const auto& [to, request] : requester.TakeSent<SnapshotRequest>()) {
      BOOST_TEST(now - last >= absl::Milliseconds(250));
      last = now;
      requested_hosts.insert(to.front().address.host);
    }
  }
  BOOST_TEST(
      requested_hosts == (std::set<std::string>{"10.0.0.2", "10.0.0.3", "10.0.0.4", kSeed.host}),
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(SnapshotIsEmptyWhenNothingIsNewer) {
  Node helper(2);
  helper.LoadTables({{"config", "r12", 40}}, {{"i-1", "ready", 50}}, 60, kStart);
  helper.membership.OnMessage(kConnection, SnapshotRequest{60, 50}, kStart);
  const auto answers = helper.TakeSent<Snapshot>();
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_TEST(answers.front().second.configuration.empty());
  BOOST_TEST(answers.front().second.backends.empty());
  BOOST_TEST(answers.front().second.configuration_version == 60);
}

BOOST_AUTO_TEST_CASE(OlderSnapshotIsIgnored) {
  Node node(1);
  node.LoadTables({{"config", "r12", 40}}, {{"i-1", "ready", 50}}, 60, kStart);
  Snapshot older;
  older.configuration_version = 39;
  older.configuration = {{"config", "r11", 39}};
  older.backends_version = 49;
  node.membership.OnMessage(kConnection, older, kStart);
  BOOST_TEST(node.configuration.rows().at("config").value == "r12");
  BOOST_TEST(node.backends.rows().contains("i-1"));
  BOOST_TEST(node.Take<TablesMergedAction>().empty());
}

BOOST_AUTO_TEST_CASE(MissedChangeIsFetchedFromNodeThatKnowsIt) {
  Node node(1);
  node.LoadTables({{"config", "r12", 40}}, {}, 60, kStart);
  node.configuration.Poll(kStart);  // the watch from 60 stays unanswered
  Heartbeat heartbeat = MemberList({2, 3});
  heartbeat.configuration_version = 70;
  node.membership.OnMessage(kConnection, heartbeat, kStart);
  node.membership.OnTick(kStart + absl::Milliseconds(149));
  BOOST_TEST(node.TakeSent<SnapshotRequest>().empty());
  const Time due = kStart + absl::Milliseconds(150);
  BOOST_TEST((node.membership.NextWake() <= due));
  node.membership.OnTick(due);
  const auto requests = node.TakeSent<SnapshotRequest>();
  BOOST_REQUIRE(requests.size() == 1);
  BOOST_TEST(requests.front().first.front().connection == kConnection);
  BOOST_TEST((node.configuration.NextWake() == kStart + absl::Seconds(1)));

  Snapshot answer;
  answer.configuration_version = 70;
  answer.configuration = {{"config", "r13", 70}};
  node.membership.OnMessage(kConnection, answer, due);
  node.membership.OnTick(due + absl::Seconds(1));
  BOOST_TEST(node.TakeSent<SnapshotRequest>().empty());
}

BOOST_AUTO_TEST_CASE(ChangeDeliveredByOwnWatchIsNotRequested) {
  Node node(1);
  node.LoadTables({{"config", "r12", 40}}, {}, 60, kStart);
  const auto watch = node.configuration.Poll(kStart);
  Heartbeat heartbeat = MemberList({2, 3});
  heartbeat.configuration_version = 70;
  node.membership.OnMessage(kConnection, heartbeat, kStart);
  node.configuration.OnReply(watch->call, StoreAnswer("configuration", {{"config", "r13", 70}}, 70),
                             kStart);
  node.membership.OnTick(kStart + absl::Milliseconds(500));
  BOOST_TEST(node.TakeSent<SnapshotRequest>().empty());
}

}  // namespace
}  // namespace ladderstream::membership
