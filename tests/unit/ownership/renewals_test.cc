// Tests of renewals for many back ends: orders per step, renewal intervals, and priority over
// balancing.
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <map>

#include "coordinator_harness.h"
#include "core/ownership/belief_events.h"

namespace ladderstream::ownership {
namespace {

const Time kStart = absl::UnixEpoch();

struct Holding {
  explicit Holding(const std::vector<std::string>& ids, const CoordinatorSettings& settings = {})
      : node(&store, 1, 1, kStart, settings) {
    node.Settle(ids);
  }
  ModelStore store;
  Harness node;
};

std::vector<std::string> ManyIds(size_t count) {
  std::vector<std::string> ids(count);
  for (size_t i = 0; i < count; ++i) {
    ids[i] = absl::StrCat("b", 1000 + i);
  }
  return ids;
}

/// The work per answer must not grow with the number of ranges, nor the work per step with the
/// number of orders. Otherwise 385 owners of 1,182 ranges keep half a core busy until the lease
/// expires.
BOOST_AUTO_TEST_CASE(OrdersPerStepAreLimited) {
  const std::vector<std::string> ids = ManyIds(300);
  ModelStore store;
  Harness node(&store, 1, 1, kStart);
  // Answers would cause the next step at the same time.
  node.unresponsive.insert(ids.begin(), ids.end());
  node.Register(ids);
  while (node.grants.size() < ids.size()) {
    node.Run(absl::Milliseconds(1));
  }
  std::map<Time, size_t> sent;
  for (const At<GrantAction>& grant : node.grants) {
    ++sent[grant.at];
  }
  for (const auto& [at, count] : sent) {
    BOOST_TEST(count <= 32U);
  }
  BOOST_TEST((node.grants[ids.size() - 1].at - node.grants.front().at < absl::Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(AnsweredRenewalsDoNotCauseAStep) {
  Holding holding({"a", "b"});
  Harness& node = holding.node;
  node.unresponsive.insert("a");
  const size_t before = node.grants.size();
  while (node.grants.size() == before || node.grants.back().sent.backend != "a") {
    node.Run(absl::Milliseconds(1));
  }
  const Time wake = node.coordinator.NextWake();
  node.coordinator.OnOrderReply(node.grants.back().sent.call, {OrderStatus::kDone, ""}, node.now);
  BOOST_TEST((node.coordinator.NextWake() == wake));
}

BOOST_AUTO_TEST_CASE(ManyRangesAreRenewedLessOftenButWithinTheirHold) {
  CoordinatorSettings settings;
  settings.renewals_per_second = 10;
  const std::vector<std::string> ids = ManyIds(60);
  Holding holding(ids, settings);
  Harness& node = holding.node;
  const Time settled = node.now;
  node.Run(absl::Seconds(20));
  std::map<std::string, Time> last;
  for (const At<GrantAction>& grant : node.GrantsSince(settled)) {
    const auto before = last.find(grant.sent.backend);
    if (before != last.end()) {
      BOOST_TEST((grant.at - before->second <= settings.hold * 0.3 + absl::Milliseconds(1)));
      BOOST_TEST((grant.at - before->second >= settings.hold_renewal));
    }
    last[grant.sent.backend] = grant.at;
  }
  BOOST_TEST(last.size() == ids.size());
}

BOOST_AUTO_TEST_CASE(SuccessorsBalanceOnlyAfterTheOwnersHaveAnswered) {
  Holding holding({"a", "b"});
  const Time taken = holding.node.now;
  Harness successor(&holding.store, 2, 2, taken);
  partition::Script().next = {{{100, 199}, "b"}};
  successor.unresponsive = {"a"};
  successor.Register({"a", "b"});
  successor.coordinator.OnCoordinatorEnded(1, taken);
  while (!successor.Reported(state_change::kLeaseAcquired)) {
    successor.Run(absl::Milliseconds(1));
  }
  const Time acquired = successor.now;
  successor.Run(absl::Milliseconds(300));
  BOOST_TEST(!successor.Reported(state_change::kMoveStarted));
  BOOST_TEST((successor.now - acquired >= absl::Milliseconds(300)));
  successor.Run(absl::Milliseconds(800));
  BOOST_TEST(successor.Reported(state_change::kMoveStarted));
}

}  // namespace
}  // namespace ladderstream::ownership
