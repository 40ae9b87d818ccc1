// Random events in random order: each request gets exactly one final answer before its deadline, no
// at-most-once request may run twice, and 503 is only answered for requests that did not run.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

struct ObservedRequest {
  Time answer_by;
  bool at_most_once = false;
  /// Attempts that were neither refused nor failed before sending.
  int may_run = 0;
  std::set<std::string> reached;
  bool finished = false;
  bool disconnected = false;
};

class RandomizedDispatcher : public DispatcherHarness {
 public:
  explicit RandomizedDispatcher(uint64_t seed) : random_(seed) {
    AddBackends("cards", {"c-1", "c-2", "c-3", "c-4"});
    AddBackends("books", {"b-1", "b-2", "b-3", "b-4"});
    AddBackends("scripts", {"s-1", "s-2"});
    Own("s-1");
    after_tick = [this] { Check(); };
  }

  void Run() {
    for (int step = 0; step < 4000; ++step) {
      Step();
      Check();
    }
    for (const auto& [attempt, send] : std::map(open_)) {
      requests_[owners_[attempt]].may_run -= sent_.contains(attempt) ? 0 : 1;
      Fail(send, AttemptFailure::kTimedOut);
      Check();
    }
    Advance(absl::Seconds(10));
    Check();
    for (const auto& [handle, observed] : requests_) {
      BOOST_REQUIRE(observed.finished || observed.disconnected);
    }
    BOOST_TEST((dispatcher.NextWake() == absl::InfiniteFuture()));
  }

 private:
  size_t Draw(size_t below) { return random_() % below; }

  template <typename Map>
  auto DrawFrom(Map& map) {
    return std::next(map.begin(), static_cast<std::ptrdiff_t>(Draw(map.size())));
  }

  void Step() {
    switch (Draw(8)) {
      case 0:
      case 1:
        Begin();
        break;
      case 2:
        Advance(absl::Milliseconds(static_cast<int64_t>(Draw(60))));
        break;
      case 3:
        Disturb();
        break;
      default:
        EndOne();
    }
  }

  void Begin() {
    static constexpr std::array kTargets = {"/cards/1", "/books/1", "/scripts/1"};
    const size_t service = Draw(kTargets.size());
    const Duration deadline = absl::Milliseconds(50 + static_cast<int64_t>(Draw(900)));
    Start(kTargets[service], deadline, static_cast<ownership::Key>(Draw(65536)));
    requests_[last].answer_by = now + deadline;
    requests_[last].at_most_once = service == 1;
  }

  void Disturb() {
    const std::array<std::string, 4> ids = {"c-1", "b-2", "s-1", "s-2"};
    const std::string& id = ids[Draw(ids.size())];
    switch (Draw(5)) {
      case 0:
        Drain(id);
        break;
      case 1:
        AddBackend(MakeBackend(id, id[0] == 'c' ? "cards" : id[0] == 'b' ? "books" : "scripts"));
        break;
      case 2:
        Own(id);
        break;
      case 3:
        Own(Draw(2) == 0 ? "s-1" : "s-2");
        break;
      default:
        if (!requests_.empty()) {
          const RequestHandle handle = DrawFrom(requests_)->first;
          requests_[handle].disconnected =
              requests_[handle].disconnected || !requests_[handle].finished;
          dispatcher.OnCallerDisconnected(handle, now);
        }
    }
  }

  void EndOne() {
    if (open_.empty()) {
      return;
    }
    const auto entry = DrawFrom(open_);
    const SendDecision send = entry->second;
    ObservedRequest& observed = requests_[owners_[send.attempt]];
    const bool sent = sent_.contains(send.attempt);
    if (!sent && Draw(4) == 0) {
      open_.erase(entry);
      --observed.may_run;
      Fail(send, Draw(2) == 0 ? AttemptFailure::kConnectRefused : AttemptFailure::kNotSent);
      return;
    }
    if (!sent) {
      sent_.insert(send.attempt);
      observed.reached.insert(send.backend);
      Sent(send);
      return;
    }
    open_.erase(entry);
    switch (Draw(6)) {
      case 0:
        --observed.may_run;
        Refuse(send);
        break;
      case 1:
        --observed.may_run;
        Answer(send, 421);
        break;
      case 2:
        Answer(send, 503);
        break;
      case 3:
        Fail(send, AttemptFailure::kLost);
        break;
      default:
        Answer(send, 200, static_cast<uint32_t>(Draw(3)), static_cast<uint32_t>(Draw(9)));
    }
  }

  void Check() {
    for (const RequestDecision& made : dispatcher.TakeDecisions()) {
      ObservedRequest& observed = requests_[made.request];
      BOOST_REQUIRE(!observed.finished);
      if (const auto* send = std::get_if<SendDecision>(&made.decision)) {
        CheckSend(made.request, *send, observed);
      } else if (const auto* cancel = std::get_if<CancelDecision>(&made.decision)) {
        if (!sent_.contains(cancel->attempt)) {
          --observed.may_run;
        }
        open_.erase(cancel->attempt);
      } else {
        observed.finished = true;
        BOOST_REQUIRE(!observed.disconnected);
        BOOST_REQUIRE((now <= observed.answer_by));
        if (const auto* answer = std::get_if<AnswerDecision>(&made.decision)) {
          BOOST_REQUIRE(!answer->reason.empty());
          BOOST_REQUIRE((answer->status != 503 || observed.may_run == 0));
          BOOST_REQUIRE((answer->status == 503 || observed.may_run > 0));
        }
      }
    }
  }

  void CheckSend(RequestHandle request, const SendDecision& send, ObservedRequest& observed) {
    BOOST_REQUIRE(!observed.disconnected);
    BOOST_REQUIRE((!observed.at_most_once || observed.may_run == 0));
    BOOST_REQUIRE_LT(observed.reached.size(), 3U);
    BOOST_REQUIRE((send.answer_by <= observed.answer_by && now < send.answer_by));
    ++observed.may_run;
    open_.emplace(send.attempt, send);
    owners_.emplace(send.attempt, request);
  }

  std::mt19937_64 random_;
  std::map<RequestHandle, ObservedRequest> requests_;
  std::map<AttemptHandle, SendDecision> open_;
  std::map<AttemptHandle, RequestHandle> owners_;
  std::set<AttemptHandle> sent_;
};

BOOST_AUTO_TEST_CASE(random_events_keep_the_guarantees_of_requests) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) { RandomizedDispatcher(seed).Run(); }
  }
}

}  // namespace
}  // namespace ladderstream::forwarding
