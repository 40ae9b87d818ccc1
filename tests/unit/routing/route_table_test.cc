#include "core/routing/route_table.h"

#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace ladderstream::routing::test {
namespace {

const ServiceName kScripts("scripts");

Assignment SplitKey(const std::string& key, const std::string& owner, uint64_t index) {
  Assignment assignment;
  assignment.shard = {kScripts, RangeOf(key, 4), key};
  assignment.state = AssignmentState::kOwned;
  assignment.owner = BackendId(owner);
  assignment.token = Token(index);
  assignment.changed_at = assignment.token;
  return assignment;
}

BOOST_AUTO_TEST_CASE(FindsOwnerTokenAndHome) {
  TableMaker maker;
  const RouteTablePtr table = maker.Make(MakeState());
  const ServiceRoute* service = table->FindService(kScripts);
  BOOST_REQUIRE(service != nullptr);
  const ShardRoute& shard = service->Find("s/1");
  BOOST_REQUIRE(shard.owner != nullptr);
  BOOST_TEST(shard.owner->configuration->id.value() == "s-1");
  BOOST_TEST(shard.owner->home->id.value() == 7U);
  BOOST_TEST((shard.token == Token(RangeOf("s/1", 4).value() + 1)));
  BOOST_TEST(table->FindService(ServiceName("none")) == nullptr);
}

BOOST_AUTO_TEST_CASE(ASplitKeyHasARouteOfItsOwn) {
  TableMaker maker;
  authority::RoutingState state = MakeState();
  state.assignments.push_back(SplitKey("s/hot", "s-2", 9));
  const RouteTablePtr table = maker.Make(state);
  const ServiceRoute* service = table->FindService(kScripts);
  BOOST_TEST(service->Find("s/hot").owner->configuration->id.value() == "s-2");
  BOOST_TEST(service->Find("s/cold").owner->configuration->id.value() == "s-1");
  BOOST_TEST(service->ShardOf("s/hot").key == "s/hot");
  BOOST_TEST(service->ShardOf("s/cold").key.empty());
}

BOOST_AUTO_TEST_CASE(OnlyAnOwnedShardHasAnOwner) {
  TableMaker maker;
  authority::RoutingState state = MakeState();
  for (Assignment& assignment : state.assignments) {
    assignment.state = AssignmentState::kRevoking;
  }
  const RouteTablePtr table = maker.Make(state);
  BOOST_TEST(table->FindService(kScripts)->Find("s/1").owner == nullptr);
}

BOOST_AUTO_TEST_CASE(AConfirmationAloneBuildsNothingAnew) {
  TableMaker maker;
  authority::RoutingState state = MakeState();
  const RouteTablePtr first = maker.Make(state);
  state.confirmed_until = absl::UnixEpoch();
  const RouteTablePtr second = maker.Make(state);
  BOOST_TEST(second->SameRoutesAs(*first));
  BOOST_TEST((second->confirmed_until() == absl::UnixEpoch()));
  state.assignments[0].owner = BackendId("s-2");
  state.assignments[0].changed_at = Token(10);
  BOOST_TEST(!maker.Make(state)->SameRoutesAs(*second));
}

BOOST_AUTO_TEST_CASE(EveryKindOfChangeIsSeen) {
  const authority::RoutingState before = MakeState();
  for (int kind = 0; kind < 4; ++kind) {
    TableMaker maker;
    const RouteTablePtr first = maker.Make(before);
    authority::RoutingState after = before;
    switch (kind) {
      case 0:
        after.configuration.revision = Revision(2);
        break;
      case 1:
        after.homes[0].home.id = NodeId(8);
        break;
      case 2:
        after.homes[0].draining = true;
        break;
      default:
        after.assignments.push_back(SplitKey("s/hot", "s-2", 1));
        break;
    }
    BOOST_TEST(!maker.Make(after)->SameRoutesAs(*first), "kind " << kind);
  }
}

BOOST_AUTO_TEST_CASE(WhatANodeSawOutlivesTheTable) {
  TableMaker maker;
  authority::RoutingState state = MakeState();
  const BackendStatePtr before = maker.Make(state)->FindBackend(BackendId("c-1"))->state;
  state.configuration.revision = Revision(2);
  BOOST_TEST(maker.Make(state)->FindBackend(BackendId("c-1"))->state == before);
}

}  // namespace
}  // namespace ladderstream::routing::test
