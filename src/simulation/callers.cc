#include "simulation/callers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::simulation {
namespace {

constexpr Duration kMeanGap = absl::Milliseconds(15);
constexpr Duration kRetryPause = absl::Milliseconds(20);
constexpr Duration kDeadline = absl::Milliseconds(400);
constexpr int kMaxTries = 4;
constexpr uint64_t kKeys = 200;

const Assignment* FindOwner(const authority::RoutingState& state, const BackendRequest& request) {
  const auto found = std::find_if(
      state.assignments.begin(), state.assignments.end(), [&](const Assignment& assignment) {
        return assignment.shard == ShardId{request.service, request.range, ""} &&
               assignment.state == AssignmentState::kOwned;
      });
  return found == state.assignments.end() ? nullptr : &*found;
}

}  // namespace

struct Callers::Call {
  size_t node = 0;
  BackendRequest request;
  int tries = 0;
  bool finished = false;
};

void Callers::Run(Time end) {
  Environment& environment = cluster_.environment();
  if (environment.now() >= end) {
    return;
  }
  SendOne();
  environment.At(environment.now() + 2 * kMeanGap * environment.Draw(), [this, end] { Run(end); });
}

void Callers::SendOne() {
  Environment& environment = cluster_.environment();
  const auto& services = cluster_.first_configuration().services;
  const ServiceConfiguration& service = services[environment.DrawNumber() % services.size()];
  auto call = std::make_shared<Call>();
  call->node = environment.DrawNumber() % cluster_.node_count();
  call->request.id = next_id_++;
  call->request.service = service.name;
  call->request.key = absl::StrCat(service.name.value(), "/", environment.DrawNumber() % kKeys);
  call->request.range = RangeOf(call->request.key, service.range_count);
  environment.AtHost(cluster_.NodeHost(call->node), absl::ZeroDuration(), [this, call] {
    const HostId host = cluster_.NodeHost(call->node);
    cluster_.environment().AtHost(host, kDeadline,
                                  [this, call] { Finish(call, CallOutcome::kUnknown); });
    Try(call);
  });
}

void Callers::Try(const std::shared_ptr<Call>& call) {
  if (call->finished) {
    return;
  }
  ++call->tries;
  const authority::RoutingState state = cluster_.Node(call->node)->Routing();
  const Assignment* const owner = FindOwner(state, call->request);
  const bool is_confirmed = state.confirmed_until > cluster_.Node(call->node)->LocalNow();
  BackendProcess* const target =
      owner == nullptr ? nullptr : cluster_.FindBackendProcess(owner->owner);
  if (target == nullptr || !is_confirmed) {
    RetryOrRefuse(call);
    return;
  }
  BackendRequest request = call->request;
  request.token = owner->token;
  const HostId host = target->host();
  cluster_.environment().TransmitOnce(cluster_.NodeHost(call->node), host,
                                      [this, call, backend = host - cluster_.node_count(),
                                       request] { Arrive(call, backend, request); });
}

void Callers::Arrive(const std::shared_ptr<Call>& call, size_t backend,
                     const BackendRequest& request) {
  Environment& environment = cluster_.environment();
  const HostId from = cluster_.BackendHost(backend);
  const HostId to = cluster_.NodeHost(call->node);
  const bool runs = cluster_.Backend(backend)->Serve(request, [this, call, from, to] {
    cluster_.environment().TransmitOnce(from, to,
                                        [this, call] { Finish(call, CallOutcome::kAnswered); });
  });
  if (!runs) {
    environment.TransmitOnce(from, to, [this, call] { RetryOrRefuse(call); });
  }
}

void Callers::RetryOrRefuse(const std::shared_ptr<Call>& call) {
  if (call->tries >= kMaxTries) {
    Finish(call, CallOutcome::kDidNotRun);
    return;
  }
  cluster_.environment().AtHost(cluster_.NodeHost(call->node), kRetryPause,
                                [this, call] { Try(call); });
}

void Callers::Finish(const std::shared_ptr<Call>& call, CallOutcome outcome) {
  if (!call->finished) {
    call->finished = true;
    cluster_.history().NoteOutcome(call->request.id, outcome);
  }
}

}  // namespace ladderstream::simulation
