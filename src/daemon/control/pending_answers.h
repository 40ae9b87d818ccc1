// Questions put to the control loop, and the threads that wait for their answers.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <future>
#include <optional>
#include <utility>

namespace ladderstream::control {

/// Thread-safe.
template <typename Answer>
class PendingAnswers {
 public:
  struct Question {
    uint64_t correlation = 0;
    std::future<Answer> answer;
  };

  Question Add() {
    const absl::MutexLock lock(&mutex_);
    const uint64_t correlation = ++last_correlation_;
    return Question{correlation, promises_[correlation].get_future()};
  }

  /// Gives nothing when no answer came within `timeout`; a later one is dropped.
  std::optional<Answer> Wait(Question question, absl::Duration timeout) {
    const auto status = question.answer.wait_for(absl::ToChronoMicroseconds(timeout));
    if (status == std::future_status::ready) {
      return question.answer.get();
    }
    const absl::MutexLock lock(&mutex_);
    promises_.erase(question.correlation);
    return std::nullopt;
  }

  /// Does nothing when nobody waits any more.
  void Fulfil(uint64_t correlation, Answer answer) {
    const absl::MutexLock lock(&mutex_);
    const auto promise = promises_.find(correlation);
    if (promise == promises_.end()) {
      return;
    }
    promise->second.set_value(std::move(answer));
    promises_.erase(promise);
  }

 private:
  absl::Mutex mutex_;
  uint64_t last_correlation_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<uint64_t, std::promise<Answer>> promises_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::control
