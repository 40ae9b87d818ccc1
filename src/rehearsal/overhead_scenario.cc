#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iterator>
#include <thread>

#include "rehearsal/scenario.h"
#include "standin/support/boot_time.h"
#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

using standin::BootTimeNow;

constexpr int kRounds = 4;
// No more callers than the back ends have slots, so that no request waits for one.
constexpr uint32_t kCallersPerBackend = 2;
constexpr absl::Duration kDeadline = absl::Seconds(2);

/// Latencies of closed-loop calls, each caller bound to one target.
class Round {
 public:
  Round(const ServiceSpec& service, std::vector<Endpoint> targets, bool direct, int number)
      : kind_(service.kinds.front()),
        targets_(std::move(targets)),
        direct_(direct),
        number_(number) {}

  std::vector<absl::Duration> Run(uint32_t callers, absl::Duration length) {
    std::vector<std::vector<absl::Duration>> latencies(callers);
    std::vector<std::thread> threads;
    const absl::Time end = BootTimeNow() + length;
    for (uint32_t i = 0; i < callers; ++i) {
      threads.emplace_back([this, i, end, &latencies] { Call(i, end, latencies[i]); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::vector<absl::Duration> all;
    for (const auto& part : latencies) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }

 private:
  void Call(uint32_t caller_number, absl::Time end, std::vector<absl::Duration>& latencies) const {
    HttpCaller caller({targets_[caller_number % targets_.size()]}, 0);
    CallAttempt attempt;
    attempt.service = kind_.service;
    attempt.request = kind_.request;
    attempt.repeatable = kind_.repeatable;
    for (uint64_t count = 0; BootTimeNow() < end; ++count) {
      attempt.call_id = absl::StrCat("o", number_, "-", caller_number, "-", count);
      attempt.key = absl::StrCat(kind_.key_prefix, count % kind_.key_count);
      const absl::Time sent = BootTimeNow();
      const CallResult result =
          direct_ ? caller.SendToBackend(attempt, kDeadline) : caller.Send(attempt, kDeadline);
      if (result.outcome == Outcome::kAnswered) {
        latencies.push_back(BootTimeNow() - sent);
      }
    }
  }

  const RequestKind kind_;
  const std::vector<Endpoint> targets_;
  const bool direct_;
  const int number_;
};

absl::Duration NodesProcessorTime(Cluster& cluster) {
  absl::Duration total;
  for (const std::string& node : cluster.NodeNames()) {
    const ProcessorTime time = cluster.processes().ReadProcessorTime(node);
    total += time.user + time.system;
  }
  return total;
}

void Append(std::vector<absl::Duration> part, std::vector<absl::Duration>& all) {
  all.insert(all.end(), part.begin(), part.end());
}

// Only a service routed by load answers callers that hold no grant.
const ServiceSpec& ServiceByLoad(const DeploymentSpec& deployment) {
  for (const ServiceSpec& service : deployment.services) {
    if (service.configuration.routing == RoutingKind::kByLoad) {
      return service;
    }
  }
  throw Error(ResultCode::kUnknownName, "no service is routed by load");
}

}  // namespace

Overhead RunOverhead(const RehearsalSettings& settings, std::ostream* out) {
  RehearsalSettings bare = settings;
  bare.cluster.caller_delays = false;
  for (ServiceSpec& service : bare.cluster.deployment.services) {
    service.service_time = absl::ZeroDuration();
  }
  Rehearsal rehearsal(bare, out);
  rehearsal.Prepare();
  Cluster& cluster = rehearsal.cluster();
  const ServiceSpec& service = ServiceByLoad(bare.cluster.deployment);
  std::vector<Endpoint> backends;
  for (const std::string& name : cluster.BackendNames(RoutingKind::kByLoad)) {
    backends.push_back(cluster.BackendEndpoint(name));
  }
  const auto callers = static_cast<uint32_t>(backends.size()) * kCallersPerBackend;
  const absl::Duration length = settings.length / (2 * kRounds);
  std::vector<absl::Duration> direct;
  std::vector<absl::Duration> routed;
  absl::Duration processor_time;
  for (int round = 0; round < kRounds; ++round) {
    Append(Round(service, backends, /*direct=*/true, 2 * round).Run(callers, length), direct);
    const absl::Duration before = NodesProcessorTime(cluster);
    Append(Round(service, cluster.CallerEndpoints(), /*direct=*/false, 2 * round + 1)
               .Run(callers, length),
           routed);
    processor_time += NodesProcessorTime(cluster) - before;
    rehearsal.Say(absl::StrCat("round ", round + 1, ": ", direct.size(), " direct and ",
                               routed.size(), " routed so far"));
  }
  cluster.End();
  std::sort(direct.begin(), direct.end());
  std::sort(routed.begin(), routed.end());
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  Overhead overhead;
  overhead.direct_p50 = Percentile(direct, kMedian);
  overhead.direct_p99 = Percentile(direct, kTail);
  overhead.routed_p50 = Percentile(routed, kMedian);
  overhead.routed_p99 = Percentile(routed, kTail);
  overhead.routed_requests = routed.size();
  overhead.routed_rate =
      static_cast<double>(routed.size()) / absl::ToDoubleSeconds(length * kRounds);
  if (!routed.empty()) {
    overhead.processor_time_per_request = processor_time / static_cast<double>(routed.size());
  }
  return overhead;
}

std::string Describe(const Overhead& overhead) {
  return absl::StrFormat(
      "direct p50 %.3f ms p99 %.3f ms; through a node p50 %.3f ms p99 %.3f ms; added p50 %.3f ms "
      "p99 %.3f ms; %d requests at %.0f/s; processor time of the nodes %.1f us per request",
      absl::ToDoubleMilliseconds(overhead.direct_p50),
      absl::ToDoubleMilliseconds(overhead.direct_p99),
      absl::ToDoubleMilliseconds(overhead.routed_p50),
      absl::ToDoubleMilliseconds(overhead.routed_p99),
      absl::ToDoubleMilliseconds(overhead.routed_p50 - overhead.direct_p50),
      absl::ToDoubleMilliseconds(overhead.routed_p99 - overhead.direct_p99),
      overhead.routed_requests, overhead.routed_rate,
      absl::ToDoubleMicroseconds(overhead.processor_time_per_request));
}

}  // namespace ladderstream::rehearsal
