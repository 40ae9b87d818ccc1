#include "rehearsal/rehearsal.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>

#include "rehearsal/report.h"
#include "rehearsal/trace.h"
#include "standin/support/boot_time.h"
#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

using standin::BootTimeNow;

constexpr absl::Duration kServingTimeout = absl::Seconds(30);
constexpr absl::Duration kReportInterval = absl::Seconds(1);
constexpr absl::Duration kLongestSleep = absl::Milliseconds(100);

std::atomic<bool> stop_requested = false;

void RequestStop(int /*signal*/) { stop_requested = true; }

std::vector<ProbeTarget> ChooseProbes(const RehearsalSettings& settings) {
  std::vector<ProbeTarget> probes;
  for (const ServiceSpec& service : settings.cluster.deployment.services) {
    if (service.configuration.routing != RoutingKind::kByKey) {
      continue;
    }
    const RequestKind& kind = service.kinds.front();
    const KeyPicker picker(kind);
    // Spread over the ranks: the hottest, and colder ones.
    for (uint32_t i = 0; i < settings.probes_per_service; ++i) {
      const uint32_t rank = i * kind.key_count / settings.probes_per_service;
      probes.push_back({kind.service, kind.request, picker.KeyAt(rank, 0)});
    }
  }
  return probes;
}

LoadSettings MakeLoadSettings(const RehearsalSettings& settings, const std::vector<Endpoint>& nodes,
                              const std::vector<ProbeTarget>& probes) {
  const DeploymentSpec& deployment = settings.cluster.deployment;
  LoadSettings load;
  load.nodes = nodes;
  load.kinds = MixOf(deployment);
  load.callers = deployment.callers;
  load.rate = settings.rate > 0 ? settings.rate : deployment.rate;
  load.probes = probes;
  load.seed = settings.seed;
  return load;
}

}  // namespace

void CatchStopSignals() {
  std::signal(SIGINT, RequestStop);
  std::signal(SIGTERM, RequestStop);
}

Rehearsal::Rehearsal(const RehearsalSettings& settings, std::ostream* out)
    : settings_(settings), out_(out), cluster_(settings.cluster), probes_(ChooseProbes(settings)) {
  if (settings.keep_files) {
    cluster_.processes().KeepDirectory();
    Say(absl::StrCat("logs and records: ", cluster_.processes().directory().string()));
  }
}

void Rehearsal::Say(const std::string& line) { *out_ << line << std::endl; }

void Rehearsal::Prepare() {
  const absl::Time begin = absl::Now();
  const auto elapsed = [begin] {
    return absl::StrFormat("%.1f s", absl::ToDoubleSeconds(absl::Now() - begin));
  };
  cluster_.StartNodes();
  Say(absl::StrCat("platform and nodes are up after ", elapsed()));
  cluster_.Declare();
  Say(absl::StrCat("services and back ends are declared after ", elapsed()));
  cluster_.StartBackends();
  Say(absl::StrCat("all back ends are up after ", elapsed()));
  cluster_.WaitUntilServing(kServingTimeout);
  Say(absl::StrCat("every service is served at every node after ", elapsed()));
}

void Rehearsal::Run(std::vector<Step> steps) {
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  for (const RoutingKind routing : {RoutingKind::kByKey, RoutingKind::kByLoad}) {
    for (const std::string& backend : cluster_.BackendNames(routing)) {
      cluster_.NotePresent(backend);
    }
  }
  load_ = std::make_unique<LoadGenerator>(
      MakeLoadSettings(settings_, cluster_.CallerEndpoints(), probes_));
  started_ = BootTimeNow();
  reported_ = started_;
  auto next = steps.begin();
  const absl::Time end = started_ + settings_.length;
  while (BootTimeNow() < end) {
    if (stop_requested) {
      throw Error(ResultCode::kCancelled, "stopped by a signal");
    }
    while (next != steps.end() && started_ + next->at <= BootTimeNow()) {
      TakeStep(*next++);
    }
    if (BootTimeNow() >= reported_ + kReportInterval) {
      Report();
    }
    absl::Time wake = std::min(end, reported_ + kReportInterval);
    if (next != steps.end()) {
      wake = std::min(wake, started_ + next->at);
    }
    absl::SleepFor(std::min(wake - BootTimeNow(), kLongestSleep));
  }
}

void Rehearsal::TakeStep(const Step& step) {
  if (!step.what.empty()) {
    Say(absl::StrFormat("%6.1f s  -- %s", absl::ToDoubleSeconds(BootTimeNow() - started_),
                        step.what));
  }
  try {
    step.action();
  } catch (const Error& error) {
    Say(absl::StrCat("          not done: ", error.what()));
  }
}

void Rehearsal::Report() {
  const absl::Time now = BootTimeNow();
  Say(ProgressLine(now - started_, now - reported_, load_->TakeProgress()));
  reported_ = now;
}

void Rehearsal::NoteFault(Fault fault, absl::Duration length) {
  fault.from = BootTimeNow() - started_;
  fault.until = fault.from + length;
  faults_.push_back(std::move(fault));
}

void Rehearsal::WriteTraceOf(const CallerLog& calls) const {
  const DeploymentSpec& deployment = settings_.cluster.deployment;
  Trace trace;
  trace.header = {.deployment = deployment.name,
                  .nodes = static_cast<uint32_t>(cluster_.NodeNames().size()),
                  .length = settings_.length,
                  .origin = absl::StrCat("recorded from processes, scenario ", settings_.scenario,
                                         ", seed ", settings_.seed),
                  .seed = settings_.seed};
  BatchCollector batches;
  for (const CallAttempt& attempt : calls) {
    uint32_t key = 0;
    const std::string number = attempt.key.substr(attempt.key.rfind('-') + 1);
    const bool first = attempt.attempt == 1 && !attempt.probe && attempt.due >= started_;
    if (first && absl::SimpleAtoi(number, &key)) {
      batches.Add(attempt.due - started_, attempt.service, attempt.request, key);
    }
  }
  trace.batches = batches.Take();
  trace.faults = faults_;
  std::ofstream file(settings_.trace_file);
  WriteTrace(trace, file);
}

Verdict Rehearsal::Finish() {
  CallerLog calls = load_->Stop();
  if (settings_.keep_files) {
    std::ofstream file(cluster_.processes().directory() / "callers.jsonl");
    for (const CallAttempt& attempt : calls) {
      file << ToJsonLine(attempt) << "\n";
    }
  }
  if (!settings_.trace_file.empty()) {
    WriteTraceOf(calls);
  }
  cluster_.End();
  Verdict verdict = Judge(cluster_.CollectEvidence(std::move(calls)));
  Say(VerdictTable(verdict));
  return verdict;
}

}  // namespace ladderstream::rehearsal
