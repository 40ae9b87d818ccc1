// Load on a cluster, and the judgement of what came of it.
#pragma once

#include "support/cluster.h"

namespace ladderstream::integration {

struct LoadOptions {
  /// Calls per second; a third each: reads by key, bookings by key, bookings by load.
  double rate = 300;
  uint32_t callers = 16;
  absl::Duration deadline = absl::Milliseconds(800);
  /// Keys of the keyed service that are read at a steady pace.
  std::vector<std::string> probed_keys = {};
  /// The nodes that are called; empty for all.
  std::vector<std::string> nodes = {};
};

/// Calls from construction on.
class Load {
 public:
  explicit Load(Cluster& cluster, const LoadOptions& options = {});

  /// Waits until `count` more calls have been answered.
  void AwaitAnswers(uint64_t count);

  /// Ends the calls and compares them with what ran. Called once.
  rehearsal::Verdict StopAndJudge();

  /// The log, after StopAndJudge.
  const rehearsal::CallerLog& calls() const { return calls_; }

 private:
  Cluster& cluster_;
  rehearsal::LoadGenerator generator_;
  rehearsal::CallerLog calls_;
};

/// Fails the running test for everything that must never happen, and when nothing was answered.
void CheckClean(const rehearsal::Verdict& verdict);

/// How many attempts ended with that code.
size_t CountCode(const rehearsal::CallerLog& calls, ResultCode code);

/// How many attempts ended with an outcome that is unknown to the caller.
size_t CountUnknown(const rehearsal::CallerLog& calls);

}  // namespace ladderstream::integration
