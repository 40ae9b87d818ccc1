#include "daemon/router/hedge_handle.h"

#include <absl/synchronization/mutex.h>

#include <optional>
#include <utility>

namespace ladderstream {

/// The attempts of one request; shared with the threads that run them.
struct HedgeHandle::Race {
  absl::Mutex mutex;
  uint32_t running ABSL_GUARDED_BY(mutex) = 0;
  std::optional<ForwardResponse> answer ABSL_GUARDED_BY(mutex);
  /// What the attempts that ended without an answer gave.
  ForwardResponse failure ABSL_GUARDED_BY(mutex);
  bool any_failed ABSL_GUARDED_BY(mutex) = false;
  /// Cancels every attempt.
  const routing::CancellationPtr cancellation = std::make_shared<routing::Cancellation>();

  bool IsOver() const ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    return answer.has_value() || running == 0;
  }

  void Finish(ForwardResponse response) {
    const absl::MutexLock lock(&mutex);
    --running;
    if (response.result == ResultCode::kOk && !answer.has_value()) {
      answer = std::move(response);
    } else if (response.result != ResultCode::kOk) {
      failure = any_failed ? routing::CombineAttempts(std::move(failure), std::move(response))
                           : std::move(response);
      any_failed = true;
    }
  }
};

HedgeHandle::HedgeHandle(WorkerPool& workers, routing::RouteHandlePtr next)
    : workers_(workers), next_(std::move(next)) {}

bool HedgeHandle::StartAttempt(const routing::RouteContext& context,
                               const std::shared_ptr<Race>& race) {
  routing::RouteContext attempt = context;
  attempt.cancellation = race->cancellation;
  {
    const absl::MutexLock lock(&race->mutex);
    ++race->running;
  }
  const bool started = workers_.Submit([this, race, attempt = std::move(attempt)]() mutable {
    race->Finish(next_->Route(attempt));
  });
  if (!started) {
    const absl::MutexLock lock(&race->mutex);
    --race->running;
  }
  return started;
}

ForwardResponse HedgeHandle::RunRace(routing::RouteContext& context,
                                     const std::shared_ptr<Race>& race) {
  const auto over = [&race] { return race->IsOver(); };
  const Duration patience =
      absl::Milliseconds(context.service->configuration->limits.hedge_after_ms);
  {
    const absl::MutexLock lock(&race->mutex);
    if (race->mutex.AwaitWithTimeout(absl::Condition(&over), patience)) {
      return race->answer.has_value() ? *race->answer : race->failure;
    }
  }
  if (context.service->state->budget.Withdraw()) {
    StartAttempt(context, race);
  }
  const absl::MutexLock lock(&race->mutex, absl::Condition(&over));
  return race->answer.has_value() ? *race->answer : race->failure;
}

ForwardResponse HedgeHandle::Route(routing::RouteContext& context) {
  const bool hedged =
      context.rule->repeatable && context.service->configuration->limits.hedge_after_ms > 0;
  const auto race = hedged ? std::make_shared<Race>() : nullptr;
  if (!hedged || !StartAttempt(context, race)) {
    return next_->Route(context);
  }
  const uint64_t callback =
      context.cancellation->OnCancel([race] { race->cancellation->Cancel(); });
  ForwardResponse response = RunRace(context, race);
  context.cancellation->Forget(callback);
  race->cancellation->Cancel();
  return response;
}

}  // namespace ladderstream
