#include "core/admission/admission_queue.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <vector>

namespace ladderstream::admission {
namespace {

constexpr Duration kServiceTime = absl::Milliseconds(10);
const Time kStart = absl::UnixEpoch();

/// A queue that knows how long its requests take.
AdmissionQueue WarmQueue(uint32_t slots, uint32_t max_queue) {
  AdmissionQueue queue(slots, max_queue);
  queue.Offer({1000, Priority::kNormal, kStart + absl::Seconds(1)}, kStart);
  queue.Finish(kServiceTime, kStart);
  return queue;
}

Ticket MakeTicket(TicketId id, Duration deadline, Priority priority = Priority::kNormal) {
  return {id, priority, kStart + deadline};
}

bool Started(const Changes& changes, TicketId id) {
  return changes.started == std::vector<TicketId>{id} && changes.refused.empty();
}

BOOST_AUTO_TEST_CASE(RunsNoMoreThanTheSlots) {
  AdmissionQueue queue = WarmQueue(2, 10);
  BOOST_TEST(Started(queue.Offer(MakeTicket(1, absl::Seconds(1)), kStart), 1));
  BOOST_TEST(Started(queue.Offer(MakeTicket(2, absl::Seconds(1)), kStart), 2));
  BOOST_TEST(queue.Offer(MakeTicket(3, absl::Seconds(1)), kStart).started.empty());
  BOOST_TEST(queue.running() == 2U);
  BOOST_TEST(Started(queue.Finish(kServiceTime, kStart), 3));
  BOOST_TEST(queue.running() == 2U);
}

BOOST_AUTO_TEST_CASE(StartsByPriorityThenArrival) {
  AdmissionQueue queue = WarmQueue(1, 10);
  queue.Offer(MakeTicket(1, absl::Seconds(1)), kStart);
  queue.Offer(MakeTicket(2, absl::Seconds(1), Priority::kBulk), kStart);
  queue.Offer(MakeTicket(3, absl::Seconds(1), Priority::kNormal), kStart);
  queue.Offer(MakeTicket(4, absl::Seconds(1), Priority::kCritical), kStart);
  queue.Offer(MakeTicket(5, absl::Seconds(1), Priority::kCritical), kStart);
  for (const TicketId next : {4, 5, 3, 2}) {
    BOOST_TEST(Started(queue.Finish(kServiceTime, kStart), next));
  }
}

BOOST_AUTO_TEST_CASE(RefusesAtOnceWhatTheWaitWouldMakeLate) {
  AdmissionQueue queue = WarmQueue(1, 10);
  queue.Offer(MakeTicket(1, absl::Seconds(1)), kStart);
  queue.Offer(MakeTicket(2, absl::Seconds(1)), kStart);
  // Two turns of 10 ms before it, and 10 ms of its own.
  const Changes late = queue.Offer(MakeTicket(3, absl::Milliseconds(29)), kStart);
  BOOST_REQUIRE(late.refused.size() == 1);
  BOOST_TEST((late.refused[0].code == ResultCode::kDeadlineUnreachable));
  BOOST_TEST((late.refused[0].retry_after == absl::Milliseconds(20)));
  const Changes in_time = queue.Offer(MakeTicket(4, absl::Milliseconds(31)), kStart);
  BOOST_TEST(in_time.refused.empty());
}

BOOST_AUTO_TEST_CASE(ShedsTheLowestPriorityFirstWhenFull) {
  AdmissionQueue queue = WarmQueue(1, 2);
  queue.Offer(MakeTicket(1, absl::Seconds(1)), kStart);
  queue.Offer(MakeTicket(2, absl::Seconds(1), Priority::kNormal), kStart);
  queue.Offer(MakeTicket(3, absl::Seconds(1), Priority::kBulk), kStart);
  const Changes bulk = queue.Offer(MakeTicket(4, absl::Seconds(1), Priority::kBulk), kStart);
  BOOST_REQUIRE(bulk.refused.size() == 1);
  BOOST_TEST(bulk.refused[0].id == 4U);
  BOOST_TEST((bulk.refused[0].code == ResultCode::kOverloaded));
  const Changes critical =
      queue.Offer(MakeTicket(5, absl::Seconds(1), Priority::kCritical), kStart);
  BOOST_REQUIRE(critical.refused.size() == 1);
  BOOST_TEST(critical.refused[0].id == 3U);
  BOOST_TEST(queue.waiting() == 2U);
}

BOOST_AUTO_TEST_CASE(GivesUpWaitingWorkAsSoonAsItIsHopeless) {
  AdmissionQueue queue = WarmQueue(1, 10);
  queue.Offer(MakeTicket(1, absl::Seconds(1)), kStart);
  queue.Offer(MakeTicket(2, absl::Milliseconds(100)), kStart);
  // The first takes far longer than usual; at its end nothing useful is left to the second.
  const Changes changes = queue.Finish(absl::Milliseconds(99), kStart + absl::Milliseconds(99));
  BOOST_REQUIRE(changes.refused.size() == 1);
  BOOST_TEST(changes.refused[0].id == 2U);
  BOOST_TEST(changes.started.empty());
}

BOOST_AUTO_TEST_CASE(CancelledWorkLeavesTheQueue) {
  AdmissionQueue queue = WarmQueue(1, 10);
  queue.Offer(MakeTicket(1, absl::Seconds(1)), kStart);
  queue.Offer(MakeTicket(2, absl::Seconds(1)), kStart);
  queue.Offer(MakeTicket(3, absl::Seconds(1)), kStart);
  BOOST_TEST(queue.Cancel(2));
  BOOST_TEST(!queue.Cancel(2));
  BOOST_TEST(!queue.Cancel(1));
  BOOST_TEST(Started(queue.Finish(kServiceTime, kStart), 3));
}

BOOST_AUTO_TEST_CASE(OneBadEstimateDoesNotRefuseForEver) {
  AdmissionQueue queue(1, 10);
  queue.Offer(MakeTicket(1, absl::Seconds(10)), kStart);
  queue.Finish(absl::Seconds(9), kStart);
  BOOST_TEST(Started(queue.Offer(MakeTicket(2, absl::Milliseconds(50)), kStart), 2));
}

BOOST_AUTO_TEST_CASE(MoreSlotsStartWaitingWork) {
  AdmissionQueue queue = WarmQueue(1, 10);
  queue.Offer(MakeTicket(1, absl::Seconds(1)), kStart);
  queue.Offer(MakeTicket(2, absl::Seconds(1)), kStart);
  BOOST_TEST(Started(queue.SetLimits(2, 10, kStart), 2));
}

/// Drives a queue at `load` times its capacity and checks that what it starts is worth starting.
struct OverloadResult {
  int started = 0;
  int late = 0;
  int refused_late = 0;
};

OverloadResult RunOverload(double load, uint32_t seed) {
  constexpr Duration kDeadline = absl::Milliseconds(60);
  constexpr int kRequests = 20000;
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(load / absl::ToDoubleMilliseconds(kServiceTime));
  AdmissionQueue queue = WarmQueue(1, 1000);
  OverloadResult result;
  std::vector<Time> deadlines(kRequests);
  Time now = kStart;
  Time free_at = absl::InfiniteFuture();
  const auto apply = [&](const Changes& changes) {
    for (const TicketId id : changes.started) {
      ++result.started;
      free_at = now + kServiceTime;
      result.late += free_at > deadlines[id] ? 1 : 0;
    }
    for (const Refusal& refusal : changes.refused) {
      result.refused_late += now + kServiceTime > deadlines[refusal.id] ? 1 : 0;
    }
  };
  for (TicketId id = 0; id < kRequests; ++id) {
    const Time arrival = now + absl::Milliseconds(gap(random));
    while (free_at <= arrival) {
      now = free_at;
      free_at = absl::InfiniteFuture();
      apply(queue.Finish(kServiceTime, now));
    }
    now = arrival;
    deadlines[id] = now + kDeadline;
    apply(queue.Offer({id, Priority::kNormal, deadlines[id]}, now));
  }
  return result;
}

BOOST_AUTO_TEST_CASE(UnderOverloadNearlyAllStartedWorkIsInTimeAndRefusalsComeEarly) {
  const OverloadResult result = RunOverload(3.0, 7);
  BOOST_TEST(result.started > 6000);
  BOOST_TEST(result.late * 100 < result.started);
  // A refusal that comes when the request could not have finished any more was held back.
  BOOST_TEST(result.refused_late * 100 < 20000 - result.started);
}

}  // namespace
}  // namespace ladderstream::admission
