// Closed- and open-loop callers that drive a mix of requests and log what they were told.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "rehearsal/caller_log.h"
#include "rehearsal/http_caller.h"
#include "wire/identifiers.h"

namespace ladderstream::rehearsal {

/// One kind of request in the mix.
struct RequestKind {
  std::string service;
  std::string request;
  bool repeatable = true;
  /// Share of the mix, relative to the other kinds'.
  double weight = 1;
  /// Keys are the prefix followed by a number from 0 to key_count - 1.
  std::string key_prefix;
  uint32_t key_count = 1000;
  /// Of the Zipf distribution over the keys; 0 draws them evenly.
  double zipf_exponent = 1;
  absl::Duration deadline = absl::Seconds(1);
  /// How long a caller goes on asking when it is told to come back.
  absl::Duration patience = absl::Seconds(5);
};

/// A key that is asked for at a steady pace, so that its unavailable time shows.
struct ProbeTarget {
  std::string service;
  std::string request;
  std::string key;
};

struct LoadSettings {
  std::vector<Endpoint> nodes;
  std::vector<RequestKind> kinds;
  uint32_t callers = 32;
  /// Calls per second of all callers together, at exponential intervals (open loop). Zero: each
  /// caller calls again as soon as it was answered (closed loop).
  double rate = 0;
  std::vector<ProbeTarget> probes;
  absl::Duration probe_interval = absl::Milliseconds(20);
  absl::Duration probe_deadline = absl::Milliseconds(200);
  uint64_t seed = 1;
};

/// What happened since the last look.
struct LoadProgress {
  uint64_t attempts = 0;
  uint64_t answered = 0;
  uint64_t did_not_run = 0;
  uint64_t unknown = 0;
  absl::Duration p50;
  absl::Duration p99;
};

/// Draws keys of one kind: rank by Zipf, key by rank and rotation.
class KeyPicker {
 public:
  explicit KeyPicker(const RequestKind& kind);

  /// A changed `rotation` makes other keys the hot ones.
  std::string Pick(std::mt19937_64& random, uint32_t rotation);
  /// The number that Pick would put behind the prefix.
  uint32_t PickNumber(std::mt19937_64& random, uint32_t rotation);
  /// The key of that rank, 0 being the hottest.
  std::string KeyAt(uint32_t rank, uint32_t rotation) const;

 private:
  uint32_t NumberAt(uint32_t rank, uint32_t rotation) const;

  std::string prefix_;
  uint32_t key_count_;
  std::discrete_distribution<uint32_t> ranks_;
};

/// Thread-safe.
class LoadGenerator {
 public:
  /// Starts the callers at once.
  explicit LoadGenerator(const LoadSettings& settings);
  /// Stops them.
  ~LoadGenerator();

  /// Makes other keys the hot ones.
  void RotateKeys() { ++rotation_; }

  LoadProgress TakeProgress();

  /// Lets calls under way end, and gives all that was logged. Call once.
  CallerLog Stop();

 private:
  struct Worker {
    absl::Mutex mutex;
    CallerLog log ABSL_GUARDED_BY(mutex);
    size_t reported ABSL_GUARDED_BY(mutex) = 0;
    std::thread thread;
  };
  /// One call and how to make it.
  struct Call {
    CallAttempt attempt;
    absl::Duration deadline;
    absl::Duration patience;
  };

  void RunCaller(Worker& worker, uint32_t number);
  void RunProber(Worker& worker, uint32_t number, const ProbeTarget& target);
  void MakeCall(Worker& worker, HttpCaller& caller, Call call);
  bool SleepUntil(absl::Time time);
  void JoinAll();

  const LoadSettings settings_;
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::atomic<uint32_t> rotation_ = 0;
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace ladderstream::rehearsal
