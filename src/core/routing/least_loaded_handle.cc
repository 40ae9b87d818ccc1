#include "core/routing/least_loaded_handle.h"

#include <absl/hash/hash.h>

#include <algorithm>

namespace ladderstream::routing {
namespace {

constexpr Duration kNoBackendRetryAfter = absl::Milliseconds(200);
/// The latency of a back end not yet known, and the least that counts: below it, load decides.
constexpr Duration kMinLatency = absl::Milliseconds(1);
constexpr int kFirstServerError = 500;

Duration ExpectedTime(const BackendRoute& backend) {
  const int32_t in_flight = backend.state->in_flight.load(std::memory_order_relaxed);
  return (in_flight + 1) * std::max(kMinLatency, backend.state->health.Latency());
}

}  // namespace

void RecordAttempt(BackendState& state, const ForwardResponse& response, Duration latency,
                   Time now) {
  switch (response.result) {
    case ResultCode::kOk:
      if (response.status >= kFirstServerError) {
        state.health.RecordFailure(now);
      } else {
        state.health.RecordSuccess(latency, now);
      }
      return;
    case ResultCode::kBackendUnreachable:
    case ResultCode::kConnectionLost:
    case ResultCode::kTimedOut:
    case ResultCode::kAnswerTruncated:
      state.health.RecordFailure(now);
      return;
    default:
      // Refusals and lost nodes say nothing about the back end's health.
      return;
  }
}

size_t LeastLoadedHandle::Draw(size_t count) {
  const uint64_t draw = draws_.fetch_add(1, std::memory_order_relaxed);
  return absl::HashOf(draw) % count;
}

const BackendRoute* LeastLoadedHandle::BetterOfTwo(
    const std::vector<const BackendRoute*>& candidates) {
  const size_t first = Draw(candidates.size());
  if (candidates.size() == 1) {
    return candidates[first];
  }
  const size_t other = (first + 1 + Draw(candidates.size() - 1)) % candidates.size();
  return ExpectedTime(*candidates[first]) <= ExpectedTime(*candidates[other]) ? candidates[first]
                                                                              : candidates[other];
}

const BackendRoute* LeastLoadedHandle::Choose(const RouteContext& context, Time now) {
  std::vector<const BackendRoute*> members;
  std::vector<const health::BackendHealth*> healths;
  for (const BackendRoute* backend : context.service->backends) {
    if (backend->home != nullptr && !backend->draining) {
      members.push_back(backend);
      healths.push_back(&backend->state->health);
    }
  }
  if (members.empty()) {
    return nullptr;
  }
  const std::vector<bool> eligible = health::EligibleMembers(healths, settings_, now);
  std::vector<const BackendRoute*> fresh;
  std::vector<const BackendRoute*> healthy;
  for (size_t i = 0; i < members.size(); ++i) {
    if (!eligible[i]) {
      continue;
    }
    healthy.push_back(members[i]);
    if (!context.tried->Contains(members[i]->configuration->id)) {
      fresh.push_back(members[i]);
    }
  }
  return BetterOfTwo(fresh.empty() ? healthy : fresh);
}

ForwardResponse LeastLoadedHandle::Route(RouteContext& context) {
  const Time started = time_.Now();
  const BackendRoute* backend = Choose(context, started);
  if (backend == nullptr) {
    return Refuse(ResultCode::kNoOwner, kNoBackendRetryAfter);
  }
  context.message.backend = backend->configuration->id;
  context.message.token = GrantToken();
  context.tried->Add(backend->configuration->id);
  // The state outlives the table that this request may exchange for a newer one.
  const BackendStatePtr state = backend->state;
  state->in_flight.fetch_add(1, std::memory_order_relaxed);
  ForwardResponse response = sender_.Send(*backend->home, context);
  state->in_flight.fetch_sub(1, std::memory_order_relaxed);
  const Time now = time_.Now();
  RecordAttempt(*state, response, now - started, now);
  return response;
}

}  // namespace ladderstream::routing
