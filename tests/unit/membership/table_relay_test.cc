#include "core/membership/table_relay.h"

#include <boost/test/unit_test.hpp>

#include "relay_world.h"

namespace ladderstream::membership {
namespace {

constexpr uint64_t kNodes = 12;
constexpr Duration kBound = absl::Seconds(2);

bool HoldsNew(const WorldNode& node) { return node.backends.rows().contains("new"); }

/// Changes both tables, so that no watch from the start is still outstanding.
void Settle(World* world) {
  world->store.Put("configuration", "config");
  world->store.Put("backends", "first");
  world->Run(absl::Seconds(1));
}

/// One node's copies of both tables, which have been read and are due to be watched.
struct WatchingRelay {
  WatchingRelay() {
    for (store::TableFollower* const follower : {&configuration, &backends}) {
      const auto read = follower->Poll(now);
      BOOST_TEST_REQUIRE(read.has_value());
      follower->OnReply(read->call, {store::StoreStatus::kDone, {}, false, 100, ""}, now);
    }
    now += absl::Seconds(1);
  }

  /// Sends the watches that are due, without answering them, and returns their calls.
  std::vector<uint64_t> Watch() {
    std::vector<uint64_t> sent;
    for (store::TableFollower* const follower : {&configuration, &backends}) {
      if (const auto call = follower->Poll(now)) {
        BOOST_TEST(std::holds_alternative<store::WatchQuery>(call->query));
        sent.push_back(call->call);
      }
    }
    return sent;
  }

  /// Of a call that was sent just now, at a version that the copies hold.
  store::StoreAnswer Answer() const { return {now, configuration.as_of(), /*wrote=*/false}; }

  Time now = absl::FromUnixSeconds(1000);
  store::TableFollower configuration{{.table = "configuration", .partition = ""}};
  store::TableFollower backends{{.table = "backends", .partition = ""}};
  TableRelay relay{{}, 1, &configuration, &backends};
};

BOOST_AUTO_TEST_CASE(OnlyCoordinatorAndStandbysCallTheStore) {
  World world(kNodes, {});
  Settle(&world);
  const std::vector<uint64_t> callers = world.Callers([&] {
    for (int change = 0; change < 10; ++change) {
      world.store.Put("backends", absl::StrCat("row-", change));
      world.store.Put("configuration", "config");
      const store::RowVersion changed = world.store.version();
      const auto holds = [&](const WorldNode& node) {
        return node.backends.rows().contains(absl::StrCat("row-", change)) &&
               node.configuration.as_of() >= changed;
      };
      BOOST_TEST(world.RunUntil(holds, kBound) < absl::Milliseconds(200));
      world.Run(absl::Milliseconds(500));
    }
    world.store.Remove("backends", "row-3");
    world.Run(absl::Milliseconds(200));
  });
  BOOST_TEST(callers.size() == 3);
  BOOST_TEST(callers.front() == World::kCoordinator);
  for (const auto& [number, node] : world.nodes) {
    BOOST_TEST(!node->backends.rows().contains("row-3"));
  }
}

// Guards against a new coordinator that relies on a lost watch. During a store outage of 3.7 s all
// nodes sent their own watches, which the store neither answered nor closed; a watch waits for 20
// s. A node that acquired the lease 0.04 s after the outage confirmed its copy from then on,
// although its watch was lost: a configuration change 4 s later reached all 87 nodes only when that
// watch timed out, at an age of 22.8 s.
BOOST_AUTO_TEST_CASE(NewLeaseHolderRestartsItsWatches) {
  WatchingRelay node;
  const std::vector<uint64_t> lost = node.Watch();
  node.now += absl::Seconds(2);
  node.relay.OnLeading(true, node.now);
  BOOST_TEST(node.Watch().size() == 2U);
  // A late reply to an old watch is not taken for the reply to the new one.
  node.backends.OnReply(lost.back(), {store::StoreStatus::kUnknown, {}, false, 0, ""}, node.now);
  BOOST_TEST(node.Watch().empty());
}

// The same with a lease that outlasts the outage: the holder's watches are lost with its other
// calls and would be waited for up to 6 s.
BOOST_AUTO_TEST_CASE(LeaseHolderRestartsWatchesAfterUnansweredCall) {
  WatchingRelay node;
  node.relay.OnLeading(true, node.now);
  node.Watch();
  node.now += absl::Seconds(1);
  node.relay.OnStoreAnswered(node.Answer(), node.now);
  BOOST_TEST(node.Watch().empty());
  node.relay.OnStoreUnanswered();
  BOOST_TEST(node.Watch().empty());
  node.relay.OnStoreAnswered(node.Answer(), node.now);
  BOOST_TEST(node.Watch().size() == 2U);
  // Where the store loses many answers, the watches are not restarted for each of them.
  node.relay.OnStoreUnanswered();
  node.relay.OnStoreAnswered(node.Answer(), node.now);
  BOOST_TEST(node.Watch().empty());
}

// Guards against a coordinator that confirms its copies to all nodes by the renewals of its lease
// while its watches are dead.
BOOST_AUTO_TEST_CASE(LeaseHolderConfirmsNoCopyThatLacksAChange) {
  WatchingRelay node;
  node.relay.OnLeading(true, node.now);
  node.Watch();
  const store::RowVersion held = node.configuration.as_of();
  node.now += absl::Seconds(1);
  node.relay.OnStoreAnswered({node.now, held + 1, /*wrote=*/true}, node.now);
  BOOST_TEST((node.backends.watched_until() == node.now));
  // Version held + 2 is somebody else's change, which no watch reports.
  const Time confirmed = node.now;
  node.now += absl::Seconds(1);
  node.relay.OnStoreAnswered({node.now, held + 3, /*wrote=*/true}, node.now);
  BOOST_TEST((node.backends.watched_until() == confirmed));
  node.relay.OnTick(node.now + absl::Milliseconds(200));
  BOOST_TEST(node.Watch().empty());
  node.now = node.relay.NextWake();
  BOOST_TEST((node.now <= confirmed + absl::Milliseconds(1500)));
  node.relay.OnTick(node.now);
  BOOST_TEST(node.relay.TakeMissedChange());
  BOOST_TEST(node.Watch().size() == 2U);
}

// Guards against watches that are sent anew though their reports only took a moment.
BOOST_AUTO_TEST_CASE(ChangeThatIsReportedAMomentLaterRestartsNoWatch) {
  WatchingRelay node;
  node.relay.OnLeading(true, node.now);
  const std::vector<uint64_t> watches = node.Watch();
  const store::RowVersion held = node.configuration.as_of();
  node.now += absl::Seconds(2);
  const Time answered = node.now;
  node.relay.OnStoreAnswered({node.now, held + 2, /*wrote=*/true}, node.now);
  node.now += absl::Milliseconds(20);
  const store::Row row{{"backends", "", "new"}, "value", held + 1, false};
  node.backends.OnReply(watches.back(), {store::StoreStatus::kDone, {row}, false, held + 1, ""},
                        node.now);
  node.relay.OnTick(node.now);
  BOOST_TEST((node.configuration.watched_until() == answered));
  BOOST_TEST((node.relay.NextWake() == absl::InfiniteFuture()));
  BOOST_TEST(!node.relay.TakeMissedChange());
}

// Guards against a wrong age of changes after a machine was suspended: it slept for 5 s with a
// watch outstanding, and the reply waiting in its connection was taken for one within 1 s of the
// change.
BOOST_AUTO_TEST_CASE(ReplyAfterSuspensionMayReportOldChanges) {
  WatchingRelay node;
  const Time sent_at = node.now;
  const std::vector<uint64_t> watches = node.Watch();
  node.now += absl::Seconds(7);
  node.relay.OnResumed();
  const store::Row row{{"backends", "", "new"}, "value", 101, false};
  node.backends.OnReply(watches.back(), {store::StoreStatus::kDone, {row}, false, 101, ""},
                        node.now);
  BOOST_TEST((node.backends.rows().at("new").changed_after <= sent_at));
}

BOOST_AUTO_TEST_CASE(NodeThatDoesNotCoordinateKeepsItsWatches) {
  WatchingRelay node;
  node.Watch();
  node.relay.OnStoreUnanswered();
  node.relay.OnStoreAnswered(node.Answer(), node.now);
  BOOST_TEST(node.Watch().empty());
}

BOOST_AUTO_TEST_CASE(EveryNodeWatchesWhenRelayIsDisabled) {
  World world(kNodes, {.enabled = false});
  const auto callers = world.Callers([&] { Settle(&world); });
  BOOST_TEST(callers.size() == kNodes);
}

BOOST_AUTO_TEST_CASE(CoordinatorCutFromTheStoreConfirmsNoCopies) {
  for (const uint32_t standbys : {0U, 2U}) {
    World world(kNodes, {.standbys = standbys});
    Settle(&world);
    world.coordinator().cut = true;
    world.store.Put("backends", "new");
    BOOST_TEST(world.RunUntil(HoldsNew, kBound, World::kCoordinator) < kBound);
  }
}

BOOST_AUTO_TEST_CASE(FrozenCoordinatorConfirmsNoCopies) {
  // Confirmations count for long here, so that only the missing heartbeats end the reliance.
  World world(kNodes, {.standbys = 0, .freshness = absl::Seconds(2)});
  Settle(&world);
  world.coordinator().frozen = true;
  world.store.Put("backends", "new");
  BOOST_TEST(world.RunUntil(HoldsNew, kBound, World::kCoordinator) < absl::Milliseconds(800));
  // Nor when it resumes: its copy is outdated then.
  world.Run(absl::Seconds(3));
  world.store.Put("backends", "newer");
  world.coordinator().frozen = false;
  const auto holds = [](const WorldNode& node) { return node.backends.rows().contains("newer"); };
  BOOST_TEST(world.RunUntil(holds, kBound, World::kCoordinator) < absl::Milliseconds(200));
}

BOOST_AUTO_TEST_CASE(StandbyRevealsDroppedWatchOfCoordinator) {
  World world(kNodes, {});
  Settle(&world);
  world.coordinator().watches_dropped = true;
  world.store.Put("backends", "new");
  BOOST_TEST(world.RunUntil(HoldsNew, kBound) < absl::Seconds(1));
}

BOOST_AUTO_TEST_CASE(NodeCutFromTheStoreReceivesEveryChange) {
  World world(kNodes, {});
  Settle(&world);
  world.nodes.at(7)->cut = true;
  world.store.Put("backends", "new");
  BOOST_TEST(world.RunUntil(HoldsNew, kBound) < absl::Milliseconds(500));
}

/// Node 2 follows the coordinator, node 1. Both have read the same tables; then changes are missed.
struct Pair {
  Pair() : coordinator(1), node(2) {
    for (Node* each : {&coordinator, &node}) {
      each->LoadTables({{"config", "r12", 40}}, {{"i-1", "ready", 50}}, 60, kStart);
    }
    from.OnLeading(true, kStart);
    Heartbeat first;
    from.AddToPush(kStart, &first);
  }
  /// Reports a change of the back ends to the coordinator's watch.
  void Change(const SharedRow& row, store::RowVersion version) {
    const auto watch = coordinator.backends.Poll(coordinator.backends.NextWake());
    coordinator.backends.OnReply(watch->call, StoreAnswer("backends", {row}, version), kStart);
  }
  /// Reports that the history is gone and answers the coordinator's reread of the back ends.
  void Reread(const std::vector<SharedRow>& rows, store::RowVersion version) {
    store::TableFollower& table = coordinator.backends;
    const auto watch = table.Poll(table.NextWake());
    store::StoreReply gone;
    gone.status = store::StoreStatus::kHistoryGone;
    table.OnReply(watch->call, gone, kStart);
    const auto read = table.Poll(kStart);
    BOOST_REQUIRE(std::holds_alternative<store::ReadQuery>(read->query));
    table.OnReply(read->call, StoreAnswer("backends", rows, version), kStart);
  }
  Heartbeat Push(Time now = kStart) {
    Heartbeat heartbeat;
    heartbeat.sender = 1;
    from.AddToPush(now, &heartbeat);
    return heartbeat;
  }
  void Receive(const Heartbeat& heartbeat, Time now = kStart) {
    to.TakeRows(heartbeat, now);
    to.OnCoordinatorHeartbeat(heartbeat, now, false, now);
  }

  Node coordinator;
  Node node;
  TableRelay from{{}, 1, &coordinator.configuration, &coordinator.backends};
  TableRelay to{{.standbys = 0}, 2, &node.configuration, &node.backends};
};

BOOST_AUTO_TEST_CASE(PushSuspendsWatchButDoesNotAdvanceConfirmation) {
  // A slow coordinator's pushes arrived a quarter of a second after they were created. Because they
  // counted from their arrival, requests reached an owner 2.045 s after it had left; 2 s are
  // allowed.
  Pair pair;
  const Time later = kStart + absl::Milliseconds(300);
  pair.coordinator.backends.Poll(pair.coordinator.backends.NextWake());
  pair.coordinator.backends.OnStoreAnswered(later);
  pair.Receive(pair.Push(later), later);
  BOOST_TEST(pair.node.backends.Suspended(later));
  BOOST_TEST((pair.node.backends.last_confirmed() == kStart));
  // An answer was created after its report was sent.
  pair.to.OnCoordinatorHeartbeat(pair.Push(later), later, /*answers=*/true, later);
  BOOST_TEST((pair.node.backends.last_confirmed() > kStart));
}

BOOST_AUTO_TEST_CASE(MissedPushEndsSuspensionOfItsTableOnly) {
  Pair pair;
  pair.Receive(pair.Push());
  BOOST_TEST(pair.node.backends.Suspended(kStart));
  pair.Change({"i-2", "ready", 70}, 70);
  pair.Push();
  pair.Change({"i-3", "ready", 80}, 80);
  pair.Receive(pair.Push());
  BOOST_TEST(!pair.node.backends.Suspended(kStart));
  BOOST_TEST(!pair.node.backends.rows().contains("i-3"));
  BOOST_TEST(pair.node.configuration.Suspended(kStart));
  // The answer to its next report contains what it lacks.
  Report report;
  report.configuration_version = 40;
  report.backends_version = 60;
  Heartbeat answer;
  answer.sender = 1;
  pair.from.AddToAnswer(report, kStart, &answer);
  pair.Receive(answer);
  BOOST_TEST(pair.node.backends.rows().size() == 3);
  BOOST_TEST(pair.node.backends.Suspended(kStart));
}

BOOST_AUTO_TEST_CASE(OldConfirmationEndsSuspension) {
  Pair pair;
  const Time early = kStart + absl::Milliseconds(1300);
  pair.Receive(pair.Push(early), early);
  BOOST_TEST(pair.node.backends.Suspended(early + absl::Milliseconds(199)));
  BOOST_TEST(!pair.node.backends.Suspended(early + absl::Milliseconds(200)));
  const Time late = kStart + absl::Milliseconds(1500);
  pair.node.backends.Suspend(late + absl::Seconds(1), kStart);
  pair.Receive(pair.Push(late), late);
  BOOST_TEST(!pair.node.backends.Suspended(late));
}

BOOST_AUTO_TEST_CASE(AnswerConfirmsFromSendTimeOfReport) {
  Pair pair;
  const Heartbeat heartbeat = pair.Push();
  pair.to.OnCoordinatorHeartbeat(heartbeat, kStart - absl::Milliseconds(400), true, kStart);
  BOOST_TEST(pair.node.backends.Suspended(kStart + absl::Milliseconds(299)));
  BOOST_TEST(!pair.node.backends.Suspended(kStart + absl::Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(SlowAnswerConfirmsForLess) {
  Pair pair;
  Membership& membership = pair.node.membership;
  membership.OnHolderKnown(MakeLease(3, 1), kStart);
  membership.SendReport({}, {}, kStart);
  Heartbeat answer = pair.Push();
  answer.lease = MakeLease(3, 1);
  answer.lease_left_ms = 2000;
  answer.answered_report = pair.node.TakeSent<Report>().front().second.sequence;
  membership.OnMessage(1, answer, kStart + absl::Milliseconds(600));
  BOOST_TEST(pair.node.backends.Suspended(kStart + absl::Milliseconds(699)));
  BOOST_TEST(!pair.node.backends.Suspended(kStart + absl::Milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(NewCoordinatorWatchesImmediately) {
  Pair pair;
  Node& node = pair.node;
  pair.Receive(pair.Push());
  BOOST_TEST(!node.backends.Poll(kStart).has_value());
  node.membership.OnLeaseHeld(MakeLease(4, 2), kStart + absl::Seconds(2), kStart);
  const auto watch = node.backends.Poll(kStart);
  BOOST_REQUIRE(watch.has_value());
  BOOST_TEST((std::get<store::WatchQuery>(watch->query).wait == absl::Seconds(20)));
  BOOST_TEST((node.configuration.settings().watch_wait == absl::Seconds(20)));
  node.membership.OnLeaseLost(kStart);
  BOOST_TEST((node.configuration.settings().watch_wait == absl::Milliseconds(1500)));
  BOOST_TEST((node.backends.settings().watch_wait == absl::Seconds(20)));
}

BOOST_AUTO_TEST_CASE(KeepAlivesConfirmCopies) {
  Pair pair;
  Membership& membership = pair.coordinator.membership;
  membership.OnLeaseHeld(MakeLease(3, 1), kStart + absl::Minutes(1), kStart);
  for (uint64_t number = 10; number < 310; ++number) {
    Report report;
    report.sender = MakeIdentity(number);
    membership.OnMessage(number, report, kStart + absl::Seconds(1));
  }
  membership.OnTick(kStart + absl::Seconds(4));
  membership.TakeActions();
  membership.OnTick(kStart + absl::Milliseconds(4450));
  const auto keep_alives = pair.coordinator.TakeSent<Heartbeat>();
  BOOST_REQUIRE(keep_alives.size() == 1);
  BOOST_TEST(keep_alives.front().second.tables.size() == 2);
}

/// Guards against nodes that choose themselves as standbys: at the start of 295 nodes, while the
/// list of members was short, all did so and sent 3,768 watches in five seconds.
BOOST_AUTO_TEST_CASE(OnlyNodesNamedByCoordinatorAreStandbys) {
  Pair pair;
  Heartbeat heartbeat = pair.Push();
  std::vector<uint64_t> others;
  for (uint64_t number = 2; number <= kNodes; ++number) {
    others.push_back(number);
  }
  heartbeat.standbys = pair.from.ChooseStandbys(others);
  BOOST_TEST(heartbeat.standbys.size() == 2);
  uint32_t standbys = 0;
  for (uint64_t number = 2; number <= kNodes; ++number) {
    Node node(number);
    node.LoadTables({{"config", "r12", 40}}, {{"i-1", "ready", 50}}, 60, kStart);
    TableRelay relay({}, number, &node.configuration, &node.backends);
    relay.OnCoordinatorHeartbeat(heartbeat, kStart, false, kStart);
    standbys += node.backends.Suspended(kStart) ? 0 : 1;
  }
  BOOST_TEST(standbys == 2);
  BOOST_TEST((pair.from.ChooseStandbys({7}) == std::vector<uint64_t>{7}));
  BOOST_TEST(pair.from.ChooseStandbys({}).empty());
}

// Guards against calls to the store by nodes that know of changes from another source.
BOOST_AUTO_TEST_CASE(StandbyHoldsLongWatchesOnlyWhileHeartbeatsArrive) {
  Pair pair;
  Heartbeat heartbeat = pair.Push();
  heartbeat.standbys = {2};
  pair.Receive(heartbeat);
  const auto held = pair.node.configuration.Poll(kStart);
  BOOST_TEST_REQUIRE(held.has_value());
  BOOST_TEST((std::get<store::WatchQuery>(held->query).wait == absl::Seconds(20)));
  pair.to.OnTick(kStart + absl::Milliseconds(1400));
  BOOST_TEST(!pair.node.configuration.Poll(kStart + absl::Milliseconds(1400)).has_value());
  pair.to.OnTick(kStart + absl::Milliseconds(1600));
  // The watch may be as dead as the connection to the coordinator.
  BOOST_TEST(pair.node.configuration.Poll(kStart + absl::Milliseconds(1600)).has_value());
  BOOST_TEST((pair.node.configuration.settings().watch_wait == absl::Milliseconds(1500)));
}

/// When the store loses its history, the coordinator rereads the table and derives the removals
/// from its previous copy. Otherwise all 295 nodes would reread it: 2,000 calls in two seconds.
BOOST_AUTO_TEST_CASE(RereadByCoordinatorKeepsOtherNodesSuspended) {
  Pair pair;
  pair.Change({"i-2", "ready", 70}, 70);
  pair.Receive(pair.Push());
  pair.Reread({{"i-2", "draining", 85}}, 90);
  pair.Receive(pair.Push());
  BOOST_TEST(pair.node.backends.Suspended(kStart));
  BOOST_TEST(!pair.node.backends.rows().contains("i-1"));
  BOOST_TEST(pair.node.backends.rows().at("i-2").value == "draining");
}

/// Guards against computing changes from a version inside the gap, which terminated the node.
BOOST_AUTO_TEST_CASE(ChangesAfterRereadAreSentFromItsEnd) {
  Pair pair;
  pair.Reread({{"i-1", "ready", 50}, {"i-2", "ready", 85}}, 90);
  pair.Receive(pair.Push());
  BOOST_TEST(pair.node.backends.rows().contains("i-2"));
  pair.Receive(pair.Push());
  BOOST_TEST(pair.node.backends.Suspended(kStart));
  Report report;
  report.configuration_version = 40;
  report.backends_version = 85;
  Heartbeat answer;
  pair.from.AddToAnswer(report, kStart, &answer);
  BOOST_REQUIRE(answer.tables.size() == 2);
  BOOST_TEST(answer.tables.back().base == 90U);
}

/// The copy holds a row that was added and removed while the coordinator did not watch.
BOOST_AUTO_TEST_CASE(CopyInsideTheGapIsNotConfirmed) {
  Pair pair;
  pair.Receive(pair.Push());
  pair.Reread({{"i-1", "ready", 50}}, 90);
  pair.node.backends.Resume();
  const auto own = pair.node.backends.Poll(pair.node.backends.NextWake());
  pair.node.backends.OnReply(own->call, StoreAnswer("backends", {{"i-3", "ready", 75}}, 75),
                             kStart);
  pair.Receive(pair.Push());
  BOOST_TEST(pair.node.backends.rows().contains("i-3"));
  BOOST_TEST(!pair.node.backends.Suspended(kStart));
}

}  // namespace
}  // namespace ladderstream::membership
