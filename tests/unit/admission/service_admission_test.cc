// Simulates load on a service behind the admission control of many nodes, without a network: back
// ends with slots and queues, and callers of two ranks.
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
/// Requests per second that the back ends can serve.
constexpr double kCapacity = kBackends * kSlots / 0.2;
constexpr Duration kTarget = absl::Milliseconds(500);
constexpr Duration kStep = absl::Milliseconds(1);
constexpr double kFloor = 0.3;

struct Tally {
  double offered = 0;
  double admitted = 0;
  double in_time = 0;
};

class Replay {
 public:
  Replay() : nodes_(kNodes, ServiceAdmission(kFloor)), backends_(kBackends) {}

  /// Offers requests of ranks 0 and 1 for `length` and returns the outcome for each rank. `urgent`,
  /// `other`: offered rates as multiples of kCapacity.
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
  bool reports_load = true;

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
    for (int remaining = arrivals(random_); remaining > 0; --remaining) {
      const auto node = static_cast<uint32_t>(random_() % kNodes);
      ++tally.offered;
      if (nodes_[node].Admit(rank, kTarget - kWork, now_)) {
        ++tally.admitted;
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
    catalog::ToldLoad reported;
    reported.running = static_cast<uint32_t>(backend.running.size());
    reported.waiting = static_cast<uint32_t>(backend.waiting.size());
    reported.slots = reports_load ? kSlots : 0;
    nodes_[job.node].OnReportedLoad(reported, kWork, now_);
    nodes_[job.node].OnDone(now_);
    job.tally->in_time += now_ - job.arrival <= kTarget ? 1 : 0;
  }

  std::mt19937_64 random_{7};
  Time now_ = absl::FromUnixSeconds(1000);
  std::vector<ServiceAdmission> nodes_;
  std::vector<Backend> backends_;
};

double Share(double part, double total) { return total > 0 ? part / total : 0; }

double ShareOfAll(const std::vector<Tally>& tallies) {
  return Share(tallies[0].admitted + tallies[1].admitted, tallies[0].offered + tallies[1].offered);
}

BOOST_AUTO_TEST_SUITE(service_admission)

BOOST_AUTO_TEST_CASE(overloaded_service_keeps_answering_in_time) {
  Replay replay;
  replay.Play(0.5, 0, absl::Seconds(3));
  const Tally flood = replay.Play(2, 0, absl::Seconds(8))[0];
  // The capacity suffices for half of the requests; if all were admitted, all would be late.
  BOOST_TEST(Share(flood.in_time, flood.offered) > 0.3);
  BOOST_TEST(replay.node().share() < 1);
  BOOST_TEST((replay.node().Delay(replay.now()) < kTarget));
}

BOOST_AUTO_TEST_CASE(burst_of_low_rank_hardly_affects_high_rank) {
  Replay replay;
  replay.Play(0.4, 0.2, absl::Seconds(3));
  const std::vector<Tally> burst = replay.Play(0.4, 1.6, absl::Seconds(8));
  BOOST_TEST(Share(burst[0].admitted, burst[0].offered) > 0.95);
  BOOST_TEST(Share(burst[1].admitted, burst[1].offered) < 0.6);
  BOOST_TEST(Share(burst[1].admitted, burst[1].offered) > kFloor * ShareOfAll(burst));
}

BOOST_AUTO_TEST_CASE(burst_of_high_rank_leaves_low_rank_its_floor) {
  Replay replay;
  replay.Play(0.4, 0.2, absl::Seconds(3));
  const std::vector<Tally> burst = replay.Play(1.4, 0.2, absl::Seconds(8));
  BOOST_TEST(Share(burst[1].admitted, burst[1].offered) > 0.9 * kFloor * ShareOfAll(burst));
  BOOST_TEST(Share(burst[0].admitted, burst[0].offered) >
             Share(burst[1].admitted, burst[1].offered));
}

BOOST_AUTO_TEST_CASE(nothing_is_rejected_below_capacity) {
  Replay replay;
  const std::vector<Tally> normal_load = replay.Play(0.4, 0.3, absl::Seconds(10));
  BOOST_TEST(normal_load[0].admitted == normal_load[0].offered);
  BOOST_TEST(normal_load[1].admitted == normal_load[1].offered);
  BOOST_TEST(replay.node().level() == ServiceAdmission::kNoLevel);
}

BOOST_AUTO_TEST_CASE(all_requests_are_admitted_after_a_burst) {
  Replay replay;
  replay.Play(0.4, 1.6, absl::Seconds(6));
  BOOST_TEST(replay.node().level() == 1U);
  replay.Play(0.4, 0.1, absl::Seconds(4));
  const std::vector<Tally> normal_load = replay.Play(0.4, 0.1, absl::Seconds(2));
  BOOST_TEST(normal_load[1].admitted == normal_load[1].offered);
}

BOOST_AUTO_TEST_CASE(service_without_reported_load_is_not_limited) {
  Replay replay;
  replay.reports_load = false;
  const Tally flood = replay.Play(2, 0, absl::Seconds(4))[0];
  BOOST_TEST(flood.admitted == flood.offered);
}

BOOST_AUTO_TEST_CASE(requests_without_target_latency_are_never_limited) {
  ServiceAdmission admission(kFloor);
  Time now = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 200; ++i, now += absl::Milliseconds(10)) {
    admission.OnReportedLoad({4, 40, 4}, kWork, now);
    BOOST_TEST(admission.Admit(0, absl::InfiniteDuration(), now));
  }
}

BOOST_AUTO_TEST_CASE(limit_ends_when_load_reports_stop) {
  ServiceAdmission admission(kFloor);
  Time now = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 200; ++i, now += absl::Milliseconds(10)) {
    admission.OnReportedLoad({4, 40, 4}, kWork, now);
    admission.Admit(0, kTarget - kWork, now);
  }
  BOOST_TEST(admission.share() < 1);
  // No request completes any more, so no report says that the queues are empty again.
  bool admitted = false;
  for (int i = 0; i < 400 && !admitted; ++i, now += absl::Milliseconds(10)) {
    admitted = admission.Admit(0, kTarget - kWork, now);
  }
  BOOST_TEST(admitted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::admission
