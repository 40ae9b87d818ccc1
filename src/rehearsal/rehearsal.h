// One run of a deployment under load, from the start of its processes to the verdict.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "rehearsal/cluster.h"
#include "rehearsal/fault_schedule.h"
#include "rehearsal/judge.h"
#include "rehearsal/load_generator.h"

namespace ladderstream::rehearsal {

/// Something to be done at a moment of the run. An Error thrown by `action` is printed, and the
/// run goes on: what came of it shows in the verdict.
struct Step {
  /// Since the start of the load.
  absl::Duration at;
  /// What is said when it is done; nothing when empty.
  std::string what;
  std::function<void()> action;
};

struct RehearsalSettings {
  ClusterSettings cluster;
  /// Of the load.
  absl::Duration length = absl::Seconds(15);
  uint64_t seed = 1;
  /// Calls per second; zero for the deployment's own.
  double rate = 0;
  /// Hot keys of each keyed service that are probed steadily.
  uint32_t probes_per_service = 4;
  /// Leaves logs and records in place.
  bool keep_files = false;
  /// Where the run is written as a trace, to be replayed on simulated time; nowhere when empty.
  std::string trace_file;
  /// Named in the trace.
  std::string scenario;
};

/// Used on one thread.
class Rehearsal {
 public:
  /// Writes the running report to `out`.
  Rehearsal(const RehearsalSettings& settings, std::ostream* out);

  /// Starts the processes, declares the deployment and waits until it serves. Throws Error.
  void Prepare();

  /// Starts the load, takes the steps at their times, and reports every second until the end.
  /// Throws Error(kCancelled) after SIGINT or SIGTERM.
  void Run(std::vector<Step> steps);

  /// Ends the load and the processes and judges.
  Verdict Finish();

  Cluster& cluster() { return cluster_; }
  LoadGenerator& load() { return *load_; }
  /// The keys that are probed, the hottest first.
  const std::vector<ProbeTarget>& probes() const { return probes_; }

  void Say(const std::string& line);

  /// Records for the trace that a fault begins now and lasts for `length`.
  void NoteFault(Fault fault, absl::Duration length);

 private:
  void TakeStep(const Step& step);
  void WriteTraceOf(const CallerLog& calls) const;
  void Report();

  const RehearsalSettings settings_;
  std::ostream* out_;
  Cluster cluster_;
  std::vector<ProbeTarget> probes_;
  std::unique_ptr<LoadGenerator> load_;
  absl::Time started_;
  absl::Time reported_;
  std::vector<Fault> faults_;
};

/// Lets SIGINT and SIGTERM end a run in good order. Call once, at the start of the program.
void CatchStopSignals();

}  // namespace ladderstream::rehearsal
