// Replays of load on a service through the admission of many nodes, without a network: back ends
// with slots and queues, and callers of two ranks.
#include "core/admission/service_admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <queue>
#include <random>
#include <vector>

namespace ladderstream::admission {
namespace {

constexpr uint32_t kNodes = 20;
constexpr uint32_t kBackends = 20;
constexpr uint32_t kSlots = 4;
constexpr Duration kWork = absl::Milliseconds(200);
/// Requests a second that the back ends bear.
constexpr double kCapacity = kBackends * kSlots / 0.2;
constexpr Duration kTarget = absl::Milliseconds(500);
constexpr Duration kStep = absl::Milliseconds(1);
constexpr double kFloor = 0.3;

struct Tally {
  double asked = 0;
  double let_through = 0;
  double in_time = 0;
};

class Replay {
 public:
  Replay() : nodes_(kNodes, ServiceAdmission(kFloor)), backends_(kBackends) {}

  /// Requests a second of the ranks 0 and 1, over the capacity, for `length`; what became of them.
  std::vector<Tally> Play(double urgent, double other, Duration length) {
    std::vector<Tally> tallies(2);
    for (const Time end = now_ + length; now_ < end; now_ += kStep) {
      Arrive(0, urgent, tallies[0]);
      Arrive(1, other, tallies[1]);
      Work();
    }
    return tallies;
  }

  const ServiceAdmission& node() const { return nodes_.front(); }
  Time now() const { return now_; }
  bool tells_load = true;

 private:
  struct Job {
    Time arrival;
    Time ends;
    uint32_t node = 0;
    Tally* tally = nullptr;
  };
  struct Backend {
    std::deque<Job> running;
    std::deque<Job> waiting;
  };

  void Arrive(uint32_t rank, double load, Tally& tally) {
    std::poisson_distribution<int> arrivals(load * kCapacity * absl::ToDoubleSeconds(kStep));
    for (int left = arrivals(random_); left > 0; --left) {
      const auto node = static_cast<uint32_t>(random_() % kNodes);
      ++tally.asked;
      if (nodes_[node].Admit(rank, kTarget - kWork, now_)) {
        ++tally.let_through;
        backends_[random_() % kBackends].waiting.push_back({now_, {}, node, &tally});
      }
    }
  }

  void Work() {
    for (Backend& backend : backends_) {
      while (!backend.running.empty() && backend.running.front().ends <= now_) {
        const Job job = backend.running.front();
        backend.running.pop_front();
        Answer(backend, job);
      }
      while (!backend.waiting.empty() && backend.running.size() < kSlots) {
        backend.running.push_back(backend.waiting.front());
        backend.running.back().ends = now_ + kWork;
        backend.waiting.pop_front();
      }
    }
  }

  void Answer(const Backend& backend, const Job& job) {
    catalog::ToldLoad told;
    told.running = static_cast<uint32_t>(backend.running.size());
    told.waiting = static_cast<uint32_t>(backend.waiting.size());
    told.slots = tells_load ? kSlots : 0;
    nodes_[job.node].OnTold(told, kWork, now_);
    nodes_[job.node].OnDone(now_);
    job.tally->in_time += now_ - job.arrival <= kTarget ? 1 : 0;
  }

  std::mt19937_64 random_{7};
  Time now_ = absl::FromUnixSeconds(1000);
  std::vector<ServiceAdmission> nodes_;
  std::vector<Backend> backends_;
};

double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }

double ShareOfAll(const std::vector<Tally>& tallies) {
  return Share(tallies[0].let_through + tallies[1].let_through,
               tallies[0].asked + tallies[1].asked);
}

BOOST_AUTO_TEST_SUITE(service_admission)

BOOST_AUTO_TEST_CASE(an_overloaded_service_goes_on_serving_in_time) {
  Replay replay;
  replay.Play(0.5, 0, absl::Seconds(3));
  const Tally flood = replay.Play(2, 0, absl::Seconds(8))[0];
  // Half of them is all that it bears; taking in all of them, nobody is served in time.
  BOOST_TEST(Share(flood.in_time, flood.asked) > 0.3);
  BOOST_TEST(replay.node().share() < 1);
  BOOST_TEST((replay.node().Delay(replay.now()) < kTarget));
}

BOOST_AUTO_TEST_CASE(a_burst_of_the_less_urgent_costs_the_urgent_next_to_nothing) {
  Replay replay;
  replay.Play(0.4, 0.2, absl::Seconds(3));
  const std::vector<Tally> burst = replay.Play(0.4, 1.6, absl::Seconds(8));
  BOOST_TEST(Share(burst[0].let_through, burst[0].asked) > 0.95);
  BOOST_TEST(Share(burst[1].let_through, burst[1].asked) < 0.6);
  BOOST_TEST(Share(burst[1].let_through, burst[1].asked) > kFloor * ShareOfAll(burst));
}

BOOST_AUTO_TEST_CASE(a_burst_of_the_urgent_leaves_the_others_their_floor) {
  Replay replay;
  replay.Play(0.4, 0.2, absl::Seconds(3));
  const std::vector<Tally> burst = replay.Play(1.4, 0.2, absl::Seconds(8));
  BOOST_TEST(Share(burst[1].let_through, burst[1].asked) > 0.9 * kFloor * ShareOfAll(burst));
  BOOST_TEST(Share(burst[0].let_through, burst[0].asked) >
             Share(burst[1].let_through, burst[1].asked));
}

BOOST_AUTO_TEST_CASE(while_there_is_room_nobody_is_turned_away) {
  Replay replay;
  const std::vector<Tally> calm = replay.Play(0.4, 0.3, absl::Seconds(10));
  BOOST_TEST(calm[0].let_through == calm[0].asked);
  BOOST_TEST(calm[1].let_through == calm[1].asked);
  BOOST_TEST(replay.node().level() == ServiceAdmission::kNoLevel);
}

BOOST_AUTO_TEST_CASE(after_a_burst_all_are_let_through_again) {
  Replay replay;
  replay.Play(0.4, 1.6, absl::Seconds(6));
  BOOST_TEST(replay.node().level() == 1U);
  replay.Play(0.4, 0.1, absl::Seconds(4));
  const std::vector<Tally> calm = replay.Play(0.4, 0.1, absl::Seconds(2));
  BOOST_TEST(calm[1].let_through == calm[1].asked);
}

BOOST_AUTO_TEST_CASE(a_service_that_tells_no_load_is_not_limited) {
  Replay replay;
  replay.tells_load = false;
  const Tally flood = replay.Play(2, 0, absl::Seconds(4))[0];
  BOOST_TEST(flood.let_through == flood.asked);
}

BOOST_AUTO_TEST_CASE(without_a_target_latency_nothing_is_too_long) {
  ServiceAdmission admission(kFloor);
  Time now = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 200; ++i, now += absl::Milliseconds(10)) {
    admission.OnTold({4, 40, 4}, kWork, now);
    BOOST_TEST(admission.Admit(0, absl::InfiniteDuration(), now));
  }
}

BOOST_AUTO_TEST_CASE(news_that_end_limit_nobody_for_long) {
  ServiceAdmission admission(kFloor);
  Time now = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 200; ++i, now += absl::Milliseconds(10)) {
    admission.OnTold({4, 40, 4}, kWork, now);
    admission.Admit(0, kTarget - kWork, now);
  }
  BOOST_TEST(admission.share() < 1);
  // Nothing was let through, so nothing is answered, and nothing tells that the queues are gone.
  bool let_through = false;
  for (int i = 0; i < 400 && !let_through; ++i, now += absl::Milliseconds(10)) {
    let_through = admission.Admit(0, kTarget - kWork, now);
  }
  BOOST_TEST(let_through);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::admission
