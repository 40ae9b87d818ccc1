// Nodes are killed or suspended while a cut link holds up what they have written to back ends.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>
#include <string>

#include "kernel_connections.h"
#include "rig.h"

namespace ladderstream::fleet {
namespace {

/// From the decision on an order until nothing sends it any more: twice the order time-out.
constexpr Duration kOrderLife = absl::Milliseconds(800);

std::set<Endpoint> BackendAddresses(Rig& rig) {
  std::set<Endpoint> addresses;
  for (const ServiceSpec& service : rig.fleet().settings().services) {
    for (const Backend* backend : rig.fleet().backends(service.name)) {
      addresses.insert(backend->address());
    }
  }
  return addresses;
}

/// With no calls under way, what the coordinator writes to back ends are orders.
void StopCalls(Rig& rig) {
  for (const RequestClass& request_class : SmallDeployment().load) {
    rig.fleet().callers().Stop(request_class.name);
  }
  rig.Await("the last answers", [&] { return rig.fleet().callers().pending() == 0; });
}

/// Cuts `node` off from the back ends, kills it once the cut holds up bytes that it has written,
/// ends the cut, and waits until the kernel sends nothing more for it. Returns when it was killed.
Time KillWithBytesOnTheWire(Rig& rig, size_t node) {
  const std::string& source = rig.nodes().nodes()[node].source;
  const std::set<Endpoint> backends = BackendAddresses(rig);
  rig.fleet().Disturb();
  rig.fleet().CutOffFromBackends({node}, CutMode::kSilent);
  rig.Await("bytes on the wire", [&] { return CountUnacknowledgedBytes(source, backends) > 0; });
  rig.nodes().Kill(node);
  const Time killed = EventLoop::Now();
  rig.fleet().CutOffFromBackends({}, CutMode::kSilent);
  rig.Await("the end of what the kernel sends",
            [&] { return CountUnacknowledgedBytes(source, backends) == 0; });
  return killed;
}

/// Of `events`, those that came from `source` at `since` or later.
template <typename Events>
size_t CountFrom(const Events& events, const std::string& source, Time since) {
  return static_cast<size_t>(std::count_if(events.begin(), events.end(), [&](const auto& event) {
    return event.source == source && event.at >= since;
  }));
}

BOOST_AUTO_TEST_SUITE(killed_senders)

// Guards against an order under an old fence that is taken after its coordinator has ended.
BOOST_AUTO_TEST_CASE(orders_of_a_killed_coordinator_do_not_arrive) {
  Rig rig;
  const size_t node = rig.Coordinator();
  StopCalls(rig);
  const Time killed = KillWithBytesOnTheWire(rig, node);
  rig.AwaitCoordinatorOtherThan(node);
  rig.Await("owners", [&] { return rig.fleet().AllKeysHeld(); });
  BOOST_TEST(CountFrom(rig.fleet().history().holds, rig.nodes().nodes()[node].source, killed) ==
             0U);
}

// Guards against a request that runs after its node, and so the connection to its caller, has
// ended.
BOOST_AUTO_TEST_CASE(requests_of_a_killed_node_do_not_arrive) {
  Rig rig;
  const size_t node = (rig.Coordinator() + 1) % kNodes;
  const Time killed = KillWithBytesOnTheWire(rig, node);
  rig.Serve(50);
  BOOST_TEST(CountFrom(rig.fleet().history().arrivals, rig.nodes().nodes()[node].source, killed) ==
             0U);
}

// Guards against an order that is taken long after its coordinator stopped running, and with it the
// time-out that would have reset the connection.
BOOST_AUTO_TEST_CASE(orders_of_a_suspended_coordinator_do_not_arrive_late) {
  Rig rig;
  const size_t node = rig.Coordinator();
  const std::string& source = rig.nodes().nodes()[node].source;
  const std::set<Endpoint> backends = BackendAddresses(rig);
  StopCalls(rig);
  rig.fleet().Disturb();
  rig.fleet().CutOffFromBackends({node}, CutMode::kSilent);
  rig.Await("bytes on the wire", [&] { return CountUnacknowledgedBytes(source, backends) > 0; });
  rig.nodes().Signal(node, SIGSTOP);
  const Time suspended = EventLoop::Now();
  // The kernel repeats what it holds until it gives the connection up.
  rig.Await("the time in which an order may be taken",
            [&] { return EventLoop::Now() > suspended + kOrderLife; });
  rig.fleet().CutOffFromBackends({}, CutMode::kSilent);
  rig.Await("the end of what the kernel sends",
            [&] { return CountUnacknowledgedBytes(source, backends) == 0; });
  rig.AwaitCoordinatorOtherThan(node);
  rig.Await("owners", [&] { return rig.fleet().AllKeysHeld(); });
  BOOST_TEST(CountFrom(rig.fleet().history().holds, source, suspended) == 0U);
  rig.nodes().Signal(node, SIGCONT);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
