// Which results may be followed by another attempt, and how many.
#include <boost/test/unit_test.hpp>

#include "core/routing/owner_handle.h"
#include "core/routing/retry_budget.h"
#include "core/routing/retry_decision.h"
#include "core/routing/retry_handle.h"
#include "routing_fixture.h"

namespace ladderstream::routing::test {
namespace {

struct RetryFixture {
  RetryFixture() : watch(time), handle({}, time, watch, std::make_unique<OwnerHandle>(sender)) {
    watch.current = maker.Make(MakeState());
  }

  ResultCode Run(const std::string& request) {
    RouteContext context = MakeContext(watch.current, "scripts", "s/1", request);
    return handle.Route(context).result;
  }

  ManualTime time;
  TableMaker maker;
  ScriptedWatch watch;
  ScriptedSender sender;
  RetryHandle handle;
};

BOOST_AUTO_TEST_CASE(AnUnknownOutcomeOfAnUnrepeatableRequestIsFinal) {
  for (const ResultCode code :
       {ResultCode::kConnectionLost, ResultCode::kTimedOut, ResultCode::kAnswerTruncated,
        ResultCode::kNodeLost, ResultCode::kPeerTimeout, ResultCode::kInternal}) {
    for (const RoutingKind kind : {RoutingKind::kByKey, RoutingKind::kByLoad}) {
      BOOST_TEST((DecideRetry(code, false, kind) == RetryDecision::kGiveUp), NameOf(code));
    }
    RetryFixture fixture;
    fixture.sender.results = {code};
    BOOST_TEST((fixture.Run("book") == code));
    BOOST_TEST(fixture.sender.sent.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(ARepeatableRequestIsSentAgainAfterAnUnknownOutcome) {
  RetryFixture fixture;
  fixture.sender.results = {ResultCode::kConnectionLost};
  BOOST_TEST((fixture.Run("read") == ResultCode::kOk));
  BOOST_TEST(fixture.sender.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ARefusalAfterAnUnknownOutcomeDoesNotSayThatNothingRan) {
  RetryFixture fixture;
  fixture.sender.results = {ResultCode::kConnectionLost, ResultCode::kOverloaded};
  BOOST_TEST((fixture.Run("read") == ResultCode::kConnectionLost));
  BOOST_TEST(fixture.sender.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RetriesEndWithTheBudget) {
  RetryFixture fixture;
  fixture.sender.results.assign(1000, ResultCode::kConnectionLost);
  fixture.Run("read");
  // Ten saved up, and one try's share that makes no whole one.
  BOOST_TEST(fixture.sender.sent.size() == 11U);
  fixture.sender.sent.clear();
  fixture.Run("read");
  BOOST_TEST(fixture.sender.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AProvenRefusalIsSentAgainUnderNewerRouting) {
  RetryFixture fixture;
  fixture.sender.results = {ResultCode::kOwnerChanged};
  authority::RoutingState moved = MakeState();
  for (Assignment& assignment : moved.assignments) {
    assignment.owner = BackendId("s-2");
    assignment.token = Token(20);
    assignment.changed_at = Token(20);
  }
  fixture.watch.next = {fixture.maker.Make(moved)};
  BOOST_TEST((fixture.Run("book") == ResultCode::kOk));
  BOOST_REQUIRE(fixture.sender.sent.size() == 2);
  BOOST_TEST(fixture.sender.sent[1].backend.value() == "s-2");
  BOOST_TEST((fixture.sender.sent[1].token == Token(20)));
}

BOOST_AUTO_TEST_CASE(WaitsForRoutingAreBoundedAndLeaveTheBudgetAlone) {
  RetryFixture fixture;
  fixture.sender.results.assign(1000, ResultCode::kOwnerChanged);
  const Time started = fixture.time.now;
  BOOST_TEST((fixture.Run("book") == ResultCode::kOwnerChanged));
  BOOST_TEST((fixture.time.now - started <= absl::Milliseconds(250)));
  BOOST_TEST(fixture.sender.sent.size() <= 7U);
  BOOST_TEST(fixture.watch.current->FindService(ServiceName("scripts"))->state->budget.Withdraw());
}

BOOST_AUTO_TEST_CASE(NoAttemptFollowsTheDeadlineOrTheCallersLeaving) {
  RetryFixture late;
  late.sender.results = {ResultCode::kConnectionLost};
  late.sender.on_send = [&late](RouteContext&) { late.time.now += absl::Seconds(1); };
  BOOST_TEST((late.Run("read") == ResultCode::kConnectionLost));
  BOOST_TEST(late.sender.sent.size() == 1U);

  RetryFixture left;
  left.sender.results = {ResultCode::kConnectionLost};
  left.sender.on_send = [](RouteContext& context) { context.cancellation->Cancel(); };
  left.Run("read");
  BOOST_TEST(left.sender.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnOverloadedOwnerIsNotAskedAgainAtOnce) {
  for (const ResultCode code : {ResultCode::kOverloaded, ResultCode::kDeadlineUnreachable,
                                ResultCode::kBackendShed, ResultCode::kBackendUnreachable}) {
    BOOST_TEST((DecideRetry(code, true, RoutingKind::kByKey) == RetryDecision::kGiveUp));
    BOOST_TEST((DecideRetry(code, false, RoutingKind::kByLoad) == RetryDecision::kSpendBudget));
  }
}

BOOST_AUTO_TEST_CASE(TheCallersOwnFaultsAreFinal) {
  for (const ResultCode code : {ResultCode::kUnknownService, ResultCode::kCancelled,
                                ResultCode::kConfigurationUnconfirmed, ResultCode::kOk}) {
    BOOST_TEST((DecideRetry(code, true, RoutingKind::kByLoad) == RetryDecision::kGiveUp));
  }
}

BOOST_AUTO_TEST_CASE(TheBudgetIsAShareOfFirstTries) {
  RetryBudget budget(100, 0);
  BOOST_TEST(!budget.Withdraw());
  for (int i = 0; i < 35; ++i) {
    budget.Deposit();
  }
  int retries = 0;
  while (budget.Withdraw()) {
    ++retries;
  }
  BOOST_TEST(retries == 3);
  RetryBudget none(0, 10);
  none.Deposit();
  BOOST_TEST(!none.Withdraw());
}

}  // namespace
}  // namespace ladderstream::routing::test
