// Several operators change the configuration concurrently over a store that rejects transactions,
// loses replies and executes transactions late. Guards against two changes that create the same
// revision, and against an outcome that differs from what the store holds.
#include <absl/strings/str_cat.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/changes/change_submission.h"
#include "sample_configuration.h"
#include "simulated_store.h"

namespace ladderstream::changes {
namespace {

using store::StoreReply;
using store::StoreStatus;

constexpr int kOperators = 12;
constexpr int kChangesEach = 6;
constexpr int kSeeds = 200;
constexpr int kResends = 6;
const uint64_t kFirstRevision = SampleConfiguration().version;

/// One operator's call in progress, and its outcome once it has ended.
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
          store_.RunDelayed();
        }
      }
      ResolvePending(calls);
      CheckRoundOutcomes(calls);
    }
    store_.RunDelayed();
    CheckFinalConfiguration();
  }

 private:
  bool Chance(int percent) { return std::uniform_int_distribution<int>(0, 99)(random_) < percent; }

  Call Begin(int round, int number) {
    Call call;
    const std::string name = absl::StrCat("s-", round, "-", number);
    call.request.operation_id = absl::StrCat("op-", round, "-", number);
    call.request.digest = 1000 * round + number;
    call.request.change = std::make_shared<const Change>(CreateService{SampleService(name)});
    if (!Chance(30)) {
      call.request.expected_revision = store_.Newest().version;
    }
    Start(call);
    return call;
  }

  void Start(Call& call) {
    call.outcome.reset();
    call.submission.emplace(call.request, TestFormat(), SubmissionTiming(), now_);
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
    const auto network_delay =
        absl::Milliseconds(std::uniform_int_distribution<int>(1, 60)(random_));
    call.due = now_ + network_delay;
    if (const auto* const read = std::get_if<ReadRow>(&action)) {
      call.due += read->delay;
    } else if (const auto* const write = std::get_if<WriteRows>(&action)) {
      call.due += write->delay;
    } else {
      call.outcome = std::get<SubmissionOutcome>(action);
    }
    call.action = std::move(action);
  }

  void Step(Call& call) {
    if (const auto* const read = std::get_if<ReadRow>(&call.action)) {
      const bool fails = !healthy_ && Chance(20);
      const StoreReply reply = fails ? ReplyOf(StoreStatus::kUnknown) : store_.Read(read->key);
      SetAction(call, call.submission->OnRead(reply, now_));
      return;
    }
    const StoreReply reply = ExecuteUnreliably(std::get<WriteRows>(call.action).transaction);
    SetAction(call, call.submission->OnWrite(reply, now_));
  }

  StoreReply ExecuteUnreliably(const store::Transaction& transaction) {
    if (healthy_) {
      return store_.Execute(transaction);
    }
    if (Chance(20)) {
      return ReplyOf(StoreStatus::kRefused);
    }
    if (Chance(15)) {
      store_.Delay(transaction);
      return ReplyOf(StoreStatus::kUnknown);
    }
    const StoreReply reply = store_.Execute(transaction);
    return Chance(25) ? ReplyOf(StoreStatus::kUnknown) : reply;
  }

  /// Sends pending changes again with the same operation ids; the last attempt uses a healthy
  /// store.
  void ResolvePending(std::vector<Call>& calls) {
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
    store_.RunDelayed();
  }

  void CheckRoundOutcomes(const std::vector<Call>& calls) {
    std::map<uint64_t, int> winners;
    for (const Call& call : calls) {
      const std::string& operation = call.request.operation_id;
      const bool accepted = call.outcome->code == ResultCode::kOk;
      BOOST_TEST_CONTEXT("operation " << operation << ": " << NameOf(call.outcome->code)) {
        BOOST_TEST(store_.Record(operation).has_value() == accepted);
      }
      if (!accepted) {
        continue;
      }
      const uint64_t revision = call.outcome->revision;
      BOOST_TEST(store_.Record(operation)->revision == revision);
      ++winners[revision];
      if (call.request.expected_revision.has_value()) {
        BOOST_TEST(revision == *call.request.expected_revision + 1);
      }
    }
    for (const auto& [revision, count] : winners) {
      BOOST_TEST(count == 1, "revision " << revision << " has " << count << " winners");
    }
    accepted_ += winners.size();
  }

  /// Checks that the newest configuration contains every accepted change and no other.
  void CheckFinalConfiguration() {
    const catalog::Configuration newest = store_.Newest();
    BOOST_TEST(newest.version == kFirstRevision + accepted_);
    BOOST_TEST(newest.services.size() == SampleConfiguration().services.size() + accepted_);
    BOOST_TEST(accepted_ >= static_cast<size_t>(kChangesEach) / 2);
  }

  std::mt19937_64 random_;
  SimulatedStore store_;
  Time now_ = absl::FromUnixSeconds(1000);
  bool healthy_ = false;
  size_t accepted_ = 0;
};

BOOST_AUTO_TEST_SUITE(racing_operators)

BOOST_DATA_TEST_CASE(one_winner_per_revision, boost::unit_test::data::xrange(kSeeds), seed) {
  Race(static_cast<uint64_t>(seed)).Run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::changes
