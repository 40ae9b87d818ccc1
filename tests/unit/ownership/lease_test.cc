// Tests of the lease: row encoding, the chain of writes, challenges, and the orders of a holder.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "coordinator_harness.h"
#include "core/ownership/belief_events.h"
#include "core/ownership/holder_watch.h"
#include "core/ownership/lease_chain.h"
#include "core/ownership/ownership_rows.h"
#include "wire/result_code.h"

namespace ladderstream::ownership {
namespace {

const Time kStart = absl::UnixEpoch();
const NodeIdentity kSelf{7, "node", {"node", 7}};

BOOST_AUTO_TEST_CASE(ServiceRowsSurviveEncoding) {
  ServiceRow row;
  row.assignments = {{{0, 9}, "a", 1000001}, {{10, 99}, "", 0}, {{100, kLastKey}, "a", 2000001}};
  row.addresses["a"] = {"host", 80};
  const ServiceRow decoded = DecodeServiceRow(EncodeServiceRow(row));
  BOOST_TEST((decoded.assignments == row.assignments));
  BOOST_TEST((decoded.addresses == row.addresses));
}

BOOST_AUTO_TEST_CASE(ServiceRowsWithMissingKeysAreMalformed) {
  ServiceRow row;
  row.assignments = {{{5, kLastKey}, "a", 1}};
  BOOST_CHECK_THROW(DecodeServiceRow(EncodeServiceRow(row)), Error);
  BOOST_CHECK_THROW(DecodeLeaseRow("?"), Error);
}

BOOST_AUTO_TEST_CASE(LeaseStartsAtTheSendOfTheConfirmedWrite) {
  ModelStore store;
  const CoordinatorSettings settings;
  LeaseChain chain(settings, kSelf);
  chain.Restart(0, {});
  const store::StoreReply reply = store.Apply(chain.Begin(1, 1, {}, {}, kStart));
  BOOST_TEST(!chain.Valid(kStart));
  BOOST_TEST((chain.OnReply(1, reply).kind == ChainOutcome::Kind::kApplied));
  BOOST_TEST(chain.Valid(kStart + settings.lease - absl::Milliseconds(1)));
  BOOST_TEST(!chain.Valid(kStart + settings.lease));
}

// A holder that was suspended until its lease expired must send no orders, whichever event reaches
// it first after it resumes.
BOOST_AUTO_TEST_CASE(SuspendedHolderSendsNoOrdersAfterItsLeaseExpired) {
  enum class First { kTick, kStoreReply, kOrderReply, kLoad, kCatalog };
  for (const First first :
       {First::kTick, First::kStoreReply, First::kOrderReply, First::kLoad, First::kCatalog}) {
    ModelStore store;
    Harness node(&store, 1, 1, kStart);
    node.Settle({"a", "b"});
    node.store_answers = false;
    node.unresponsive = {"a", "b"};
    node.Run(node.settings.lease_renewal + node.settings.hold_renewal);
    const At<CommitAction> commit = node.commits.back();
    const At<GrantAction> grant = node.grants.back();
    const store::StoreReply reply = store.Apply(commit.sent.transaction);
    node.now += node.settings.lease + absl::Seconds(1);
    const Time resumed = node.now;
    switch (first) {
      case First::kTick:
        node.coordinator.OnTick(node.now);
        break;
      case First::kStoreReply:
        node.coordinator.OnStoreReply(commit.sent.call, reply, node.now);
        break;
      case First::kOrderReply:
        node.coordinator.OnOrderReply(grant.sent.call, {OrderStatus::kDone, ""}, node.now);
        break;
      case First::kLoad:
        node.coordinator.OnLoad(Harness::kService, {{7, 1000.0}}, {}, node.now);
        break;
      case First::kCatalog:
        node.Register({"a"});
        break;
    }
    node.Drain();
    BOOST_TEST(!node.coordinator.Holds(node.now));
    BOOST_TEST(node.GrantsSince(resumed).empty());
    const bool released =
        std::any_of(node.releases.begin(), node.releases.end(),
                    [resumed](const auto& release) { return release.at >= resumed; });
    BOOST_TEST(!released);
  }
}

// The machine may be suspended between the decision to grant and the send of the first byte.
BOOST_AUTO_TEST_CASE(GrantsCarryTheLatestTimeToSendThem) {
  ModelStore store;
  Harness node(&store, 1, 1, kStart);
  node.Settle({"a"});
  for (const At<GrantAction>& grant : node.grants) {
    BOOST_TEST((grant.sent.send_by > grant.at));
    BOOST_TEST((grant.sent.send_by <= grant.at + node.settings.lease));
  }
}

BOOST_AUTO_TEST_CASE(SlowStoreAnswersDoNotExtendTheLease) {
  ModelStore store;
  CoordinatorSettings settings;
  settings.store_timeout = absl::Seconds(10);
  Harness node(&store, 1, 1, kStart, settings);
  node.Settle({"a"});
  node.store_answers = false;
  node.Run(settings.lease_renewal);
  const At<CommitAction> slow = node.commits.back();
  const store::StoreReply reply = store.Apply(slow.sent.transaction);
  node.Run(absl::Milliseconds(2000) - (node.now - slow.at));
  node.coordinator.OnStoreReply(slow.sent.call, reply, node.now);
  BOOST_TEST(node.coordinator.Holds(slow.at + settings.lease - absl::Milliseconds(1)));
  BOOST_TEST(!node.coordinator.Holds(slow.at + settings.lease));
}

BOOST_AUTO_TEST_CASE(ConflictShowsWhichUnansweredWriteWasApplied) {
  ModelStore store;
  LeaseChain chain({}, kSelf);
  chain.Restart(0, {});
  const store::Transaction first = chain.Begin(1, 1, {}, {{"s", {0, 1}, "a", 5}}, kStart);
  store.Apply(first);
  chain.MarkTimedOut(kStart + absl::Seconds(1));
  const store::Transaction second = chain.Begin(2, 1, {}, {}, kStart + absl::Seconds(1));
  const ChainOutcome outcome = chain.OnReply(2, store.Apply(second));
  BOOST_TEST((outcome.kind == ChainOutcome::Kind::kApplied));
  BOOST_TEST(outcome.attempt.changes.size() == 1U);
  BOOST_TEST((chain.confirmed_sent() == kStart));
}

BOOST_AUTO_TEST_CASE(LateWritesFailAfterAnotherWasApplied) {
  ModelStore store;
  LeaseChain chain({}, kSelf);
  chain.Restart(0, {});
  const store::Transaction late = chain.Begin(1, 1, {}, {}, kStart);
  chain.MarkTimedOut(kStart + absl::Seconds(1));
  chain.OnReply(2, store.Apply(chain.Begin(2, 1, {}, {}, kStart + absl::Seconds(1))));
  BOOST_TEST((store.Apply(late).status == store::StoreStatus::kConflict));
}

BOOST_AUTO_TEST_CASE(OnlyAnUnchangedLeaseRowIsChallenged) {
  HolderWatch watch({}, kSelf);
  const LeaseRow other{3, 8, 1, {"node", 8}};
  BOOST_TEST(!watch.OnRow(other, 40, kStart));
  BOOST_TEST((watch.ReadDue() >= kStart + absl::Seconds(1)));
  BOOST_TEST(!watch.OnRow(other, 41, kStart + absl::Milliseconds(1100)));
  BOOST_TEST(watch.OnRow(other, 41, kStart + absl::Milliseconds(2100)));
}

BOOST_AUTO_TEST_CASE(EndedHoldersAndPredecessorsOnThisMachineAreChallengedAtOnce) {
  HolderWatch watch({}, kSelf);
  BOOST_TEST(watch.OnRow(LeaseRow{3, 8, 1, kSelf.peer_address}, 40, kStart));
  const LeaseRow other{3, 9, 1, {"node", 9}};
  BOOST_TEST(!watch.OnRow(other, 40, kStart));
  watch.OnEnded(9, kStart);
  BOOST_TEST((watch.ReadDue() <= kStart + absl::Milliseconds(100)));
  BOOST_TEST(watch.OnRow(other, 41, kStart));
}

BOOST_AUTO_TEST_CASE(LaterHeartbeatsDisproveAReportedEnd) {
  HolderWatch watch({}, kSelf);
  const LeaseView view{3, 9, {"node", 9}, 40};
  watch.OnHeartbeat(view, kStart);
  watch.OnEnded(9, kStart);
  BOOST_TEST((watch.OnHeartbeat(view, kStart) == HolderWatch::Heartbeat::kIgnored));
  const Time later = kStart + absl::Seconds(1);
  BOOST_TEST((watch.OnHeartbeat(view, later) == HolderWatch::Heartbeat::kOfKnownHolder));
  BOOST_TEST((watch.ReadDue() >= later + absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(StandbysDoNotChallengeWhileHeartbeatsArrive) {
  ModelStore store;
  Harness holder(&store, 1, 1, kStart);
  holder.Settle({"a"});
  Harness standby(&store, 2, 2, holder.now);
  standby.Register({"a"});
  for (int i = 0; i < 20; ++i) {
    standby.coordinator.OnHeartbeat(holder.coordinator.View(), standby.now);
    holder.Run(absl::Milliseconds(500));
    standby.Run(absl::Milliseconds(500));
  }
  BOOST_TEST(standby.commits.empty());
  const Time unresponsive_since = standby.now;
  standby.Run(absl::Milliseconds(1500));
  BOOST_TEST(standby.coordinator.Holds(standby.now));
  BOOST_TEST((standby.commits.front().at >= unresponsive_since + absl::Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(SuccessorsRenewCommittedOwnersAtOnceUnderTheirFences) {
  ModelStore store;
  Harness first(&store, 1, 1, kStart);
  first.Settle({"a", "b"});
  Harness second(&store, 2, 1, first.now);
  const Time begun = second.now;
  second.Register({"a", "b"});
  second.Run(absl::Milliseconds(200));
  BOOST_REQUIRE_EQUAL(second.grants.size(), 2U);
  BOOST_TEST((second.grants.front().at <= begun + absl::Milliseconds(100)));
  BOOST_TEST(second.grants.front().sent.fence == first.grants.front().sent.fence);
  BOOST_TEST(second.published.version.epoch == 2U);
  BOOST_TEST(!second.IsMoving(0));
}

BOOST_AUTO_TEST_CASE(PredecessorsLeaseIsCountedFromTheLastObservedRowChange) {
  ModelStore store;
  Harness first(&store, 1, 1, kStart);
  first.Settle({"a", "b"});
  Harness second(&store, 2, 2, first.now);
  second.Register({"a", "b"});
  const Time received_at = second.now;
  second.coordinator.OnHeartbeat(first.coordinator.View(), received_at);
  second.unresponsive.insert("a");
  second.Run(absl::Seconds(12));
  const auto granted = second.GrantsSince(received_at);
  const auto moved = std::find_if(granted.begin(), granted.end(), [](const At<GrantAction>& grant) {
    return grant.sent.backend == "b" && grant.sent.range.Contains(0);
  });
  BOOST_REQUIRE((moved != granted.end()));
  const CoordinatorSettings& settings = second.settings;
  // The predecessor's last holds end together with the validity of its last map, but for the time
  // that an order may be under way.
  const Duration needed =
      (settings.lease + settings.map_confirmation) * (1 + settings.clock_drift) +
      settings.order_timeout;
  BOOST_TEST((moved->at >= received_at + needed));
  BOOST_TEST((moved->at <= received_at + needed + settings.slack + absl::Milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(DeposedHoldersSendNoGrants) {
  ModelStore store;
  Harness first(&store, 1, 1, kStart);
  first.Settle({"a"});
  Harness second(&store, 2, 2, first.now);
  second.Settle({"a"});
  first.Run(absl::Seconds(1));
  BOOST_TEST(first.Reported(state_change::kLeaseLost));
  const Time deposed = first.now;
  first.Run(absl::Milliseconds(600));
  BOOST_TEST(first.GrantsSince(deposed).empty());
}

BOOST_AUTO_TEST_CASE(HoldsAreRenewedMoreOftenDuringAStoreOutageUntilTheLeaseExpires) {
  ModelStore store;
  CoordinatorSettings settings;
  settings.hold_renewal = absl::Milliseconds(1300);
  Harness node(&store, 1, 1, kStart, settings);
  node.Settle({"a"});
  node.store_answers = false;
  const Time last_write = node.commits.back().at;
  node.Run(absl::Seconds(10));
  const Time last_grant = node.grants.back().at;
  BOOST_TEST((last_grant < last_write + node.settings.lease));
  BOOST_TEST((last_grant >= last_write + node.settings.lease - settings.hold_renewal / 4));
  BOOST_TEST(node.Reported(state_change::kLeaseLapsed));
  const Time degraded = last_write + 2 * node.settings.lease_renewal;
  BOOST_TEST((node.GrantsSince(degraded).front().at < degraded + absl::Milliseconds(10)));
  node.store_answers = true;
  node.Run(absl::Seconds(2));
  BOOST_TEST(node.Reported(state_change::kLeaseRegained));
  BOOST_TEST((node.grants.back().at > last_grant));
}

BOOST_AUTO_TEST_CASE(NewEpochBeginsBeforeTheFencesRunOut) {
  ModelStore store;
  CoordinatorSettings settings;
  settings.fences_before_new_epoch = 3;
  Harness node(&store, 1, 1, kStart, settings);
  node.Settle({"a", "b"});
  partition::Script().next = {{{0, 9}, "b"}, {{20, 29}, "b"}, {{40, 49}, "b"}};
  node.Run(absl::Seconds(1));
  BOOST_TEST(node.published.version.epoch == 2U);
  partition::Script().next = {{{60, 69}, "b"}};
  const Time proposed = node.now;
  node.Run(absl::Seconds(1));
  Fence highest = 0;
  for (const At<GrantAction>& grant : node.GrantsSince(proposed)) {
    highest = std::max(highest, grant.sent.fence);
  }
  BOOST_TEST(highest > FenceOf(2, 0));
  BOOST_TEST(!node.Reported(state_change::kLeaseLost));
}

BOOST_AUTO_TEST_CASE(ResignedNodesFinishMovesAndNeverHoldTheLeaseAgain) {
  ModelStore store;
  Harness node(&store, 1, 1, kStart);
  node.Settle({"a", "b"});
  node.unresponsive.insert("a");
  partition::Script().next = {{{0, 99}, "b"}};
  node.Run(absl::Milliseconds(500));
  BOOST_TEST(node.IsMoving(0));
  node.coordinator.Resign(node.now);
  node.Drain();
  BOOST_TEST(node.coordinator.Holds(node.now));
  node.unresponsive.clear();
  node.Run(absl::Milliseconds(500));
  BOOST_TEST(node.OwnerOf(0) == "b");
  BOOST_TEST(!node.coordinator.Holds(node.now));
  BOOST_TEST(node.Reported(state_change::kResigned));
  node.Run(absl::Seconds(20));
  BOOST_TEST(!node.coordinator.Holds(node.now));
}

}  // namespace
}  // namespace ladderstream::ownership
