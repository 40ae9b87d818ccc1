// Nodes lose the path to all back ends, while callers, the store and the other nodes reach them.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "rig.h"

namespace ladderstream::fleet {
namespace {

/// Longer than a hold, so that keys whose grants are not renewed lose their owners.
constexpr Duration kCutTime = absl::Seconds(8);
/// After the cut, requests may be lost for so long.
constexpr Duration kDetectionTime = absl::Seconds(1);

/// A planned move leaves its keys without an owner for less than this.
constexpr Duration kMoveTime = absl::Milliseconds(500);

/// Follows whether every key has an owner.
class UnownedTime {
 public:
  void Check(Rig& rig) {
    const Time now = EventLoop::Now();
    held_at_ = rig.fleet().AllKeysHeld() ? now : held_at_;
    longest_ = std::max(longest_, now - held_at_);
  }
  Duration longest() const { return longest_; }

 private:
  Time held_at_ = EventLoop::Now();
  Duration longest_;
};

struct Served {
  uint64_t sent = 0;
  uint64_t served = 0;

  double share() const {
    return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
  }
};

/// Of the tries sent to `node` between these times.
Served CountServed(Rig& rig, size_t node, Time from, Time until) {
  Served count;
  for (const Attempt& attempt : rig.fleet().history().attempts) {
    if (attempt.node == node && attempt.sent >= from && attempt.sent < until) {
      ++count.sent;
      count.served += attempt.end == CallEnd::kAnswered && attempt.status / 100 == 2 ? 1 : 0;
    }
  }
  return count;
}

/// Cuts the nodes off from the back ends for kCutTime. Checks that keys keep an owner, and that
/// every node serves at least `least` of its tries.
void CheckServedWhileCutOff(Rig& rig, const std::set<size_t>& nodes, CutMode mode, double least) {
  rig.fleet().CutOffFromBackends(nodes, mode);
  const Time cut = EventLoop::Now();
  UnownedTime unowned;
  rig.Await("the end of the cut", [&] {
    unowned.Check(rig);
    return EventLoop::Now() > cut + kCutTime;
  });
  BOOST_TEST(unowned.longest() < kMoveTime);
  for (size_t node = 0; node < rig.nodes().count(); ++node) {
    const Served count =
        CountServed(rig, node, cut + kDetectionTime, cut + kCutTime - kDetectionTime);
    BOOST_TEST(count.share() >= least, "node " << node << (nodes.contains(node) ? " (cut off)" : "")
                                               << " served " << count.served << " of " << count.sent
                                               << ", wanted " << least);
  }
  rig.fleet().CutOffFromBackends({}, mode);
  rig.Await("the nodes", [&] {
    return rig.fleet().nodes().ready_count() == rig.nodes().count() && rig.fleet().AllKeysHeld();
  });
  rig.Serve(300);
}

size_t NodeOtherThan(size_t node) { return (node + 1) % kNodes; }

BOOST_AUTO_TEST_SUITE(paths)

BOOST_AUTO_TEST_CASE(keys_keep_their_owners_while_the_coordinator_is_cut_off) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  rig.fleet().CutOffFromBackends({coordinator}, CutMode::kSilent);
  const Time cut = EventLoop::Now();
  UnownedTime unowned;
  rig.Await("the end of the cut", [&] {
    unowned.Check(rig);
    return EventLoop::Now() > cut + kCutTime;
  });
  BOOST_TEST(unowned.longest() < kMoveTime);
  for (size_t node = 0; node < rig.nodes().count(); ++node) {
    const Served count = CountServed(rig, node, cut, EventLoop::Now() - kDetectionTime);
    BOOST_TEST((node == coordinator || count.share() >= 0.9),
               "node " << node << " served " << count.served << " of " << count.sent);
  }
  rig.fleet().CutOffFromBackends({}, CutMode::kSilent);
  rig.Serve(300);
}

BOOST_AUTO_TEST_CASE(node_with_silent_connections_serves_through_peers) {
  Rig rig;
  CheckServedWhileCutOff(rig, {NodeOtherThan(rig.Coordinator())}, CutMode::kSilent, 0.9);
  rig.Finish(0.8);
}

BOOST_AUTO_TEST_CASE(node_with_reset_connections_serves_through_peers) {
  Rig rig;
  CheckServedWhileCutOff(rig, {NodeOtherThan(rig.Coordinator())}, CutMode::kReset, 0.9);
  rig.Finish(0.8);
}

BOOST_AUTO_TEST_CASE(node_without_new_connections_serves_through_peers) {
  Rig rig;
  CheckServedWhileCutOff(rig, {NodeOtherThan(rig.Coordinator())}, CutMode::kNewConnections, 0.9);
  rig.Finish(0.8);
}

BOOST_AUTO_TEST_CASE(most_nodes_with_the_coordinator_serve_through_the_last_one) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  CheckServedWhileCutOff(rig, {coordinator, NodeOtherThan(coordinator)}, CutMode::kSilent, 0.8);
  rig.Finish(0.7);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
