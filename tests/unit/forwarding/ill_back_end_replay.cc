#include "ill_back_end_replay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::forwarding {
namespace {

constexpr Duration kTimeToReject = absl::Milliseconds(2);
constexpr int kSlowdownFactor = 8;

class FaultyFleet {
 public:
  explicit FaultyFleet(const FaultScenario& scenario)
      : scenario_(scenario), harness_(Settings(scenario)), random_(scenario.seed) {
    catalog::Configuration configuration = DispatcherHarness::DefaultConfiguration();
    configuration.version = 2;
    harness_.Configure(configuration);
    std::vector<std::string> ids;
    ids.reserve(static_cast<size_t>(scenario.backends));
    for (int i = 0; i < scenario.backends; ++i) {
      ids.push_back(absl::StrCat("x-", i));
    }
    harness_.AddBackends(scenario.service, ids);
    if (scenario.service == "scripts") {
      harness_.Own(ids.front());
    }
    harness_.after_tick = [this] { HandleDecisions(); };
    start_ = harness_.now;
  }

  FaultOutcome Run() {
    const Time end =
        start_ + scenario_.healthy_time + scenario_.fault_time + scenario_.recovery_time;
    Time next_request = start_;
    while (next_request < end) {
      if (!answers_.empty() && answers_.begin()->first <= next_request) {
        AnswerNext();
        continue;
      }
      harness_.Advance(next_request - harness_.now);
      StartRequest();
      // Exponential gaps, so that requests also arrive in bursts by chance.
      std::exponential_distribution<double> gap(1);
      next_request += scenario_.between_requests * gap(random_);
    }
    outcome_.share_after = late_ == 0 ? 0 : static_cast<double>(late_at_faulty_) / late_;
    return outcome_;
  }

 private:
  struct Arrived {
    SendDecision send;
    bool faulty = false;
  };

  static DispatcherSettings Settings(const FaultScenario& scenario) {
    DispatcherSettings settings = DispatcherHarness::DefaultSettings();
    settings.seed = scenario.seed;
    settings.node_count = 1;
    return settings;
  }

  bool InFault(Time time) const {
    return time >= start_ + scenario_.healthy_time &&
           time < start_ + scenario_.healthy_time + scenario_.fault_time;
  }
  bool IsFaulty(const std::string& id) const { return std::stoi(id.substr(2)) < scenario_.faulty; }

  void StartRequest() {
    const RequestHandle handle =
        harness_.Start(absl::StrCat("/", scenario_.service, "/1"), absl::Seconds(2), 77);
    if (InFault(harness_.now)) {
      counted_.insert(handle);
      ++outcome_.requests;
    }
    HandleDecisions();
  }

  void HandleDecisions() {
    for (auto decisions = harness_.dispatcher.TakeDecisions(); !decisions.empty();
         decisions = harness_.dispatcher.TakeDecisions()) {
      for (const RequestDecision& decision : decisions) {
        Take(decision);
      }
    }
  }

  void Take(const RequestDecision& decision) {
    const bool counted = counted_.contains(decision.request);
    if (const auto* send = std::get_if<SendDecision>(&decision.decision)) {
      Arrive(*send, counted);
    } else if (const auto* cancel = std::get_if<CancelDecision>(&decision.decision)) {
      std::erase_if(answers_, [cancel](const auto& entry) {
        return entry.second.send.attempt == cancel->attempt;
      });
    } else if (const auto* answer = std::get_if<AnswerDecision>(&decision.decision)) {
      (answer->status == 503 ? outcome_.refused : outcome_.failed) += counted ? 1 : 0;
    } else {
      outcome_.served += counted && !error_ ? 1 : 0;
      outcome_.failed += counted && error_ ? 1 : 0;
    }
  }

  void Arrive(const SendDecision& send, bool counted) {
    harness_.Sent(send);
    const bool is_faulty = IsFaulty(send.backend);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool fails =
        is_faulty && InFault(harness_.now) && chance(random_) < scenario_.failure_share;
    if (counted) {
      ++outcome_.sends;
      outcome_.sent_again += send.cause == SendCause::kFirst ? 0 : 1;
      outcome_.sent_to_faulty += is_faulty ? 1 : 0;
    }
    if (harness_.now >= start_ + scenario_.healthy_time + scenario_.fault_time +
                            scenario_.recovery_time - absl::Seconds(1)) {
      ++late_;
      late_at_faulty_ += is_faulty ? 1 : 0;
    }
    Duration time =
        scenario_.service_time * std::uniform_real_distribution<double>(0.7, 1.3)(random_);
    if (fails && scenario_.fault == FaultKind::kSlow) {
      time *= kSlowdownFactor;
    } else if (fails && scenario_.fault == FaultKind::kHangs) {
      time = send.answer_by - harness_.now;
    } else if (fails) {
      time = kTimeToReject;
    }
    answers_.emplace(harness_.now + time, Arrived{send, fails});
  }

  void AnswerNext() {
    const Time at = answers_.begin()->first;
    const Arrived arrived = answers_.begin()->second;
    harness_.Advance(std::max(at - harness_.now, absl::ZeroDuration()));
    const auto found = std::find_if(answers_.begin(), answers_.end(), [&](const auto& entry) {
      return entry.second.send.attempt == arrived.send.attempt;
    });
    if (found == answers_.end()) {
      return;
    }
    answers_.erase(found);
    const SendDecision& send = arrived.send;
    error_ = false;
    if (!arrived.faulty || scenario_.fault == FaultKind::kSlow) {
      harness_.Answer(send);
    } else if (scenario_.fault == FaultKind::kSheds) {
      harness_.Refuse(send, 503, 0, 1);
    } else if (scenario_.fault == FaultKind::kReportsFull) {
      harness_.Refuse(send, 503, 8, 2);
    } else if (scenario_.fault == FaultKind::kResets) {
      harness_.Fail(send, AttemptFailure::kLost);
    } else if (scenario_.fault == FaultKind::kErrors) {
      error_ = true;
      harness_.Answer(send, 500);
    } else {
      harness_.Fail(send, AttemptFailure::kTimedOut);
    }
    HandleDecisions();
    error_ = false;
  }

  const FaultScenario scenario_;
  DispatcherHarness harness_;
  std::mt19937_64 random_;
  Time start_;
  /// Attempts in flight, by the time at which they end.
  std::multimap<Time, Arrived> answers_;
  std::unordered_set<RequestHandle> counted_;
  /// Whether the answer being relayed is an application error of a back end.
  bool error_ = false;
  int late_ = 0;
  int late_at_faulty_ = 0;
  FaultOutcome outcome_;
};

}  // namespace

FaultOutcome Replay(const FaultScenario& scenario) { return FaultyFleet(scenario).Run(); }

}  // namespace ladderstream::forwarding
