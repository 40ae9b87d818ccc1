// The whole way of the news that an owner of keys leaves: store, coordinator, the other nodes, and
// what they choose.
//
// The store cut the coordinator off just as an owner left. Its word counted for another 1.5 s; then
// 283 of 295 nodes heard the news by watches of their own, up to 1.65 s late, and each gave the
// owner 1.8 s more, counted from hearing, to let its keys move. The coordinator could not move them
// ("belief=store_write_failed ... no answer from the store within <time-out>"), so requests reached
// the owner 3.06 s after the store had taken that it leaves, with 3 s allowed ("backends_changed
// ... draining=230 ... cause=store" at 21.48 s, the requests at 23.11 s, the leave at 20.05 s).
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "core/forwarding/dispatcher.h"
#include "dispatcher_harness.h"
#include "relay_world.h"

namespace ladderstream {
namespace {

using forwarding::Dispatcher;
using forwarding::DispatcherHarness;
using forwarding::SendDecision;
using membership::World;
using membership::WorldNode;

constexpr uint64_t kNodes = 6;
constexpr char kOwner[] = "owner";
/// What the settings of the harness allow.
constexpr Duration kDrainTime = absl::Seconds(2);
/// Bounds of time hold again this long after open connections fell silent.
constexpr Duration kContact = absl::Seconds(3);

/// Nodes that hear of back ends from the coordinator and choose owners by what they heard.
class Fleet {
 public:
  /// Without standbys nobody but the coordinator hears of a change at once.
  Fleet() : world_(kNodes, {.standbys = 0}) {
    world_.store.Put("backends", kOwner);
    world_.store.Put("backends", "other");
    world_.Run(absl::Seconds(2));
    for (const auto& [number, node] : world_.nodes) {
      routers_[number] = MakeRouter(*node);
    }
  }

  World& world() { return world_; }
  void OwnerLeaves() {
    world_.store.Remove("backends", kOwner);
    left_ = world_.now;
  }
  /// Lets callers ask for a key at every node but the coordinator's; gives how long after it left
  /// the owner last got a request.
  Duration LastSend(Duration watched) {
    Duration last = -absl::InfiniteDuration();
    for (const Time end = world_.now + watched; world_.now < end;) {
      world_.Run(World::kStep);
      for (const auto& [number, node] : world_.nodes) {
        if (number != World::kCoordinator && AsksOwner(*node, routers_.at(number).get())) {
          last = world_.now - left_;
        }
      }
    }
    return last;
  }

 private:
  std::unique_ptr<Dispatcher> MakeRouter(WorldNode& node) {
    auto router = std::make_unique<Dispatcher>(DispatcherHarness::DefaultSettings());
    router->SetConfiguration(
        std::make_shared<catalog::Configuration>(DispatcherHarness::DefaultConfiguration()),
        world_.now);
    TellBackends(node, router.get());
    auto map = std::make_shared<ownership::OwnershipMap>();
    map->version = {1, 1};
    map->services["scripts"].assignments = {{{0, ownership::kLastKey}, kOwner, 1}};
    router->SetMapConfirmed(absl::InfiniteFuture());
    router->SetOwnership(std::move(map), world_.now);
    return router;
  }

  void TellBackends(WorldNode& node, Dispatcher* router) {
    const Time changed_after = node.backends.changed_after();
    if (node.backends.TakeChangedKeys().empty()) {
      return;
    }
    std::vector<catalog::Backend> backends;
    for (const auto& [key, row] : node.backends.rows()) {
      backends.push_back(DispatcherHarness::MakeBackend(key, "scripts"));
    }
    router->ChangeBackends(told_[router].Replace(backends),
                           {node.backends.RecentlyFailed(world_.now), changed_after}, world_.now);
  }

  /// Whether the node sends a request for a key to the owner now; it is answered at once.
  bool AsksOwner(WorldNode& node, Dispatcher* router) {
    const Time now = world_.now;
    TellBackends(node, router);
    router->OnTick(now);
    router->Start({"id", "h.example", "/scripts/1", 7, now, now + absl::Milliseconds(50)}, now);
    bool asked = false;
    for (const forwarding::RequestDecision& decided : router->TakeDecisions()) {
      if (const auto* send = std::get_if<SendDecision>(&decided.decision)) {
        asked = asked || send->backend == kOwner;
        router->OnSent(send->attempt, now);
        forwarding::AttemptAnswer answer;
        answer.status = 200;
        router->OnAttemptAnswer(send->attempt, answer, now);
      }
    }
    router->TakeDecisions();
    return asked;
  }

  World world_;
  /// What each of the routers was told.
  std::map<const Dispatcher*, catalog::BackendSet> told_;
  std::map<uint64_t, std::unique_ptr<Dispatcher>> routers_;
  Time left_;
};

BOOST_AUTO_TEST_CASE(an_owner_that_leaves_while_its_coordinator_is_cut_off_gets_nothing_late) {
  Fleet fleet;
  BOOST_TEST((fleet.LastSend(absl::Seconds(1)) > absl::ZeroDuration()));
  fleet.world().coordinator().cut = true;
  fleet.OwnerLeaves();
  const Duration last = fleet.LastSend(absl::Seconds(5));
  BOOST_TEST((last <= kDrainTime), "last request after " << absl::FormatDuration(last));
}

BOOST_AUTO_TEST_CASE(an_owner_that_left_unheard_gets_nothing_once_it_is_heard) {
  // The coordinator's watch is dropped without a sign, while its other calls are answered; its next
  // watch, some 6 s later, tells that the owner left long ago.
  Fleet fleet;
  fleet.world().coordinator().watches_dropped = true;
  fleet.OwnerLeaves();
  const auto heard = [](const WorldNode& node) { return !node.backends.rows().contains(kOwner); };
  fleet.world().Run(absl::Seconds(3));
  fleet.world().coordinator().watches_dropped = false;
  BOOST_TEST((fleet.world().RunUntil(heard, absl::Seconds(9)) < absl::Seconds(9)));
  BOOST_TEST((fleet.LastSend(absl::Seconds(3)) < absl::ZeroDuration()));
}

// Guards against a coordinator that confirms to all nodes, by renewals of its lease, a copy that a
// dead watch keeps from changing.
BOOST_AUTO_TEST_CASE(an_owner_that_leaves_while_the_watches_are_dead_gets_nothing_late) {
  Fleet fleet;
  fleet.world().store.LoseWatches();
  fleet.OwnerLeaves();
  const Duration last = fleet.LastSend(absl::Seconds(8));
  BOOST_TEST((last <= kContact), "last request after " << absl::FormatDuration(last));
}

BOOST_AUTO_TEST_CASE(an_owner_that_leaves_in_calm_serves_on_while_its_keys_move) {
  Fleet fleet;
  fleet.OwnerLeaves();
  const Duration last = fleet.LastSend(absl::Seconds(4));
  BOOST_TEST((last >= absl::Milliseconds(300)),
             "last request after " << absl::FormatDuration(last));
  BOOST_TEST((last <= kDrainTime));
}

}  // namespace
}  // namespace ladderstream
