// Many operators race over a table service that refuses, loses answers and runs transactions late:
// exactly one winner per revision, and nobody is told a wrong outcome.
#include <absl/strings/str_cat.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/configuration/change_submission.h"
#include "sample_configuration.h"
#include "simulated_table.h"

namespace ladderstream::configuration {
namespace {

using authority::StoreStatus;

constexpr int kOperators = 12;
constexpr int kChangesEach = 6;
constexpr int kSeeds = 200;
constexpr int kResends = 6;

/// One operator's call under way, and what it was told.
struct Call {
  SubmissionRequest request;
  std::optional<ChangeSubmission> submission;
  SubmissionAction action;
  Time due;
  std::optional<SubmissionOutcome> outcome;
};

class Race {
 public:
  explicit Race(uint64_t seed) : random_(seed) {}

  void Run() {
    for (int round = 0; round < kChangesEach; ++round) {
      std::vector<Call> calls;
      calls.reserve(kOperators);
      for (int number = 0; number < kOperators; ++number) {
        calls.push_back(Begin(round, number));
      }
      while (Call* const call = Earliest(calls)) {
        now_ = std::max(now_, call->due);
        Step(*call);
        if (Chance(5)) {
          table_.RunLate();
        }
      }
      SettlePending(calls);
      CheckRound(calls);
    }
    table_.RunLate();
    CheckChain();
  }

 private:
  bool Chance(int percent) { return std::uniform_int_distribution<int>(0, 99)(random_) < percent; }

  Call Begin(int round, int number) {
    Call call;
    const std::string name = absl::StrCat("s-", round, "-", number);
    call.request.operation = OperationId(absl::StrCat("op-", round, "-", number));
    call.request.change = CreateService{SampleService(name, absl::StrCat(name, "/"))};
    if (!Chance(30)) {
      call.request.expected_revision = table_.Newest().revision;
    }
    Start(call);
    return call;
  }

  void Start(Call& call) {
    call.outcome.reset();
    call.submission.emplace(call.request, SubmissionTiming(), now_);
    SetAction(call, call.submission->Start());
  }

  static Call* Earliest(std::vector<Call>& calls) {
    Call* earliest = nullptr;
    for (Call& call : calls) {
      if (!call.outcome.has_value() && (earliest == nullptr || call.due < earliest->due)) {
        earliest = &call;
      }
    }
    return earliest;
  }

  void SetAction(Call& call, SubmissionAction action) {
    const auto travel = absl::Milliseconds(std::uniform_int_distribution<int>(1, 60)(random_));
    call.due = now_ + travel;
    if (const auto* const run = std::get_if<RunTransaction>(&action)) {
      call.due += run->delay;
    } else if (const auto* const adoption = std::get_if<ProposeAdoption>(&action)) {
      call.due += adoption->delay;
    } else {
      call.outcome = std::get<SubmissionOutcome>(action);
    }
    call.action = std::move(action);
  }

  void Step(Call& call) {
    if (const auto* const run = std::get_if<RunTransaction>(&call.action)) {
      const SimulatedAnswer answer = RunUnreliably(run->transaction);
      SetAction(call, call.submission->OnStoreAnswer(answer.status, answer.rows, now_));
      return;
    }
    const auto& command = std::get<ProposeAdoption>(call.action).command;
    SetAction(call, call.submission->OnProposalAnswer(Propose(command), now_));
  }

  SimulatedAnswer RunUnreliably(const authority::StoreTransaction& transaction) {
    if (healthy_) {
      return table_.Run(transaction);
    }
    if (Chance(20)) {
      return {StoreStatus::kRefused, {}};
    }
    if (Chance(15)) {
      table_.Delay(transaction);
      return {StoreStatus::kUnknown, {}};
    }
    const SimulatedAnswer answer = table_.Run(transaction);
    return Chance(25) ? SimulatedAnswer{StoreStatus::kUnknown, {}} : answer;
  }

  ResultCode Propose(const AdoptConfiguration& command) {
    if (!healthy_ && Chance(40)) {
      return ResultCode::kNoLeader;
    }
    // Adopted only if durable, and adopting an older one changes nothing.
    BOOST_TEST(command.configuration.revision <= table_.Newest().revision);
    in_force_ = std::max(in_force_, command.configuration.revision);
    return !healthy_ && Chance(20) ? ResultCode::kPeerTimeout : ResultCode::kOk;
  }

  /// Sends pending changes again under their ids, at last with everything healthy.
  void SettlePending(std::vector<Call>& calls) {
    for (Call& call : calls) {
      for (int attempt = 0; call.outcome->code == ResultCode::kChangePending; ++attempt) {
        BOOST_TEST_REQUIRE(attempt <= kResends);
        healthy_ = attempt == kResends;
        Start(call);
        while (!call.outcome.has_value()) {
          now_ = std::max(now_, call.due);
          Step(call);
        }
        healthy_ = false;
      }
    }
    table_.RunLate();
  }

  void CheckRound(const std::vector<Call>& calls) {
    std::map<uint64_t, int> winners;
    for (const Call& call : calls) {
      const OperationId& operation = call.request.operation;
      const bool accepted = call.outcome->code == ResultCode::kOk;
      BOOST_TEST_CONTEXT("operation " << operation << ": " << NameOf(call.outcome->code)) {
        BOOST_TEST(table_.Holds(operation) == accepted);
      }
      if (!accepted) {
        continue;
      }
      const Revision made = call.outcome->revision;
      BOOST_TEST(table_.Record(operation).revision == made);
      BOOST_TEST(made <= in_force_);
      ++winners[made.value()];
      if (call.request.expected_revision.has_value()) {
        BOOST_TEST(made.value() == call.request.expected_revision->value() + 1);
      }
    }
    for (const auto& [revision, count] : winners) {
      BOOST_TEST(count == 1, "revision " << revision << " has " << count << " winners");
    }
    accepted_ += winners.size();
  }

  /// Each accepted change, and no other, stands in the newest configuration.
  void CheckChain() {
    const Configuration newest = table_.Newest();
    BOOST_TEST(newest.revision.value() == accepted_);
    BOOST_TEST(newest.services.size() == accepted_);
    BOOST_TEST(accepted_ >= static_cast<size_t>(kChangesEach) / 2);
  }

  std::mt19937_64 random_;
  SimulatedTable table_;
  Time now_ = absl::FromUnixSeconds(1000);
  Revision in_force_;
  bool healthy_ = false;
  size_t accepted_ = 0;
};

BOOST_AUTO_TEST_SUITE(racing_operators)

BOOST_DATA_TEST_CASE(one_winner_per_revision, boost::unit_test::data::xrange(kSeeds), seed) {
  Race(static_cast<uint64_t>(seed)).Run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::configuration
