// Each command's effect on the replicated state, and that a command that does not fit has none.
#include "core/authority/ownership_state.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace ladderstream::authority {
namespace {

const ServiceName kScripts("scripts");
const BackendId kFirst("first");
const BackendId kSecond("second");
const BackendIncarnation kRunning(1);

ShardId Range(uint32_t range) { return {kScripts, RangeIndex(range), ""}; }
ShardId Key(uint32_t range, const std::string& key) { return {kScripts, RangeIndex(range), key}; }

/// Two admitted back ends and four free ranges.
struct Fixture {
  Fixture() {
    ServiceConfiguration service;
    service.name = kScripts;
    service.range_count = 4;
    configuration.revision = Revision(1);
    configuration.services = {service};
    for (const BackendId& id : {kFirst, kSecond}) {
      BackendConfiguration backend;
      backend.id = id;
      backend.service = kScripts;
      configuration.backends.push_back(backend);
    }
    Apply(AdoptConfiguration{configuration});
    Apply(AdmitBackend{kFirst, kRunning});
    Apply(AdmitBackend{kSecond, kRunning});
    state.TakeChangedGrants();
  }

  ResultCode Apply(const Command& command) { return state.Apply({1, 1, ++index}, command); }
  GrantToken token() const { return {1, 1, index}; }
  const Assignment& At(const ShardId& shard) const { return *state.FindAssignment(shard); }
  void OwnAll(const BackendId& owner) {
    AssignShards assign;
    for (uint32_t range = 0; range < 4; ++range) {
      assign.items.push_back({Range(range), owner});
    }
    Apply(assign);
  }

  Configuration configuration;
  OwnershipState state;
  uint64_t index = 0;
};

BOOST_FIXTURE_TEST_SUITE(ownership_state, Fixture)

BOOST_AUTO_TEST_CASE(assigned_shard_carries_the_entry_as_token) {
  BOOST_TEST((Apply(AssignShards{{{Range(2), kFirst}}}) == ResultCode::kOk));
  BOOST_TEST(At(Range(2)).token == token());
  BOOST_TEST(state.free_shards().size() == 3U);
  BOOST_TEST(state.GrantsOf(kFirst).grants.size() == 1U);
  BOOST_TEST(state.GrantsOf(kFirst).version == token());
  BOOST_TEST((state.TakeChangedGrants() == std::set<BackendId>{kFirst}));
}

BOOST_AUTO_TEST_CASE(owned_shard_is_not_assigned_again) {
  OwnAll(kFirst);
  BOOST_TEST((Apply(AssignShards{{{Range(2), kSecond}}}) == ResultCode::kMoveRefused));
  BOOST_TEST(At(Range(2)).owner == kFirst);
}

BOOST_AUTO_TEST_CASE(draining_or_expired_back_end_receives_nothing) {
  Apply(SetDraining{kFirst, true});
  BOOST_TEST((Apply(AssignShards{{{Range(0), kFirst}}}) == ResultCode::kMoveRefused));
  Apply(ExpireBackend{kSecond, kRunning});
  BOOST_TEST((Apply(AssignShards{{{Range(0), kSecond}}}) == ResultCode::kMoveRefused));
}

BOOST_AUTO_TEST_CASE(revoked_shard_is_free_only_when_the_owner_confirms) {
  OwnAll(kFirst);
  const GrantToken before = token();
  Apply(RevokeShards{{{Range(1), kSecond}}});
  const GrantToken revoked = token();
  BOOST_TEST(state.GrantsOf(kFirst).grants.size() == 3U);
  BOOST_TEST((Apply(AssignShards{{{Range(1), kSecond}}}) == ResultCode::kMoveRefused));
  Apply(ConfirmRevocation{kFirst, kRunning, before});
  BOOST_TEST((At(Range(1)).state == AssignmentState::kRevoking));
  Apply(ConfirmRevocation{kFirst, BackendIncarnation(9), revoked});
  BOOST_TEST((At(Range(1)).state == AssignmentState::kRevoking));
  Apply(ConfirmRevocation{kFirst, kRunning, revoked});
  BOOST_TEST((At(Range(1)).state == AssignmentState::kFree));
  BOOST_TEST(At(Range(1)).next_owner == kSecond);
}

BOOST_AUTO_TEST_CASE(new_incarnation_holds_nothing_and_the_old_one_never_returns) {
  OwnAll(kFirst);
  BOOST_TEST((Apply(AdmitBackend{kFirst, BackendIncarnation(2)}) == ResultCode::kOk));
  BOOST_TEST(state.free_shards().size() == 4U);
  BOOST_TEST((Apply(AdmitBackend{kFirst, kRunning}) == ResultCode::kAlreadyExists));
}

BOOST_AUTO_TEST_CASE(expiry_of_another_incarnation_changes_nothing) {
  OwnAll(kFirst);
  Apply(ExpireBackend{kFirst, BackendIncarnation(9)});
  BOOST_TEST(state.free_shards().empty());
  Apply(ExpireBackend{kFirst, kRunning});
  BOOST_TEST(state.free_shards().size() == 4U);
}

BOOST_AUTO_TEST_CASE(split_key_stays_with_the_owner_under_a_token_of_its_own) {
  OwnAll(kFirst);
  const GrantToken range_token = At(Range(3)).token;
  BOOST_TEST((Apply(SplitKey{Key(3, "hot")}) == ResultCode::kOk));
  BOOST_TEST(At(Key(3, "hot")).owner == kFirst);
  BOOST_TEST(At(Key(3, "hot")).token == token());
  BOOST_TEST(At(Range(3)).token == range_token);
  const GrantSet grants = state.GrantsOf(kFirst);
  const auto range = std::find_if(grants.grants.begin(), grants.grants.end(),
                                  [](const Grant& grant) { return grant.shard == Range(3); });
  BOOST_TEST((range->excluded_keys == std::vector<std::string>{"hot"}));
}

BOOST_AUTO_TEST_CASE(split_key_merges_only_with_its_owner) {
  OwnAll(kFirst);
  Apply(SplitKey{Key(3, "hot")});
  Apply(RevokeShards{{{Key(3, "hot"), kSecond}}});
  Apply(ConfirmRevocation{kFirst, kRunning, token()});
  Apply(AssignShards{{{Key(3, "hot"), kSecond}}});
  BOOST_TEST((Apply(MergeKey{Key(3, "hot")}) == ResultCode::kMoveRefused));
  Apply(RevokeShards{{{Key(3, "hot"), kFirst}}});
  Apply(ConfirmRevocation{kSecond, kRunning, token()});
  Apply(AssignShards{{{Key(3, "hot"), kFirst}}});
  const GrantToken known = token();
  BOOST_TEST((Apply(MergeKey{Key(3, "hot")}) == ResultCode::kOk));
  StatePullResponse changes;
  state.FillChangesSince(known, changes);
  BOOST_TEST(!changes.ownership_is_full);
  BOOST_TEST((changes.removed == std::vector<ShardId>{Key(3, "hot")}));
}

BOOST_AUTO_TEST_CASE(merged_key_is_covered_by_a_newer_token_than_it_ever_had) {
  OwnAll(kFirst);
  Apply(SplitKey{Key(3, "hot")});
  const GrantToken key_token = At(Key(3, "hot")).token;
  Apply(MergeKey{Key(3, "hot")});
  BOOST_TEST(At(Range(3)).token > key_token);
  BOOST_TEST(state.GrantsOf(kFirst).version >= At(Range(3)).token);
}

BOOST_AUTO_TEST_CASE(older_configuration_changes_nothing) {
  Configuration next = configuration;
  next.revision = Revision(3);
  Apply(AdoptConfiguration{next});
  next.revision = Revision(2);
  next.services.clear();
  BOOST_TEST((Apply(AdoptConfiguration{next}) == ResultCode::kRevisionConflict));
  BOOST_TEST(state.configuration().services.size() == 1U);
}

BOOST_AUTO_TEST_CASE(removed_back_end_is_forgotten_when_it_has_let_go) {
  OwnAll(kFirst);
  configuration.revision = Revision(2);
  configuration.backends.erase(configuration.backends.begin());
  Apply(AdoptConfiguration{configuration});
  BOOST_TEST(state.revoking_shards().size() == 4U);
  BOOST_TEST(state.GrantsOf(kFirst).grants.empty());
  Apply(ConfirmRevocation{kFirst, kRunning, token()});
  BOOST_TEST(state.free_shards().size() == 4U);
  BOOST_TEST(state.FindBackendRecord(kFirst) == nullptr);
}

BOOST_AUTO_TEST_CASE(shards_of_a_removed_service_vanish_when_let_go) {
  OwnAll(kFirst);
  configuration.revision = Revision(2);
  configuration.services.clear();
  configuration.backends.clear();
  Apply(AdoptConfiguration{configuration});
  BOOST_TEST(state.assignments().size() == 4U);
  Apply(ExpireBackend{kFirst, kRunning});
  BOOST_TEST(state.assignments().empty());
  BOOST_TEST(state.backends().empty());
}

BOOST_AUTO_TEST_CASE(leaving_ends_with_the_incarnation_and_draining_does_not) {
  Apply(SetDraining{kFirst, true, kRunning});
  Apply(SetDraining{kSecond, true});
  Apply(AdmitBackend{kFirst, BackendIncarnation(2)});
  Apply(AdmitBackend{kSecond, BackendIncarnation(2)});
  BOOST_TEST(!state.FindBackendRecord(kFirst)->IsDraining());
  BOOST_TEST(state.FindBackendRecord(kSecond)->IsDraining());
}

BOOST_AUTO_TEST_CASE(changes_since_a_version_are_only_those) {
  OwnAll(kFirst);
  const GrantToken known = token();
  Apply(SplitKey{Key(0, "hot")});
  StatePullResponse changes;
  state.FillChangesSince(known, changes);
  BOOST_TEST(changes.assignments.size() == 1U);
  StatePullResponse none;
  state.FillChangesSince(token(), none);
  BOOST_TEST(none.assignments.empty());
  StatePullResponse all;
  state.FillChangesSince(GrantToken(), all);
  BOOST_TEST(all.ownership_is_full);
  BOOST_TEST(all.assignments.size() == 5U);
}

BOOST_AUTO_TEST_CASE(snapshot_restores_everything) {
  OwnAll(kFirst);
  Apply(SplitKey{Key(0, "hot")});
  Apply(RevokeShards{{{Range(1), kSecond}}});
  OwnershipState copy;
  copy.Restore(state.TakeSnapshot());
  BOOST_TEST(copy.TakeSnapshot() == state.TakeSnapshot());
  BOOST_TEST((copy.GrantsOf(kFirst) == state.GrantsOf(kFirst)));
  BOOST_TEST((copy.revoking_shards() == state.revoking_shards()));
}

BOOST_AUTO_TEST_CASE(next_generation_keeps_owners_under_tokens_that_outrank_all) {
  OwnAll(kFirst);
  OwnershipState recovered;
  recovered.RestoreInGeneration(state.TakeSnapshot(), 2);
  const GrantToken lost_end{1, 99, 999};
  for (const auto& [shard, assignment] : recovered.assignments()) {
    BOOST_TEST(assignment.owner == kFirst);
    BOOST_TEST((assignment.token > lost_end));
  }
  BOOST_TEST((recovered.GrantsOf(kFirst).version > lost_end));
  BOOST_TEST((recovered.GrantsOf(kSecond).version > lost_end));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::authority
