#include <boost/test/unit_test.hpp>
#include <map>

#include "core/routing/confirmation_handle.h"
#include "core/routing/deadline_handle.h"
#include "core/routing/least_loaded_handle.h"
#include "core/routing/owner_handle.h"
#include "routing_fixture.h"

namespace ladderstream::routing::test {
namespace {

struct HandleFixture {
  RouteContext Context(const std::string& service, const std::string& key) {
    return MakeContext(table, service, key, "read");
  }

  std::map<std::string, int> CountSent() {
    std::map<std::string, int> counts;
    for (const ForwardRequest& request : sender.sent) {
      ++counts[request.backend.value()];
    }
    return counts;
  }

  ManualTime time;
  TableMaker maker;
  RouteTablePtr table = maker.Make(MakeState());
  ScriptedSender sender;
};

BOOST_AUTO_TEST_CASE(AnUnconfirmedNodeServesNothing) {
  HandleFixture fixture;
  authority::RoutingState state = MakeState();
  state.confirmed_until = fixture.time.now;
  fixture.table = fixture.maker.Make(state);
  ConfirmationHandle handle(fixture.time, std::make_unique<OwnerHandle>(fixture.sender));
  RouteContext context = fixture.Context("scripts", "s/1");
  BOOST_TEST((handle.Route(context).result == ResultCode::kConfigurationUnconfirmed));
  BOOST_TEST(fixture.sender.sent.empty());
}

BOOST_AUTO_TEST_CASE(NothingIsSentPastTheDeadlineOrForACallerThatLeft) {
  HandleFixture fixture;
  DeadlineHandle handle(fixture.time, std::make_unique<OwnerHandle>(fixture.sender));
  RouteContext late = fixture.Context("scripts", "s/1");
  late.deadline = fixture.time.now;
  BOOST_TEST((handle.Route(late).result == ResultCode::kDeadlineUnreachable));
  RouteContext left = fixture.Context("scripts", "s/1");
  left.cancellation->Cancel();
  BOOST_TEST((handle.Route(left).result == ResultCode::kCancelled));
  BOOST_TEST(fixture.sender.sent.empty());
}

BOOST_AUTO_TEST_CASE(AKeyWithoutOwnerIsRefusedWithATimeToComeBack) {
  HandleFixture fixture;
  authority::RoutingState state = MakeState();
  state.assignments.clear();
  fixture.table = fixture.maker.Make(state);
  OwnerHandle handle(fixture.sender);
  RouteContext context = fixture.Context("scripts", "s/1");
  const ForwardResponse response = handle.Route(context);
  BOOST_TEST((response.result == ResultCode::kNoOwner));
  BOOST_TEST((response.retry_after > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(LoadIsSpreadOverTheBackEnds) {
  HandleFixture fixture;
  LeastLoadedHandle handle(fixture.time, {}, 1, fixture.sender);
  for (int i = 0; i < 900; ++i) {
    RouteContext context = fixture.Context("callbacks", "");
    handle.Route(context);
  }
  for (const auto& [id, count] : fixture.CountSent()) {
    BOOST_TEST(count > 200, id);
    BOOST_TEST(count < 400, id);
  }
}

BOOST_AUTO_TEST_CASE(ABusyBackEndGetsNothingWhileOthersAreFree) {
  HandleFixture fixture;
  fixture.table->FindBackend(BackendId("c-2"))->state->in_flight = 50;
  LeastLoadedHandle handle(fixture.time, {}, 1, fixture.sender);
  for (int i = 0; i < 300; ++i) {
    RouteContext context = fixture.Context("callbacks", "");
    handle.Route(context);
  }
  BOOST_TEST(fixture.CountSent()["c-2"] == 0);
}

BOOST_AUTO_TEST_CASE(DrainingAndFailingBackEndsGetNoNewRequests) {
  HandleFixture fixture;
  authority::RoutingState state = MakeState();
  state.homes[2].draining = true;
  fixture.table = fixture.maker.Make(state);
  BackendState& failing = *fixture.table->FindBackend(BackendId("c-2"))->state;
  for (int i = 0; i < 5; ++i) {
    RecordAttempt(failing, Refuse(ResultCode::kConnectionLost, {}), {}, fixture.time.now);
  }
  LeastLoadedHandle handle(fixture.time, {}, 1, fixture.sender);
  for (int i = 0; i < 100; ++i) {
    RouteContext context = fixture.Context("callbacks", "");
    handle.Route(context);
  }
  BOOST_TEST(fixture.CountSent()["c-3"] == 100);
}

BOOST_AUTO_TEST_CASE(ARetryGoesToAnotherBackEnd) {
  HandleFixture fixture;
  LeastLoadedHandle handle(fixture.time, {}, 1, fixture.sender);
  RouteContext context = fixture.Context("callbacks", "");
  for (int i = 0; i < 3; ++i) {
    handle.Route(context);
  }
  BOOST_TEST(fixture.CountSent().size() == 3U);
}

BOOST_AUTO_TEST_CASE(RefusalsSayNothingAboutHealth) {
  HandleFixture fixture;
  BackendState& state = *fixture.table->FindBackend(BackendId("c-1"))->state;
  for (const ResultCode code : {ResultCode::kBackendShed, ResultCode::kOverloaded,
                                ResultCode::kNodeLost, ResultCode::kDeadlineUnreachable}) {
    for (int i = 0; i < 100; ++i) {
      RecordAttempt(state, Refuse(code, {}), {}, fixture.time.now);
    }
  }
  BOOST_TEST(!state.health.IsSuspect(fixture.time.now));
}

}  // namespace
}  // namespace ladderstream::routing::test
