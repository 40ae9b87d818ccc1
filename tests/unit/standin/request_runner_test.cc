// What a back end stand-in runs, refuses and records.
#include "standin/backend/request_runner.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "standin/support/boot_time.h"

namespace ladderstream::standin {
namespace {

constexpr char kToken[] = "1.1.3";

RunRequest RequestFor(const std::string& id) {
  return RunRequest{{"scripts", "a", "book", id, id, kToken}};
}

LeaseResponse LeaseOf(Duration lease) {
  LeaseResponse response;
  response.result = ResultCode::kOk;
  response.lease = lease;
  response.grants_included = true;
  response.grants = {{1, 1, 5}, {{{ServiceName("scripts"), RangeIndex(0), ""}, {1, 1, 3}, {}}}};
  return response;
}

struct Fixture {
  explicit Fixture(Duration service_time = absl::Milliseconds(1))
      : runner(Settings(service_time), &record) {}

  static RunnerSettings Settings(Duration service_time) {
    RunnerSettings settings;
    settings.range_count = 1;
    settings.slots = 1;
    settings.queue_limit = 1;
    settings.service_time = service_time;
    return settings;
  }

  std::vector<std::string> RecordedKinds() const {
    std::vector<std::string> kinds;
    const nlohmann::json events = record.Read(0).at("events");
    for (const auto& event : events) {
      if (event.contains("request_id")) {
        kinds.push_back(event.at("kind").get<std::string>());
      }
    }
    return kinds;
  }

  void AwaitLoad(uint32_t running, uint32_t queued) const {
    while (true) {
      const LoadSample load = runner.Load(absl::ZeroDuration());
      if (load.running == running && load.queued == queued) {
        return;
      }
      std::this_thread::yield();
    }
  }

  EffectRecord record{"b1", 1, ""};
  RequestRunner runner;
};

BOOST_AUTO_TEST_SUITE(request_runner)

BOOST_AUTO_TEST_CASE(runs_under_its_grant_and_records_the_effect) {
  Fixture fixture;
  BOOST_TEST(fixture.runner.Run(RequestFor("r")).not_run == "wrong-grant");
  fixture.runner.TakeLease(LeaseOf(absl::Seconds(60)), BootTimeNow());
  const RunResult result = fixture.runner.Run(RequestFor("r"));
  BOOST_TEST(result.not_run.empty());
  const std::vector<std::string> expected = {"started", "finished"};
  BOOST_TEST(fixture.RecordedKinds() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(lease_that_ended_during_the_work_leaves_no_effect) {
  Fixture fixture(absl::Milliseconds(40));
  fixture.runner.TakeLease(LeaseOf(absl::Milliseconds(20)), BootTimeNow());
  BOOST_TEST(fixture.runner.Run(RequestFor("r")).not_run == "wrong-grant");
  for (const std::string& kind : fixture.RecordedKinds()) {
    BOOST_TEST(kind != "finished");
  }
}

BOOST_AUTO_TEST_CASE(passed_deadline_is_refused_before_the_work) {
  Fixture fixture;
  fixture.runner.TakeLease(LeaseOf(absl::Seconds(60)), BootTimeNow());
  RunRequest request = RequestFor("r");
  request.deadline = BootTimeNow();
  BOOST_TEST(fixture.runner.Run(request).not_run == "expired");
  BOOST_TEST(fixture.RecordedKinds().empty());
}

BOOST_AUTO_TEST_CASE(queued_work_can_be_cancelled_and_more_is_shed) {
  Fixture fixture(absl::Milliseconds(300));
  fixture.runner.TakeLease(LeaseOf(absl::Seconds(60)), BootTimeNow());
  std::thread first([&] { BOOST_TEST(fixture.runner.Run(RequestFor("1")).not_run.empty()); });
  fixture.AwaitLoad(1, 0);
  std::thread second(
      [&] { BOOST_TEST(fixture.runner.Run(RequestFor("2")).not_run == "cancelled"); });
  fixture.AwaitLoad(1, 1);
  BOOST_TEST(fixture.runner.Run(RequestFor("3")).not_run == "shed");
  BOOST_TEST(!fixture.runner.Cancel("1"));
  BOOST_TEST(fixture.runner.Cancel("2"));
  second.join();
  first.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::standin
