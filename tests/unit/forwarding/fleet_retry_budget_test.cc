// The sum of all nodes' retries stays within the budget while requests fail and callers move
// between nodes.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "core/allowance/retry_budget.h"

namespace ladderstream::forwarding {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 180;
constexpr Duration kWindow = absl::Seconds(10);
/// Shares of the fleet's budget that a node uses, as in Dispatcher.
constexpr double kRatioInUse = 0.85;
constexpr double kSlackInUse = 0.8;
constexpr uint64_t kSeeds = 10;

enum class Callers {
  kStay,
  /// Some nodes have many times as many callers as others.
  kUneven,
  /// While requests fail, the callers of half of the nodes move to the other half.
  kMove,
  /// Three in five nodes are killed and restart without state.
  kFleeFromKilledNodes,
};

struct FleetScenario {
  Callers callers = Callers::kStay;
  size_t nodes = 70;
  double requests_per_second = 1100;
  double failure_share = 0.95;
  Duration failing = absl::Milliseconds(8500);
  uint64_t seed = 1;
};

class Fleet {
 public:
  explicit Fleet(const FleetScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        budgets_(scenario.nodes),
        started_(scenario.nodes, kStart),
        weights_(scenario.nodes, 1) {
    std::uniform_real_distribution<double> moment(0, 8);
    fail_at_ = kStart + absl::Seconds(12);
    move_at_ = fail_at_ + absl::Seconds(moment(random_));
    if (scenario.callers == Callers::kUneven) {
      std::uniform_real_distribution<double> weight(0.1, 4);
      std::generate(weights_.begin(), weights_.end(), [&] { return weight(random_); });
    }
  }

  /// Returns the largest share of the fleet's budget that was used in any window.
  double Run() {
    std::exponential_distribution<double> gap(scenario_.requests_per_second);
    while (now_ < kStart + absl::Seconds(32)) {
      now_ += absl::Seconds(gap(random_));
      MoveCallers();
      std::discrete_distribution<size_t> draw(weights_.begin(), weights_.end());
      Arrive(draw(random_));
    }
    return max_usage_;
  }

 private:
  void MoveCallers() {
    if (scenario_.callers == Callers::kMove) {
      const bool moved = now_ > move_at_;
      for (size_t node = 0; node < scenario_.nodes; ++node) {
        weights_[node] = moved == (node < scenario_.nodes / 2) ? 0.05 : 1;
      }
    } else if (scenario_.callers == Callers::kFleeFromKilledNodes) {
      const bool down = now_ > move_at_ && now_ < move_at_ + absl::Milliseconds(1500);
      for (size_t node = 0; node < scenario_.nodes * 3 / 5; ++node) {
        weights_[node] = down ? 0 : 1;
        if (down && started_[node] < move_at_) {
          budgets_[node] = allowance::RetryBudget();
          started_[node] = move_at_ + absl::Milliseconds(1500);
        }
      }
    }
  }

  void Arrive(size_t node) {
    allowance::RetryBudget& budget = budgets_[node];
    const allowance::RetryLimits limits{kRatio * kRatioInUse,
                                        kSlack * kSlackInUse / static_cast<double>(scenario_.nodes),
                                        kWindow, started_[node]};
    budget.AddRequest(limits, now_);
    requests_.push_back(now_);
    constexpr int kMaxRetries = 2;
    std::bernoulli_distribution fails(scenario_.failure_share);
    for (int retry = 0; retry < kMaxRetries && Failing() && fails(random_); ++retry) {
      if (!budget.Allows(limits, 1, now_)) {
        return;
      }
      budget.Charge(now_);
      retries_.push_back(now_);
      RecordUsage();
    }
  }

  bool Failing() const { return now_ > fail_at_ && now_ < fail_at_ + scenario_.failing; }

  static double CountIn(const std::vector<Time>& times, Time start, Time end) {
    return static_cast<double>(std::distance(std::upper_bound(times.begin(), times.end(), start),
                                             std::upper_bound(times.begin(), times.end(), end)));
  }

  /// The requests count in this window, half a window earlier or a window earlier.
  void RecordUsage() {
    double requests = 0;
    for (const double back : {0.0, 0.5, 1.0}) {
      const Time end = now_ - back * kWindow;
      requests = std::max(requests, CountIn(requests_, end - kWindow, end));
    }
    const double used = CountIn(retries_, now_ - kWindow, now_) / (kRatio * requests + kSlack);
    max_usage_ = std::max(max_usage_, used);
  }

  static constexpr Time kStart = absl::UnixEpoch();

  const FleetScenario scenario_;
  std::mt19937_64 random_;
  std::vector<allowance::RetryBudget> budgets_;
  std::vector<Time> started_;
  std::vector<double> weights_;
  std::vector<Time> requests_;
  std::vector<Time> retries_;
  Time now_ = kStart;
  Time fail_at_;
  Time move_at_;
  double max_usage_ = 0;
};

double MaxBudgetUsage(FleetScenario scenario) {
  double most = 0;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    most = std::max(most, Fleet(scenario).Run());
  }
  BOOST_TEST_MESSAGE("largest share of the budget used: " << most);
  return most;
}

FleetScenario With(Callers callers) {
  FleetScenario scenario;
  scenario.callers = callers;
  return scenario;
}

BOOST_AUTO_TEST_SUITE(fleet_retry_budget)

// If a node could save up the retries of a full window, these would use 1.34 and 1.18 of the
// budget.
BOOST_AUTO_TEST_CASE(callers_that_move_while_requests_fail_keep_the_bound) {
  BOOST_TEST(MaxBudgetUsage(With(Callers::kMove)) <= 1);
  BOOST_TEST(MaxBudgetUsage(With(Callers::kFleeFromKilledNodes)) <= 1);
}

BOOST_AUTO_TEST_CASE(a_long_failure_keeps_the_bound) {
  FleetScenario scenario = With(Callers::kMove);
  scenario.failing = absl::Seconds(14);
  BOOST_TEST(MaxBudgetUsage(scenario) <= 1);
}

BOOST_AUTO_TEST_CASE(few_nodes_with_few_requests_keep_the_bound) {
  FleetScenario scenario = With(Callers::kMove);
  scenario.nodes = 11;
  scenario.requests_per_second = 70;
  BOOST_TEST(MaxBudgetUsage(scenario) <= 1);
}

// Shows that the division of the budget into shares per node is not the limiting factor.
BOOST_AUTO_TEST_CASE(uneven_demand_can_use_as_much_as_even_demand) {
  const double even = MaxBudgetUsage(With(Callers::kStay));
  BOOST_TEST(even > 0.8);
  BOOST_TEST(MaxBudgetUsage(With(Callers::kUneven)) > even - 0.03);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
