#include "ill_back_end_replay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::forwarding {
namespace {

constexpr Duration kTurnedAwayAfter = absl::Milliseconds(2);
constexpr int kSlowness = 8;

class IllFleet {
 public:
  explicit IllFleet(const IllnessPlay& play)
      : play_(play), harness_(Settings(play)), random_(play.seed) {
    catalog::Configuration configuration = DispatcherHarness::DefaultConfiguration();
    configuration.version = 2;
    harness_.Configure(configuration);
    std::vector<std::string> ids;
    ids.reserve(static_cast<size_t>(play.backends));
    for (int i = 0; i < play.backends; ++i) {
      ids.push_back(absl::StrCat("x-", i));
    }
    harness_.AddBackends(play.service, ids);
    if (play.service == "scripts") {
      harness_.Own(ids.front());
    }
    harness_.after_tick = [this] { TakeDecisions(); };
    start_ = harness_.now;
  }

  IllnessOutcome Run() {
    const Time end = start_ + play_.well + play_.length + play_.recovered;
    Time next_request = start_;
    while (next_request < end) {
      if (!answers_.empty() && answers_.begin()->first <= next_request) {
        AnswerNext();
        continue;
      }
      harness_.Advance(next_request - harness_.now);
      StartRequest();
      // Exponential gaps: what meets by chance meets here, too.
      std::exponential_distribution<double> gap(1);
      next_request += play_.between_requests * gap(random_);
    }
    outcome_.share_after = late_ == 0 ? 0 : static_cast<double>(late_at_ill_) / late_;
    return outcome_;
  }

 private:
  struct Arrived {
    SendDecision send;
    bool ill = false;
  };

  static DispatcherSettings Settings(const IllnessPlay& play) {
    DispatcherSettings settings = DispatcherHarness::DefaultSettings();
    settings.seed = play.seed;
    settings.node_count = 1;
    return settings;
  }

  bool InIllness(Time time) const {
    return time >= start_ + play_.well && time < start_ + play_.well + play_.length;
  }
  bool IsIll(const std::string& id) const { return std::stoi(id.substr(2)) < play_.ill; }

  void StartRequest() {
    const RequestHandle handle =
        harness_.Start(absl::StrCat("/", play_.service, "/1"), absl::Seconds(2), 77);
    if (InIllness(harness_.now)) {
      counted_.insert(handle);
      ++outcome_.requests;
    }
    TakeDecisions();
  }

  void TakeDecisions() {
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
    const bool ill_one = IsIll(send.backend);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool fails = ill_one && InIllness(harness_.now) && chance(random_) < play_.failure_share;
    if (counted) {
      ++outcome_.sends;
      outcome_.sent_again += send.cause == SendCause::kFirst ? 0 : 1;
      outcome_.sent_to_ill += ill_one ? 1 : 0;
    }
    if (harness_.now >= start_ + play_.well + play_.length + play_.recovered - absl::Seconds(1)) {
      ++late_;
      late_at_ill_ += ill_one ? 1 : 0;
    }
    Duration time = play_.service_time * std::uniform_real_distribution<double>(0.7, 1.3)(random_);
    if (fails && play_.illness == Illness::kSlow) {
      time *= kSlowness;
    } else if (fails && play_.illness == Illness::kHangs) {
      time = send.answer_by - harness_.now;
    } else if (fails) {
      time = kTurnedAwayAfter;
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
    if (!arrived.ill || play_.illness == Illness::kSlow) {
      harness_.Answer(send);
    } else if (play_.illness == Illness::kSheds) {
      harness_.Refuse(send, 503, 0, 1);
    } else if (play_.illness == Illness::kClaimsToBeFull) {
      harness_.Refuse(send, 503, 8, 2);
    } else if (play_.illness == Illness::kResets) {
      harness_.Fail(send, AttemptFailure::kLost);
    } else if (play_.illness == Illness::kErrors) {
      error_ = true;
      harness_.Answer(send, 500);
    } else {
      harness_.Fail(send, AttemptFailure::kTimedOut);
    }
    TakeDecisions();
    error_ = false;
  }

  const IllnessPlay play_;
  DispatcherHarness harness_;
  std::mt19937_64 random_;
  Time start_;
  /// Ends of attempts by the time they come.
  std::multimap<Time, Arrived> answers_;
  std::unordered_set<RequestHandle> counted_;
  /// The answer passed on at this moment is a back end's own error.
  bool error_ = false;
  int late_ = 0;
  int late_at_ill_ = 0;
  IllnessOutcome outcome_;
};

}  // namespace

IllnessOutcome Play(const IllnessPlay& play) { return IllFleet(play).Run(); }

}  // namespace ladderstream::forwarding
