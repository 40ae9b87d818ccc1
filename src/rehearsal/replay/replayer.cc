#include "rehearsal/replay/replayer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "rehearsal/replay/replayed_cluster.h"

namespace ladderstream::rehearsal {
namespace {

constexpr absl::Duration kRetryPause = absl::Milliseconds(20);
constexpr absl::Duration kPatience = absl::Seconds(3);
constexpr int kTriesPerAttempt = 4;
constexpr absl::Duration kProbeInterval = absl::Milliseconds(50);
constexpr absl::Duration kProbeDeadline = absl::Milliseconds(200);
constexpr uint32_t kProbesPerService = 6;
// After the trace: calls under way end.
constexpr absl::Duration kSettleTime = absl::Seconds(5);

/// One call and where it stands.
struct Call {
  CallAttempt attempt;
  absl::Duration deadline;
  absl::Time give_up;
  size_t node = 0;
  int tries = 0;
};
using CallPtr = std::shared_ptr<Call>;

class Replayer {
 public:
  explicit Replayer(const Trace& trace)
      : trace_(trace),
        deployment_(FindDeployment(trace.header.deployment)),
        cluster_(trace, deployment_),
        environment_(cluster_.simulation().environment()) {}

  Evidence Run() {
    cluster_.Start();
    begin_ = cluster_.now();
    end_ = begin_ + trace_.header.length;
    cluster_.ScheduleFaults(trace_.faults, begin_);
    for (const RequestBatch& batch : trace_.batches) {
      ScheduleBatch(batch);
    }
    ScheduleProbes();
    const absl::Time settled = end_ + kSettleTime;
    while (cluster_.Step(settled)) {
    }
    cluster_.AddPresenceTo(evidence_, begin_, end_);
    evidence_.keyed_services = KeyedServices(deployment_);
    return std::move(evidence_);
  }

 private:
  // --- Callers. ---------------------------------------------------------------------------------

  void ScheduleBatch(const RequestBatch& batch) {
    const ServiceSpec& service = ServiceOf(batch.service);
    const RequestKind& kind = service.kinds.front();
    const absl::Duration gap = kBatchLength / static_cast<double>(batch.keys.size());
    absl::Time due = begin_ + batch.at;
    for (const uint32_t key : batch.keys) {
      auto call = std::make_shared<Call>();
      call->attempt.call_id = absl::StrCat("r", ++calls_);
      call->attempt.service = batch.service;
      call->attempt.request = batch.request;
      call->attempt.key = absl::StrCat(kind.key_prefix, key);
      call->attempt.repeatable = kind.repeatable;
      call->attempt.due = due;
      call->deadline = kind.deadline;
      call->give_up = due + kPatience;
      call->node = calls_ % trace_.header.nodes;
      environment_.At(due, [this, call] { Send(call); });
      due += gap;
    }
  }

  void ScheduleProbes() {
    for (const ServiceSpec& service : deployment_.services) {
      if (service.configuration.routing == RoutingKind::kByKey) {
        const RequestKind& kind = service.kinds.front();
        for (uint32_t i = 0; i < kProbesPerService; ++i) {
          const uint32_t number = i * kind.key_count / kProbesPerService;
          Probe(service, absl::StrCat(kind.key_prefix, number));
        }
      }
    }
  }

  void Probe(const ServiceSpec& service, const std::string& key) {
    if (cluster_.now() >= end_) {
      return;
    }
    auto call = std::make_shared<Call>();
    call->attempt.call_id = absl::StrCat("p", ++calls_);
    call->attempt.service = service.configuration.name.value();
    call->attempt.request = service.kinds.front().request;
    call->attempt.key = key;
    call->attempt.probe = true;
    call->attempt.due = cluster_.now();
    call->deadline = kProbeDeadline;
    call->give_up = cluster_.now();
    call->node = calls_ % trace_.header.nodes;
    Send(call);
    environment_.At(cluster_.now() + kProbeInterval,
                    [this, &service, key] { Probe(service, key); });
  }

  // A node that is gone refuses the connection; the caller goes on to the next.
  void Send(const CallPtr& call) {
    const uint32_t attempt = call->attempt.attempt;
    call->attempt.sent = cluster_.now();
    call->tries = 0;
    for (uint32_t i = 0; i < trace_.header.nodes; ++i) {
      if (cluster_.simulation().Node(call->node) != nullptr) {
        break;
      }
      call->node = (call->node + 1) % trace_.header.nodes;
    }
    environment_.At(cluster_.now() + call->deadline, [this, call, attempt] {
      if (IsOpen(call, attempt)) {
        call->node = (call->node + 1) % trace_.header.nodes;
        Conclude(call, Outcome::kUnknown, 0);
      }
    });
    environment_.AtHost(cluster_.simulation().NodeHost(call->node), deployment_.caller_delay,
                        [this, call, attempt] { Route(call, attempt); });
  }

  static bool IsOpen(const CallPtr& call, uint32_t attempt) {
    return call->attempt.attempt == attempt && call->attempt.known == absl::Time();
  }

  void Answer(const CallPtr& call, uint32_t attempt, Outcome outcome, ResultCode code) {
    environment_.At(cluster_.now() + deployment_.caller_delay,
                    [this, call, attempt, outcome, code] {
                      if (IsOpen(call, attempt)) {
                        Conclude(call, outcome, static_cast<uint32_t>(code));
                      }
                    });
  }

  void Conclude(const CallPtr& call, Outcome outcome, uint32_t code) {
    CallAttempt& attempt = call->attempt;
    attempt.known = cluster_.now();
    attempt.outcome = outcome;
    attempt.code = code;
    evidence_.calls.push_back(attempt);
    const bool may_repeat = attempt.repeatable || outcome == Outcome::kDidNotRun;
    const absl::Time next = attempt.known + kRetryPause;
    if (outcome == Outcome::kAnswered || !may_repeat || next >= call->give_up) {
      return;
    }
    environment_.At(next, [this, call] {
      ++call->attempt.attempt;
      call->attempt.known = absl::Time();
      Send(call);
    });
  }

  // --- Nodes. -----------------------------------------------------------------------------------

  // At the node, as the route handles do it.
  void Route(const CallPtr& call, uint32_t attempt) {
    if (!IsOpen(call, attempt)) {
      return;
    }
    const auto routes = cluster_.Routes(call->node);
    const simulation::NodeProcess* node = cluster_.simulation().Node(call->node);
    const auto* service = routes->FindService(ServiceName(call->attempt.service));
    if (service == nullptr || routes->confirmed_until() <= node->LocalNow()) {
      Answer(call, attempt, Outcome::kDidNotRun, ResultCode::kConfigurationUnconfirmed);
      return;
    }
    if (service->configuration->routing == RoutingKind::kByLoad) {
      RouteByLoad(call, attempt, *service);
      return;
    }
    const routing::ShardRoute& route = service->Find(call->attempt.key);
    if (route.owner == nullptr) {
      TryAgain(call, attempt, ResultCode::kNoOwner);
      return;
    }
    const BackendId& owner = route.owner->configuration->id;
    cluster_.RecordLoad(call->node, *service, call->attempt.key, owner);
    const size_t backend = cluster_.IndexOf(owner);
    const ShardId shard = service->ShardOf(call->attempt.key);
    environment_.TransmitOnce(cluster_.simulation().NodeHost(call->node),
                              cluster_.simulation().BackendHost(backend),
                              [this, call, attempt, backend, shard, token = route.token] {
                                Serve(call, attempt, backend, shard, token);
                              });
  }

  void RouteByLoad(const CallPtr& call, uint32_t attempt, const routing::ServiceRoute& service) {
    // The simulation has no health checks: nodes see that a connection is refused.
    const size_t first = environment_.DrawNumber() % service.backends.size();
    for (size_t i = 0; i < service.backends.size(); ++i) {
      const auto& route = *service.backends[(first + i) % service.backends.size()];
      const size_t backend = cluster_.IndexOf(route.configuration->id);
      if (!route.draining && cluster_.simulation().Backend(backend) != nullptr) {
        environment_.TransmitOnce(
            cluster_.simulation().NodeHost(call->node), cluster_.simulation().BackendHost(backend),
            [this, call, attempt, backend] { ServeByLoad(call, attempt, backend); });
        return;
      }
    }
    Answer(call, attempt, Outcome::kDidNotRun, ResultCode::kBackendUnreachable);
  }

  void TryAgain(const CallPtr& call, uint32_t attempt, ResultCode code) {
    if (++call->tries >= kTriesPerAttempt) {
      Answer(call, attempt, Outcome::kDidNotRun, code);
      return;
    }
    environment_.AtHost(cluster_.simulation().NodeHost(call->node), kRetryPause,
                        [this, call, attempt] { Route(call, attempt); });
  }

  // --- Back ends. -------------------------------------------------------------------------------

  void Serve(const CallPtr& call, uint32_t attempt, size_t backend, const ShardId& shard,
             const GrantToken& token) {
    const simulation::BackendRequest request{++requests_, shard.service, call->attempt.key,
                                             shard.range, token};
    const size_t execution = evidence_.record.executions.size();
    const bool runs = cluster_.simulation().Backend(backend)->Serve(
        request, [this, call, attempt, backend, execution] {
          evidence_.record.executions[execution].finished = cluster_.now();
          Deliver(call, attempt, backend, Outcome::kAnswered, ResultCode::kOk);
        });
    if (runs) {
      NoteExecution(call, backend, token);
      return;
    }
    environment_.TransmitOnce(
        cluster_.simulation().BackendHost(backend), cluster_.simulation().NodeHost(call->node),
        [this, call, attempt] { TryAgain(call, attempt, ResultCode::kOwnerChanged); });
  }

  void ServeByLoad(const CallPtr& call, uint32_t attempt, size_t backend) {
    const size_t execution = evidence_.record.executions.size();
    NoteExecution(call, backend, GrantToken{});
    environment_.AtHost(cluster_.simulation().BackendHost(backend),
                        ServiceOf(call->attempt.service).service_time,
                        [this, call, attempt, backend, execution] {
                          evidence_.record.executions[execution].finished = cluster_.now();
                          Deliver(call, attempt, backend, Outcome::kAnswered, ResultCode::kOk);
                        });
  }

  void NoteExecution(const CallPtr& call, size_t backend, const GrantToken& token) {
    Execution execution;
    execution.backend = cluster_.simulation().Backend(backend)->id();
    execution.attempt_id = AttemptId(call->attempt);
    execution.service = call->attempt.service;
    execution.key = call->attempt.key;
    execution.request = call->attempt.request;
    execution.token = token;
    execution.started = cluster_.now();
    evidence_.record.executions.push_back(std::move(execution));
  }

  void Deliver(const CallPtr& call, uint32_t attempt, size_t backend, Outcome outcome,
               ResultCode code) {
    environment_.TransmitOnce(
        cluster_.simulation().BackendHost(backend), cluster_.simulation().NodeHost(call->node),
        [this, call, attempt, outcome, code] { Answer(call, attempt, outcome, code); });
  }

  const ServiceSpec& ServiceOf(const std::string& name) const {
    return *std::find_if(
        deployment_.services.begin(), deployment_.services.end(),
        [&name](const ServiceSpec& service) { return service.configuration.name.value() == name; });
  }

  const Trace& trace_;
  const DeploymentSpec deployment_;
  ReplayedCluster cluster_;
  simulation::Environment& environment_;
  absl::Time begin_;
  absl::Time end_;
  uint64_t calls_ = 0;
  uint64_t requests_ = 0;
  Evidence evidence_;
};

}  // namespace

Evidence Replay(const Trace& trace) { return Replayer(trace).Run(); }

}  // namespace ladderstream::rehearsal
