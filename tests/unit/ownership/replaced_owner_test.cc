// Tests of what proves that an owner has ended. Registrations are evidence of what some process
// wrote at some time; only an answer to an order tells what runs now.
#include <boost/test/unit_test.hpp>

#include "coordinator_harness.h"
#include "core/ownership/backend_directory.h"
#include "core/ownership/belief_events.h"

namespace ladderstream::ownership {
namespace {

const Time kStart = absl::FromUnixSeconds(1000);
/// A round trip of an order, and the commit that follows it.
constexpr Duration kAtOnce = absl::Milliseconds(100);

catalog::Backend MakeBackend(const std::string& id, const std::string& host,
                             const std::string& service = Harness::kService) {
  catalog::Backend backend;
  backend.id = id;
  backend.service = service;
  backend.address = {host, 1};
  return backend;
}

/// `a` owns the lower keys and `b` the upper ones.
struct OwnersFixture {
  OwnersFixture() : node(&store, 1, 1, kStart) { node.Settle({"a", "b"}); }

  /// Returns whether an order was sent to `id` at `time`.
  bool WasAsked(const std::string& id, Time time) const {
    const std::vector<At<GrantAction>> grants = node.GrantsSince(time);
    return std::any_of(grants.begin(), grants.end(), [&](const At<GrantAction>& grant) {
      return grant.sent.backend == id && grant.at <= time + absl::Milliseconds(1);
    });
  }
  /// Lets the renewals that were under way at `time` end.
  Time AfterLastRenewals() {
    node.Run(node.settings.hold_renewal / 2);
    return node.now;
  }

  ModelStore store;
  Harness node;
};

BOOST_FIXTURE_TEST_SUITE(replaced_owner, OwnersFixture)

// Two back ends held the same keys when a registration of another writer showed the address of one.
BOOST_AUTO_TEST_CASE(registration_at_the_address_of_a_running_owner_takes_no_keys) {
  const Time registered_at = AfterLastRenewals();
  node.Register({"a", "b"}, {{"stray", {"a", 1}}});
  BOOST_TEST(WasAsked("a", registered_at));
  BOOST_TEST(node.Reported(state_change::kBackendQuestioned));
  node.Run(absl::Seconds(20));
  BOOST_TEST(!node.Reported(state_change::kBackendEnded));
  BOOST_TEST(!node.Reported(state_change::kMoveStarted));
  BOOST_TEST(node.OwnerOf(0) == "a");
}

// Two back ends held the same keys when a coordinator that knew only the living incarnation saw the
// registration of the one before it.
BOOST_AUTO_TEST_CASE(late_registration_of_an_earlier_back_end_takes_and_gets_no_keys) {
  Harness successor(&store, 2, 2, node.now);
  successor.Register({"a", "b"});
  successor.Run(absl::Seconds(12));
  BOOST_REQUIRE(successor.coordinator.Holds(successor.now));
  // The harness takes the part before a dot as the machine.
  successor.replaced.insert("a.old");
  const Time registered_at = successor.now;
  successor.Register({"a", "b", "a.old"});
  partition::Script().next = {{{0, 99}, "a.old"}};
  successor.Run(absl::Seconds(20));
  BOOST_TEST(!successor.Reported(state_change::kBackendEnded));
  BOOST_TEST(!successor.Reported(state_change::kMoveStarted));
  for (const At<GrantAction>& grant : successor.GrantsSince(registered_at)) {
    BOOST_TEST(grant.sent.backend != "a.old");
  }
}

BOOST_AUTO_TEST_CASE(owner_whose_address_is_used_by_another_service_loses_its_keys_at_once) {
  AfterLastRenewals();
  node.replaced.insert("a");
  node.Register({"a", "b"}, {{"other", {"a", 1}}});
  node.Run(kAtOnce);
  BOOST_TEST(node.Reported(state_change::kBackendEnded));
  BOOST_TEST(node.OwnerOf(0) == "b");
  BOOST_TEST(!node.IsMoving(0));
}

// The partitioner ran just before the answer, and then not again for 50 ms.
BOOST_AUTO_TEST_CASE(keys_of_an_ended_owner_move_as_soon_as_the_answer_comes) {
  AfterLastRenewals();
  node.replaced.insert("a");
  node.Register({"a", "b"}, {{"other", {"a", 1}}});
  node.Run(absl::Milliseconds(5));
  BOOST_TEST(node.OwnerOf(0) == "b");
  BOOST_TEST(!node.IsMoving(0));
}

// An owner that does not answer must not keep the keys of others from moving.
BOOST_AUTO_TEST_CASE(partitioner_does_not_wait_for_a_silent_owner) {
  AfterLastRenewals();
  node.unresponsive.insert("a");
  node.Register({"a", "b"}, {{"other", {"a", 1}}});
  partition::Script().next = {{{60000, 60099}, "a"}, {{60100, 60199}, "a"}};
  node.Run(node.settings.partition_interval + kAtOnce);
  BOOST_TEST(partition::Script().next.empty());
}

BOOST_AUTO_TEST_CASE(deregistered_owner_whose_address_is_in_use_again_loses_its_keys_at_once) {
  AfterLastRenewals();
  node.replaced.insert("a");
  node.Register({"b"}, {{"other", {"a", 1}}});
  node.Run(kAtOnce);
  BOOST_TEST(node.OwnerOf(0) == "b");
}

BOOST_AUTO_TEST_CASE(restarted_owner_loses_its_keys_at_once) {
  AfterLastRenewals();
  node.replaced.insert("a");
  node.Register({"a", "a.new", "b"});
  node.Run(kAtOnce);
  BOOST_TEST(node.OwnerOf(0) != "a");
  BOOST_TEST(!node.IsMoving(0));
}

BOOST_AUTO_TEST_CASE(silent_owner_is_waited_out_whatever_is_registered_at_its_address) {
  AfterLastRenewals();
  const Time last_grant = node.grants.back().at;
  node.unresponsive.insert("a");
  node.Register({"a", "b"}, {{"other", {"a", 1}}});
  node.Run(last_grant + node.settings.hold - node.now);
  BOOST_TEST(node.OwnerOf(0) == "a");
  BOOST_TEST(!node.Reported(state_change::kBackendEnded));
  // The last unanswered grant may have been accepted; the hold and its margins count from it.
  node.Run(node.settings.hold);
  BOOST_TEST(node.OwnerOf(0) == "b");
}

// The verdict of an ended owner was never withdrawn, so a wrong one kept a healthy back end without
// keys until another node became the coordinator.
BOOST_AUTO_TEST_CASE(back_end_taken_for_ended_gets_keys_again_once_it_is_registered_anew) {
  AfterLastRenewals();
  node.replaced.insert("a");
  node.Register({"a", "b"}, {{"other", {"a", 1}}});
  node.Run(kAtOnce);
  BOOST_REQUIRE(node.OwnerOf(0) == "b");
  node.replaced.clear();
  node.Register({"b"});
  node.Register({"a", "b"});
  partition::Script().next = {{{0, 99}, "a"}};
  node.Run(absl::Seconds(1));
  BOOST_TEST(node.OwnerOf(0) == "a");
  BOOST_TEST(!node.IsMoving(0));
}

BOOST_AUTO_TEST_CASE(back_end_taken_for_ended_gets_keys_again_if_it_stays_registered) {
  AfterLastRenewals();
  node.replaced.insert("a");
  node.Register({"a", "b"}, {{"other", {"a", 1}}});
  node.Run(kAtOnce);
  node.replaced.clear();
  partition::Script().next = {{{0, 99}, "a"}};
  node.Run(absl::Seconds(10));
  BOOST_TEST(node.OwnerOf(0) == "b");
  node.Run(absl::Seconds(6));
  BOOST_TEST(node.Reported(state_change::kBackendEndWithdrawn));
  partition::Script().next = {{{0, 99}, "a"}};
  node.Run(absl::Seconds(1));
  BOOST_TEST(node.OwnerOf(0) == "a");
}

// An entry of another writer under the name of an owner may show any address.
BOOST_AUTO_TEST_CASE(another_instance_elsewhere_than_the_grants_went_proves_nothing) {
  node.RegisterBackends({MakeBackend("a", "elsewhere"), MakeBackend("b", "b")});
  node.foreign_hosts.insert("elsewhere");
  const Time last_grant = node.grants.back().at;
  node.Run(last_grant + node.settings.hold - node.now);
  BOOST_TEST(node.OwnerOf(0) == "a");
  BOOST_TEST(!node.Reported(state_change::kBackendEnded));
  BOOST_TEST(node.Reported(state_change::kBackendEndUnproven));
}

// The same entry, read by a coordinator that has just taken over and has granted nothing yet.
BOOST_AUTO_TEST_CASE(address_in_the_store_of_an_owner_goes_before_its_registration) {
  Harness successor(&store, 2, 2, node.now);
  successor.foreign_hosts.insert("elsewhere");
  successor.RegisterBackends({MakeBackend("a", "elsewhere"), MakeBackend("b", "b")});
  successor.Run(absl::Seconds(12));
  BOOST_REQUIRE(successor.coordinator.Holds(successor.now));
  BOOST_TEST(successor.Reported(state_change::kBackendEndUnproven));
  BOOST_TEST(!successor.Reported(state_change::kBackendEnded));
}

BOOST_AUTO_TEST_CASE(answer_to_a_later_order_withdraws_the_end) {
  BackendDirectory directory{CoordinatorSettings()};
  const Endpoint address = {"a", 1};
  directory.Update({{MakeBackend("a", "a")}, {}}, {Harness::kService}, kStart);
  directory.RecordGrant("a", address);
  BOOST_REQUIRE(directory.ProvesEnd("a", address, kStart));
  directory.MarkEnded("a", kStart);
  BOOST_TEST(!directory.RecordAnswer("a", address, kStart).end_withdrawn);
  BOOST_TEST(directory.HasEnded("a"));
  const Time later = kStart + absl::Milliseconds(1);
  BOOST_TEST(directory.RecordAnswer("a", address, later).end_withdrawn);
  BOOST_TEST(directory.Accepts("a"));
  // The answer of another instance to an order that was sent earlier is outdated.
  BOOST_TEST(!directory.ProvesEnd("a", address, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
