// Back ends that owned keys named a limit with their answers, "Server-Limit: 3.4", and eleven nodes
// together went on sending them 10 to 19 requests a second: 39 in four seconds where 25 are
// allowed. The header was counted as not understood and read by nobody. Nothing is turned away over
// such a limit, so that no refusal, no queue and no late answer held any node back either; and a
// node that had read it could not have known what the other ten sent. What settled it, of one node
// and the back ends' own counts:
//
//   up=16.09 not_understood kind=answer_header detail="Server-Limit: 3.4"
//   up=18.45 request_answered backend=i-dd30e13173 status=200 elapsed_ms=67.3
//   second 8 to 12, i-dd30e13173 (4.7 a second named): 16, 19, 12, 16 requests, none turned away
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "dispatcher_harness.h"
#include "limit_judge.h"

namespace ladderstream::forwarding {
namespace {

constexpr double kLimit = 3.4;
constexpr double kAskedPerSecond = 12;
constexpr size_t kNodes = 11;
constexpr Duration kServiceTime = absl::Milliseconds(80);
constexpr Duration kStep = absl::Milliseconds(10);
constexpr Duration kPlayed = absl::Seconds(12);
constexpr uint64_t kSeeds = 5;

/// Nodes that are not in touch with each other, and one back end in need that all of them use.
class Fleet {
 public:
  explicit Fleet(uint64_t seed) : random_(seed), judge_(kLimit) {
    for (size_t i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<DispatcherHarness>());
    }
  }

  void AddBackends(const std::string& service, const std::vector<std::string>& ids) {
    for (const auto& node : nodes_) {
      node->AddBackends(service, ids);
    }
  }
  void Own(const std::string& owner) {
    for (const auto& node : nodes_) {
      node->Own(owner);
    }
  }

  /// Asks at random nodes. "needy" names its limit with each answer; nobody turns anything away.
  void Play(const std::string& target, std::optional<ownership::Key> key) {
    std::poisson_distribution<int> asked(kAskedPerSecond * absl::ToDoubleSeconds(kStep));
    for (Duration played; played < kPlayed; played += kStep) {
      for (const auto& node : nodes_) {
        node->Advance(kStep);
      }
      AnswerDue();
      for (int i = asked(random_); i > 0; --i) {
        nodes_[random_() % kNodes]->Start(target, absl::Seconds(1), key);
      }
      TakeSends();
    }
  }
  double MostOver() const { return judge_.MostOver(); }

 private:
  struct AtWork {
    size_t node = 0;
    SendDecision send;
    Time until;
  };

  void TakeSends() {
    for (size_t i = 0; i < kNodes; ++i) {
      for (const SendDecision& send : nodes_[i]->All<SendDecision>()) {
        nodes_[i]->Sent(send);
        at_work_.push_back({i, send, nodes_[i]->now + kServiceTime});
        if (send.backend == "needy") {
          judge_.OnArrival(i, nodes_[i]->now);
        }
      }
    }
  }

  void AnswerDue() {
    for (; !at_work_.empty() && at_work_.front().until <= nodes_.front()->now;
         at_work_.pop_front()) {
      const AtWork& done = at_work_.front();
      AttemptAnswer answer;
      answer.status = 200;
      answer.load = {.running = 1, .waiting = 0, .slots = 3};
      if (done.send.backend == "needy") {
        answer.limit.rate = kLimit;
        judge_.OnTold(done.node, done.until);
      }
      nodes_[done.node]->dispatcher.OnAttemptAnswer(done.send.attempt, answer, done.until);
    }
  }

  std::mt19937_64 random_;
  allowance::LimitJudge judge_;
  std::vector<std::unique_ptr<DispatcherHarness>> nodes_;
  std::deque<AtWork> at_work_;
};

BOOST_AUTO_TEST_SUITE(rate_limit)

BOOST_AUTO_TEST_CASE(an_owner_that_named_a_limit_gets_no_more_from_all_nodes_together) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(seed);
    fleet.AddBackends("scripts", {"needy"});
    fleet.Own("needy");
    fleet.Play("/scripts/x", 7);
    BOOST_TEST(fleet.MostOver() <= 1, "seed " << seed << ": " << fleet.MostOver());
  }
}

BOOST_AUTO_TEST_CASE(a_back_end_that_owns_no_keys_gets_no_more_either) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(seed);
    fleet.AddBackends("cards", {"needy"});
    fleet.Play("/cards/x", std::nullopt);
    BOOST_TEST(fleet.MostOver() <= 1, "seed " << seed << ": " << fleet.MostOver());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
