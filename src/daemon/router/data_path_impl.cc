#include "daemon/router/data_path_impl.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <optional>
#include <utility>
#include <vector>

#include "core/routing/confirmation_handle.h"
#include "core/routing/deadline_handle.h"
#include "core/routing/least_loaded_handle.h"
#include "core/routing/owner_handle.h"
#include "core/routing/retry_handle.h"
#include "core/routing/routing_kind_handle.h"
#include "daemon/router/attempt_router.h"
#include "daemon/router/control_plane_watch.h"
#include "daemon/router/data_path_metrics.h"
#include "daemon/router/hedge_handle.h"
#include "daemon/router/load_recorder.h"
#include "daemon/router/log_limiter.h"
#include "daemon/router/request_validation.h"
#include "logging/log.h"

namespace ladderstream {
namespace {

constexpr uint32_t kUnknownOutcomeLinesPerSecond = 10;
constexpr Duration kShuttingDownRetryAfter = absl::Milliseconds(50);

/// Counts each attempt's result on its way back.
class CountingSender : public routing::AttemptSender {
 public:
  CountingSender(routing::AttemptSender& next, DataPathMetrics& metrics)
      : next_(next), metrics_(metrics) {}

  ForwardResponse Send(const NodeDescriptor& home, routing::RouteContext& context) override {
    ForwardResponse response = next_.Send(home, context);
    metrics_.AttemptFinished(response.result);
    return response;
  }

 private:
  routing::AttemptSender& next_;
  DataPathMetrics& metrics_;
};

/// What is under way on this node, so that a drain can wait for its end.
class InFlight {
 public:
  /// Counts one request for as long as it lives.
  class Guard {
   public:
    explicit Guard(InFlight& in_flight) : in_flight_(in_flight) { in_flight_.Add(1); }
    ~Guard() { in_flight_.Add(-1); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

   private:
    InFlight& in_flight_;
  };

  void AwaitNone(Duration timeout) {
    const auto none = [this] { return count_ == 0; };
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&none), timeout);
  }

 private:
  void Add(int64_t change) {
    const absl::MutexLock lock(&mutex_);
    count_ += change;
  }

  absl::Mutex mutex_;
  int64_t count_ ABSL_GUARDED_BY(mutex_) = 0;
};

GateSettings MakeGateSettings(const DataPathSettings& settings) {
  GateSettings gate;
  gate.connection.connect_timeout = settings.connect_timeout;
  gate.connection.max_answer_bytes = settings.max_answer_bytes;
  gate.idle_connection_timeout = settings.idle_connection_timeout;
  gate.handover_period = settings.handover_period;
  return gate;
}

CallerAnswer MakeRefusal(ResultCode code, std::string message, Duration retry_after) {
  CallerAnswer answer;
  answer.result = code;
  answer.message = std::move(message);
  answer.retry_after = retry_after;
  return answer;
}

CallerAnswer ToAnswer(ForwardResponse response) {
  CallerAnswer answer;
  answer.result = response.result;
  answer.status = static_cast<int>(response.status);
  answer.body = std::move(response.body);
  answer.content_type = std::move(response.content_type);
  answer.retry_after = response.retry_after;
  return answer;
}

}  // namespace

void CheckDataPathSettings(const DataPathSettings& settings) {
  std::vector<std::string> faults;
  const auto require = [&faults](bool holds, const char* fault) {
    if (!holds) {
      faults.emplace_back(fault);
    }
  };
  require(settings.max_deadline > absl::ZeroDuration(), "max_deadline must be above 0");
  require(settings.routing_wait >= absl::ZeroDuration(), "routing_wait must not be below 0");
  require(settings.routing_wait < settings.max_deadline, "routing_wait must be below max_deadline");
  require(settings.max_routing_attempts <= 16, "max_routing_attempts must be at most 16");
  require(settings.connect_timeout > absl::ZeroDuration(), "connect_timeout must be above 0");
  require(settings.panic_threshold >= 0 && settings.panic_threshold <= 1,
          "panic_threshold must be from 0 to 1");
  require(settings.max_hedge_threads > 0, "max_hedge_threads must be above 0");
  if (!faults.empty()) {
    throw Error(ResultCode::kInconsistentSettings, absl::StrJoin(faults, "; "));
  }
}

class DataPathImpl::Impl {
 public:
  Impl(ControlPlanePtr control_plane, PeerChannelPtr peers, const DataPathSettings& settings,
       const TimeSource& time, const NodeDescriptor& self,
       std::shared_ptr<prometheus::Registry> registry)
      : settings_(settings),
        time_(time),
        metrics_(std::move(registry)),
        watch_(std::move(control_plane), time, settings.min_retry_tokens),
        gates_(MakeGateSettings(settings), time, self.id),
        attempts_(self.id, std::move(peers), time, gates_),
        sender_(attempts_, metrics_),
        loads_(time.Now()),
        handles_(MakeHandles()),
        hedge_workers_(settings.max_hedge_threads, 0) {}

  CallerAnswer Handle(const CallerRequest& request, const routing::CancellationPtr& cancellation) {
    const InFlight::Guard guard(in_flight_);
    const Time started = time_.Now();
    metrics_.RequestStarted();
    CallerAnswer answer = Answer(request, cancellation, started);
    metrics_.RequestFinished(request.service, answer.result, time_.Now() - started);
    return answer;
  }

  ForwardResponse RunAttempt(const ForwardRequest& request) {
    const InFlight::Guard guard(in_flight_);
    if (draining_.load()) {
      return routing::Refuse(ResultCode::kShuttingDown, kShuttingDownRetryAfter);
    }
    return attempts_.RunForwarded(*watch_.Current(), request);
  }

  void CancelAttempt(const std::string& request_id) { attempts_.CancelForwarded(request_id); }

  authority::LoadObserved TakeLoad() {
    gates_.Update(*watch_.Current());
    authority::LoadObserved observed;
    observed.shards = loads_.Take(time_.Now());
    observed.backends = gates_.TakeLoads();
    return observed;
  }

  void Drain(Duration timeout) {
    draining_.store(true);
    in_flight_.AwaitNone(timeout);
  }

 private:
  /// The way of a request: each handle is one policy, and hands it to the next.
  routing::RouteHandlePtr MakeHandles() {
    health::GroupSettings group;
    group.panic_threshold = settings_.panic_threshold;
    auto by_key = std::make_unique<routing::OwnerHandle>(sender_);
    auto by_load =
        std::make_unique<routing::LeastLoadedHandle>(time_, group, settings_.seed, sender_);
    auto kind = std::make_unique<routing::RoutingKindHandle>(std::move(by_key), std::move(by_load));
    auto deadline = std::make_unique<routing::DeadlineHandle>(time_, std::move(kind));
    auto hedge = std::make_unique<HedgeHandle>(hedge_workers_, std::move(deadline));
    auto confirmation = std::make_unique<routing::ConfirmationHandle>(time_, std::move(hedge));
    const routing::RetrySettings retry{settings_.routing_wait, settings_.max_routing_attempts};
    return std::make_unique<routing::RetryHandle>(retry, time_, watch_, std::move(confirmation));
  }

  CallerAnswer Answer(const CallerRequest& request, const routing::CancellationPtr& cancellation,
                      Time started) {
    if (draining_.load()) {
      return MakeRefusal(ResultCode::kShuttingDown, "the node is stopping; ask another",
                         kShuttingDownRetryAfter);
    }
    routing::RouteContext context;
    context.table = watch_.Current();
    if (const auto fault = FindFault(*context.table, request, settings_.max_deadline)) {
      // Without a confirmed configuration nothing may be said about what is declared.
      const bool confirmed = started < context.table->confirmed_until();
      return confirmed
                 ? MakeRefusal(fault->code, fault->message, absl::ZeroDuration())
                 : MakeRefusal(ResultCode::kConfigurationUnconfirmed,
                               "the node can't confirm its configuration", kShuttingDownRetryAfter);
    }
    FillContext(request, cancellation, started, context);
    if (context.service->configuration->routing == RoutingKind::kByKey) {
      loads_.Record(*context.service, request.key);
    }
    ForwardResponse response = handles_->Route(context);
    if (OutcomeOf(response.result) == Outcome::kUnknown) {
      LogUnknownOutcome(context, response.result, started);
    }
    return ToAnswer(std::move(response));
  }

  void LogUnknownOutcome(const routing::RouteContext& context, ResultCode result, Time started) {
    const Time now = time_.Now();
    const std::optional<uint64_t> held_back = unknown_outcomes_.Admit(now);
    if (!held_back.has_value()) {
      return;
    }
    Log(Part::kData, Severity::kWarning, "A request's outcome is unknown.",
        {{"result", NameOf(result)},
         {"service", context.message.service.value()},
         {"request", context.message.request},
         {"backend", context.message.backend.value()},
         {"after_ms", absl::ToInt64Milliseconds(now - started)},
         {"deadline_ms", absl::ToInt64Milliseconds(context.deadline - started)},
         {"held_back", *held_back}});
  }

  static void FillContext(const CallerRequest& request,
                          const routing::CancellationPtr& cancellation, Time started,
                          routing::RouteContext& context) {
    context.service = context.table->FindService(request.service);
    context.rule = FindRequest(*context.service->configuration, request.request);
    context.deadline =
        started - request.waited +
        request.deadline.value_or(absl::Milliseconds(context.rule->default_deadline_ms));
    context.cancellation = cancellation;
    context.tried = std::make_shared<routing::TriedBackends>();
    context.message.service = request.service;
    context.message.key = request.key;
    context.message.request = request.request;
    context.message.body = request.body;
    context.message.content_type = request.content_type;
    context.message.caller_id = request.caller_id;
    context.message.priority = context.rule->priority;
  }

  const DataPathSettings settings_;
  const TimeSource& time_;
  std::atomic<bool> draining_{false};
  LogLimiter unknown_outcomes_{kUnknownOutcomeLinesPerSecond};
  InFlight in_flight_;
  DataPathMetrics metrics_;
  ControlPlaneWatch watch_;
  GateRegistry gates_;
  AttemptRouter attempts_;
  CountingSender sender_;
  LoadRecorder loads_;
  const routing::RouteHandlePtr handles_;
  /// Last, so that its threads end before what they use.
  WorkerPool hedge_workers_;
};

DataPathImpl::DataPathImpl(ControlPlanePtr control_plane, PeerChannelPtr peers,
                           const DataPathSettings& settings, const TimeSource& time,
                           const NodeDescriptor& self,
                           std::shared_ptr<prometheus::Registry> registry)
    : impl_(std::make_unique<Impl>(std::move(control_plane), std::move(peers), settings, time, self,
                                   std::move(registry))) {}

DataPathImpl::~DataPathImpl() = default;

CallerAnswer DataPathImpl::Handle(const CallerRequest& request,
                                  const routing::CancellationPtr& cancellation) {
  return impl_->Handle(request, cancellation);
}

ForwardResponse DataPathImpl::RunAttempt(const ForwardRequest& request) {
  return impl_->RunAttempt(request);
}

void DataPathImpl::CancelAttempt(const std::string& request_id) {
  impl_->CancelAttempt(request_id);
}

authority::LoadObserved DataPathImpl::TakeLoad() { return impl_->TakeLoad(); }

void DataPathImpl::Drain(Duration timeout) { impl_->Drain(timeout); }

}  // namespace ladderstream
