// Draining and moving keys: the commands proposed, and what is refused.
#include "core/configuration/ownership_command.h"

#include <boost/test/unit_test.hpp>

#include "core/configuration/configuration_fault.h"
#include "sample_configuration.h"

namespace ladderstream::configuration {
namespace {

auto HasCode(ResultCode code) {
  return [code](const ConfigurationError& error) { return error.code() == code; };
}

const ServiceName kScripts("scripts");
const BackendId kOwner("scripts-1");
const BackendId kTarget("scripts-2");

struct Fixture {
  Fixture() {
    state.configuration = SampleConfiguration();
    state.configuration.backends.push_back(SampleBackend("scripts-2", "scripts", 9003));
    for (uint32_t range = 0; range < 4; ++range) {
      Assignment assignment;
      assignment.shard = {kScripts, RangeIndex(range), ""};
      assignment.state = AssignmentState::kOwned;
      assignment.owner = kOwner;
      state.assignments.push_back(assignment);
    }
  }

  /// The range's assignment that covers the key moved.
  Assignment& Covering() { return state.assignments[RangeOf(move.key, 4).value()]; }

  authority::RoutingState state;
  KeyMove move{kScripts, "script/hot", kTarget};
};

BOOST_FIXTURE_TEST_SUITE(ownership_command, Fixture)

BOOST_AUTO_TEST_CASE(a_key_is_split_out_and_then_moved) {
  const std::vector<Command> commands = PlanMove(state, move);
  BOOST_TEST_REQUIRE(commands.size() == 2U);
  const ShardId shard{kScripts, RangeOf(move.key, 4), move.key};
  BOOST_TEST((std::get<SplitKey>(commands[0]).shard == shard));
  const auto& revocation = std::get<RevokeShards>(commands[1]).items.at(0);
  BOOST_TEST((revocation.shard == shard));
  BOOST_TEST(revocation.next_owner == kTarget);
}

BOOST_AUTO_TEST_CASE(a_key_split_already_is_only_moved) {
  Assignment split = Covering();
  split.shard.key = move.key;
  state.assignments.push_back(split);
  BOOST_TEST(PlanMove(state, move).size() == 1U);
  state.assignments.back().owner = kTarget;
  BOOST_TEST(PlanMove(state, move).empty());
  state.assignments.back() = split;
  state.assignments.back().state = AssignmentState::kRevoking;
  state.assignments.back().next_owner = kTarget;
  BOOST_TEST(PlanMove(state, move).empty());
}

BOOST_AUTO_TEST_CASE(a_key_without_owner_or_moving_elsewhere_stays) {
  Covering().state = AssignmentState::kFree;
  BOOST_CHECK_EXCEPTION(PlanMove(state, move), ConfigurationError,
                        HasCode(ResultCode::kMoveRefused));
  Covering().state = AssignmentState::kRevoking;
  BOOST_CHECK_EXCEPTION(PlanMove(state, move), ConfigurationError,
                        HasCode(ResultCode::kMoveRefused));
}

BOOST_AUTO_TEST_CASE(a_draining_or_foreign_target_is_refused) {
  BackendHome home;
  home.backend = kTarget;
  home.draining = true;
  state.homes = {home};
  BOOST_CHECK_EXCEPTION(PlanMove(state, move), ConfigurationError,
                        HasCode(ResultCode::kMoveRefused));
  move.target = BackendId("cards-1");
  BOOST_CHECK_EXCEPTION(PlanMove(state, move), ConfigurationError,
                        HasCode(ResultCode::kMoveRefused));
}

BOOST_AUTO_TEST_CASE(a_key_of_another_service_is_refused) {
  move.key = "card/17";
  BOOST_CHECK_EXCEPTION(PlanMove(state, move), ConfigurationError,
                        HasCode(ResultCode::kInvalidConfiguration));
  move.service = ServiceName("none");
  BOOST_CHECK_EXCEPTION(PlanMove(state, move), ConfigurationError,
                        HasCode(ResultCode::kUnknownName));
}

BOOST_AUTO_TEST_CASE(a_back_end_that_owns_keys_cannot_be_removed) {
  BOOST_CHECK_EXCEPTION(RequireOwnsNothing(state, kOwner), ConfigurationError,
                        HasCode(ResultCode::kStillInUse));
  BOOST_CHECK_NO_THROW(RequireOwnsNothing(state, kTarget));
}

BOOST_AUTO_TEST_CASE(draining_needs_a_known_back_end) {
  BOOST_TEST(PlanDraining(state, kOwner, true).draining);
  BOOST_CHECK_EXCEPTION(PlanDraining(state, BackendId("none"), true), ConfigurationError,
                        HasCode(ResultCode::kUnknownName));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::configuration
