// Operators change the configuration through their typed calls.
#include "operators.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr int kAccepted = 0;
constexpr int kRefused = 1;
constexpr int kPending = 4;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

/// A service without back ends: its route is either not there (404) or refuses (503).
constexpr char kArchiveHost[] = "archive.example";
constexpr char kArchivePath[] = "/archive/";

std::vector<std::string> CreateArchiveRoute() {
  return {"create-route",
          "--name=archive",
          absl::StrCat("--host=", kArchiveHost),
          absl::StrCat("--path_prefix=", kArchivePath),
          "--targets=archive",
          "--any_revision"};
}

bool EveryNodeAnswers(Rig& rig, int status) {
  for (size_t node = 0; node < rig.nodes().count(); ++node) {
    if (rig.StatusAt(node, kArchiveHost, kArchivePath) != status) {
      return false;
    }
  }
  return true;
}

void AwaitInForce(Rig& rig, const std::string& what, int status) {
  rig.Await(
      what, [&] { return EveryNodeAnswers(rig, status); },
      rig.fleet().settings().bounds.config_apply);
}

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(racing_changes_have_one_winner) {
  Rig rig;
  Operators operators(&rig);
  constexpr int kRounds = 4;
  constexpr size_t kRacers = 3;
  for (int round = 1; round <= kRounds; ++round) {
    const uint64_t before = operators.Revision();
    for (size_t racer = 0; racer < kRacers; ++racer) {
      operators.Start(absl::StrCat("racer-", round, "-", racer), racer % kOperatorEntrances,
                      {"update-route", "--name=route-cards",
                       absl::StrCat("--priority=", 10 * static_cast<size_t>(round) + racer),
                       absl::StrCat("--expected_revision=", before)});
    }
    int winners = 0;
    for (size_t racer = 0; racer < kRacers; ++racer) {
      const CommandResult result = operators.Wait(absl::StrCat("racer-", round, "-", racer));
      const bool won = result.exit_code == kAccepted;
      winners += won ? 1 : 0;
      BOOST_TEST((won || result.exit_code == kRefused));
      const auto code = static_cast<ResultCode>(result.output.at("code").get<uint32_t>());
      BOOST_TEST((won || code == ResultCode::kRevisionConflict));
    }
    BOOST_TEST(winners == 1);
    BOOST_TEST(operators.Revision() == before + 1);
  }
  rig.Serve(100);
  rig.Finish(0.97);
}

BOOST_AUTO_TEST_CASE(change_whose_answer_was_lost_is_resolved) {
  Rig rig;
  Operators operators(&rig);
  const uint64_t before = operators.Revision();
  const std::vector<std::string> change = {"create-service", "--name=archive",
                                           absl::StrCat("--expected_revision=", before),
                                           "--operation_id=lost"};
  operators.SetStoreFaults({.lost_answers = 1});
  const CommandResult first = operators.Run(0, change);
  BOOST_TEST(first.exit_code == kAccepted);
  BOOST_TEST(first.revision() == before + 1);
  operators.SetStoreFaults({});
  // Sent once more under its id, elsewhere, it changes nothing.
  const CommandResult again = operators.Run(1, change);
  BOOST_TEST(again.exit_code == kAccepted);
  BOOST_TEST(again.revision() == before + 1);
  BOOST_TEST(operators.Revision() == before + 1);
  rig.Finish(0.97);
}

BOOST_AUTO_TEST_CASE(change_that_is_pending_is_decided_later) {
  Rig rig;
  Operators operators(&rig);
  const uint64_t before = operators.Revision();
  const std::vector<std::string> change = {"create-service", "--name=archive",
                                           absl::StrCat("--expected_revision=", before),
                                           "--operation_id=late", "--timeout=3s"};
  operators.SetStoreFaults({.late_writes = 1, .late_by = absl::Seconds(5)});
  BOOST_TEST(operators.Run(0, change).exit_code == kPending);
  operators.SetStoreFaults({});
  const CommandResult decided = operators.Run(1, change);
  BOOST_TEST(decided.exit_code == kAccepted);
  BOOST_TEST(decided.revision() == before + 1);
  rig.Serve(300);
  BOOST_TEST(operators.Revision() == before + 1);
  rig.Finish(0.97);
}

BOOST_AUTO_TEST_CASE(configuration_is_in_force_everywhere_and_never_reverts) {
  Rig rig;
  Operators operators(&rig);
  BOOST_TEST(EveryNodeAnswers(rig, kNotFound));
  BOOST_REQUIRE(
      operators.Run(0, {"create-service", "--name=archive", "--any_revision"}).exit_code ==
      kAccepted);
  BOOST_REQUIRE(operators.Run(0, CreateArchiveRoute()).exit_code == kAccepted);
  AwaitInForce(rig, "the new route", kServiceUnavailable);
  BOOST_REQUIRE(operators.Run(1, {"delete-route", "--name=archive", "--any_revision"}).exit_code ==
                kAccepted);
  AwaitInForce(rig, "the end of the route", kNotFound);
  // A node that starts empty while the store is down takes the newest version from the others.
  rig.fleet().Disturb();
  rig.fleet().store().SetFaults({.outage = StoreOutage::kUnavailable});
  rig.nodes().Kill(0);
  rig.nodes().Restart(0);
  rig.Await("the restarted node",
            [&] { return rig.StatusAt(0, kArchiveHost, kArchivePath) == kNotFound; });
  BOOST_TEST(EveryNodeAnswers(rig, kNotFound));
  rig.fleet().store().Heal();
  rig.Serve(200);
  rig.Finish(0.6);
}

BOOST_AUTO_TEST_CASE(wrong_change_is_refused_with_its_place) {
  Rig rig;
  Operators operators(&rig);
  const uint64_t before = operators.Revision();
  const CommandResult refused = operators.Run(
      0, {"update-route", "--name=route-cards", "--targets=none", "--max_attempts=99"});
  BOOST_TEST(refused.exit_code == kRefused);
  BOOST_TEST(refused.output.at("faults").size() == 2U);
  BOOST_TEST(refused.output.at("field") == "routes[route-cards].max_attempts");
  BOOST_TEST(operators.Revision() == before);
  const CommandResult assignments = operators.Run(0, {"list-assignments"});
  BOOST_TEST(!assignments.output.at("assignments").empty());
  rig.Finish(0.97);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
