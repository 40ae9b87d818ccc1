#include "rehearsal/load_generator.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "rehearsal/judge.h"
#include "standin/support/boot_time.h"

namespace ladderstream::rehearsal {
namespace {

using standin::BootTimeNow;

// When told to come back without being told when.
constexpr absl::Duration kDefaultRetryPause = absl::Milliseconds(20);
constexpr absl::Duration kLongestRetryPause = absl::Seconds(1);
// How far apart in the key space the hot keys of two rotations lie.
constexpr uint32_t kRotationStride = 131;

std::discrete_distribution<uint32_t> ZipfRanks(uint32_t count, double exponent) {
  std::vector<double> weights(count);
  for (uint32_t rank = 0; rank < count; ++rank) {
    weights[rank] = 1 / std::pow(rank + 1, exponent);
  }
  return {weights.begin(), weights.end()};
}

std::discrete_distribution<size_t> KindShares(const std::vector<RequestKind>& kinds) {
  std::vector<double> weights;
  std::transform(kinds.begin(), kinds.end(), std::back_inserter(weights),
                 [](const RequestKind& kind) { return kind.weight; });
  return {weights.begin(), weights.end()};
}

void Count(const CallAttempt& attempt, LoadProgress& progress) {
  ++progress.attempts;
  progress.answered += attempt.outcome == Outcome::kAnswered ? 1 : 0;
  progress.did_not_run += attempt.outcome == Outcome::kDidNotRun ? 1 : 0;
  progress.unknown += attempt.outcome == Outcome::kUnknown ? 1 : 0;
}

}  // namespace

KeyPicker::KeyPicker(const RequestKind& kind)
    : prefix_(kind.key_prefix),
      key_count_(kind.key_count),
      ranks_(ZipfRanks(kind.key_count, kind.zipf_exponent)) {}

std::string KeyPicker::Pick(std::mt19937_64& random, uint32_t rotation) {
  return KeyAt(ranks_(random), rotation);
}

uint32_t KeyPicker::PickNumber(std::mt19937_64& random, uint32_t rotation) {
  return NumberAt(ranks_(random), rotation);
}

uint32_t KeyPicker::NumberAt(uint32_t rank, uint32_t rotation) const {
  return (rank + rotation * kRotationStride) % key_count_;
}

std::string KeyPicker::KeyAt(uint32_t rank, uint32_t rotation) const {
  return absl::StrCat(prefix_, NumberAt(rank, rotation));
}

LoadGenerator::LoadGenerator(const LoadSettings& settings) : settings_(settings) {
  for (size_t i = 0; i < settings_.callers + settings_.probes.size(); ++i) {
    workers_.push_back(std::make_unique<Worker>());
  }
  for (uint32_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = *workers_[i];
    if (i < settings_.callers) {
      worker.thread = std::thread([this, &worker, i] { RunCaller(worker, i); });
    } else {
      const ProbeTarget& target = settings_.probes[i - settings_.callers];
      worker.thread = std::thread([this, &worker, i, &target] { RunProber(worker, i, target); });
    }
  }
}

LoadGenerator::~LoadGenerator() { JoinAll(); }

void LoadGenerator::JoinAll() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (auto& worker : workers_) {
    if (worker->thread.joinable()) {
      worker->thread.join();
    }
  }
}

CallerLog LoadGenerator::Stop() {
  JoinAll();
  CallerLog all;
  for (auto& worker : workers_) {
    const absl::MutexLock lock(&worker->mutex);
    std::move(worker->log.begin(), worker->log.end(), std::back_inserter(all));
    worker->log.clear();
  }
  return all;
}

LoadProgress LoadGenerator::TakeProgress() {
  LoadProgress progress;
  std::vector<absl::Duration> latencies;
  for (auto& worker : workers_) {
    const absl::MutexLock lock(&worker->mutex);
    for (; worker->reported < worker->log.size(); ++worker->reported) {
      const CallAttempt& attempt = worker->log[worker->reported];
      Count(attempt, progress);
      if (attempt.outcome == Outcome::kAnswered) {
        latencies.push_back(attempt.Latency());
      }
    }
  }
  std::sort(latencies.begin(), latencies.end());
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  progress.p50 = Percentile(latencies, kMedian);
  progress.p99 = Percentile(latencies, kTail);
  return progress;
}

void LoadGenerator::RunCaller(Worker& worker, uint32_t number) {
  std::mt19937_64 random(settings_.seed * workers_.size() + number);
  auto shares = KindShares(settings_.kinds);
  std::vector<KeyPicker> pickers(settings_.kinds.begin(), settings_.kinds.end());
  HttpCaller caller(settings_.nodes, number);
  const bool open_loop = settings_.rate > 0;
  std::exponential_distribution<double> interval(open_loop ? settings_.rate / settings_.callers
                                                           : 1);
  absl::Time due = BootTimeNow();
  for (uint64_t count = 0;; ++count) {
    due = open_loop ? due + absl::Seconds(interval(random)) : BootTimeNow();
    if (!SleepUntil(due)) {
      return;
    }
    const size_t index = shares(random);
    const RequestKind& kind = settings_.kinds[index];
    Call call{.attempt = {}, .deadline = kind.deadline, .patience = kind.patience};
    call.attempt.call_id = absl::StrCat("c", settings_.seed, "-", number, "-", count);
    call.attempt.service = kind.service;
    call.attempt.key = pickers[index].Pick(random, rotation_);
    call.attempt.request = kind.request;
    call.attempt.repeatable = kind.repeatable;
    call.attempt.due = due;
    MakeCall(worker, caller, std::move(call));
  }
}

void LoadGenerator::RunProber(Worker& worker, uint32_t number, const ProbeTarget& target) {
  HttpCaller caller(settings_.nodes, number);
  absl::Time due = BootTimeNow();
  for (uint64_t count = 0;; ++count) {
    due = std::max(due + settings_.probe_interval, BootTimeNow());
    if (!SleepUntil(due)) {
      return;
    }
    Call call{
        .attempt = {}, .deadline = settings_.probe_deadline, .patience = absl::ZeroDuration()};
    call.attempt.call_id = absl::StrCat("p", settings_.seed, "-", number, "-", count);
    call.attempt.service = target.service;
    call.attempt.key = target.key;
    call.attempt.request = target.request;
    call.attempt.probe = true;
    call.attempt.due = due;
    MakeCall(worker, caller, std::move(call));
  }
}

void LoadGenerator::MakeCall(Worker& worker, HttpCaller& caller, Call call) {
  CallAttempt& attempt = call.attempt;
  const absl::Time give_up = BootTimeNow() + call.patience;
  while (true) {
    attempt.sent = BootTimeNow();
    const CallResult result = caller.Send(attempt, call.deadline);
    attempt.known = BootTimeNow();
    attempt.outcome = result.outcome;
    attempt.code = result.code;
    attempt.answer_matches = result.answer_matches;
    {
      const absl::MutexLock lock(&worker.mutex);
      worker.log.push_back(attempt);
    }
    const bool may_repeat = attempt.repeatable || result.outcome == Outcome::kDidNotRun;
    if (result.outcome == Outcome::kAnswered || !may_repeat) {
      return;
    }
    const bool was_told_when = result.retry_after > absl::ZeroDuration();
    const absl::Duration pause =
        was_told_when ? std::min(result.retry_after, kLongestRetryPause) : kDefaultRetryPause;
    if (attempt.known + pause >= give_up || !SleepUntil(attempt.known + pause)) {
      return;
    }
    ++attempt.attempt;
  }
}

bool LoadGenerator::SleepUntil(absl::Time time) {
  const absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(&stopping_), time - BootTimeNow());
  return !stopping_;
}

}  // namespace ladderstream::rehearsal
