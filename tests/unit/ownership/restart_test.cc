// Tests of owners that restart under the same name: the new incarnation holds no keys, and its keys
// get a fence above all fences of the earlier incarnation.
#include <boost/test/unit_test.hpp>

#include "coordinator_harness.h"
#include "core/ownership/backend_directory.h"
#include "core/ownership/belief_events.h"

namespace ladderstream::ownership {
namespace {

struct Fixture {
  Fixture() : node(&store, 1, 1, absl::FromUnixSeconds(1000)) {}

  static catalog::Backend MakeBackend(const std::string& id, const std::string& host) {
    catalog::Backend backend;
    backend.id = id;
    backend.service = Harness::kService;
    backend.address = {host, 1};
    return backend;
  }
  Fence HighestFence() const {
    Fence highest = 0;
    for (const At<GrantAction>& grant : node.grants) {
      highest = std::max(highest, grant.sent.fence);
    }
    return highest;
  }

  ModelStore store;
  Harness node;
};

BOOST_FIXTURE_TEST_SUITE(Restart, Fixture)

BOOST_AUTO_TEST_CASE(KeysOfARestartedOwnerAreReleasedAndGrantedAgainAtOnce) {
  node.RegisterBackends({MakeBackend("a@1", "a")});
  node.Run(absl::Seconds(3));
  BOOST_TEST(node.OwnerOf(7) == "a@1");
  const Fence before = HighestFence();
  const Time restarted = node.now;
  node.RegisterBackends({MakeBackend("a@2", "a")});
  node.Run(absl::Seconds(1));
  BOOST_TEST(node.OwnerOf(7) == "a@2");
  BOOST_TEST(!node.IsMoving(7));
  // A renewal for the earlier incarnation may have reached the new one, so a release is sent first.
  BOOST_REQUIRE(!node.releases.empty());
  BOOST_TEST(node.releases.back().sent.fence > before);
  for (const At<GrantAction>& grant : node.GrantsSince(restarted)) {
    BOOST_TEST(grant.sent.backend == "a@2");
    BOOST_TEST(grant.sent.fence > before);
  }
  BOOST_TEST(!node.Reported(std::string(state_change::kOwnerWaitedOut)));
}

BOOST_AUTO_TEST_CASE(AnswerAtAnotherAddressProvesTheEndOfTheEarlierIncarnation) {
  node.RegisterBackends({MakeBackend("a@1", "a")});
  node.Run(absl::Seconds(3));
  const Fence before = HighestFence();
  node.unresponsive.insert("a@1");
  node.RegisterBackends({MakeBackend("a@2", "b")});
  node.Run(absl::Milliseconds(100));
  BOOST_TEST(node.Reported(std::string(state_change::kBackendEnded)));
  BOOST_TEST(node.OwnerOf(7) == "a@2");
  BOOST_TEST(node.grants.back().sent.fence > before);
}

// A registration of another writer may name an owner, a later start and any address.
BOOST_AUTO_TEST_CASE(LaterStartThatNobodyAnswersForProvesNoEnd) {
  node.RegisterBackends({MakeBackend("a@1", "a"), MakeBackend("b@1", "b")});
  node.Run(absl::Seconds(3));
  BOOST_REQUIRE(node.OwnerOf(7) == "a@1");
  node.unresponsive.insert("a@2");
  node.RegisterBackends(
      {MakeBackend("a@1", "a"), MakeBackend("a@2", "c"), MakeBackend("b@1", "b")});
  node.Run(absl::Seconds(5));
  BOOST_TEST(!node.Reported(std::string(state_change::kBackendEnded)));
  BOOST_TEST(node.OwnerOf(7) == "a@1");
}

BOOST_AUTO_TEST_CASE(LateRowOfAnEarlierIncarnationProvesNoEnd) {
  BackendDirectory directory{CoordinatorSettings()};
  directory.Update({{MakeBackend("a@2", "a")}, {}}, {Harness::kService},
                   absl::FromUnixSeconds(1000));
  const RegistrationChanges changes = directory.Update(
      {{MakeBackend("a@1", "b")}, {}}, {Harness::kService}, absl::FromUnixSeconds(1000));
  BOOST_TEST(changes.replaced.empty());
  BOOST_TEST(!directory.HasEnded("a@2"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
