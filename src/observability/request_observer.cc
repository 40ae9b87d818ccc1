#include "observability/request_observer.h"

#include <array>
#include <utility>

namespace ladderstream::observability {
namespace {

constexpr int kServerErrors = 500;

absl::string_view ToKey(std::string_view request_id) {
  return {request_id.data(), request_id.size()};
}

AttemptResult ResultOf(forwarding::AttemptFailure failure) {
  switch (failure) {
    case forwarding::AttemptFailure::kConnectRefused:
      return AttemptResult::kConnectRefused;
    case forwarding::AttemptFailure::kConnectTimeout:
      return AttemptResult::kConnectTimeout;
    case forwarding::AttemptFailure::kNotSent:
      return AttemptResult::kNotSent;
    case forwarding::AttemptFailure::kLost:
      return AttemptResult::kLost;
    case forwarding::AttemptFailure::kTimedOut:
      return AttemptResult::kTimedOut;
    case forwarding::AttemptFailure::kPeerUnavailable:
    case forwarding::AttemptFailure::kPeerHasNoPath:
      return AttemptResult::kPeerDeclined;
    case forwarding::AttemptFailure::kPeerLost:
      return AttemptResult::kPeerLost;
  }
  return AttemptResult::kLost;
}

}  // namespace

void RequestObserver::OnRequestStarted(std::string_view request_id, std::string_view route) {
  if (!request_id.empty() && traces_.size() < kMostTraces) {
    traces_.try_emplace(ToKey(request_id), route, *beliefs_, log_->Now());
  }
}

void RequestObserver::OnRequestDescribed(const forwarding::IncomingRequest& request) {
  RequestTrace* const trace = Find(request.request_id);
  if (trace != nullptr) {
    trace->Describe(request);
  }
}

void RequestObserver::OnAttemptDecided(std::string_view request_id,
                                       const forwarding::SendDecision& send) {
  RequestTrace* const trace = Find(request_id);
  if (trace != nullptr) {
    Begin(trace, send.backend, &send);
  }
}

void RequestObserver::OnAttemptSent(std::string_view request_id, std::string_view backend) {
  RequestTrace* const trace = Find(request_id);
  if (trace != nullptr) {
    Running(trace, backend).sent = log_->Now();
  }
}

void RequestObserver::OnAttemptAnswered(std::string_view request_id, std::string_view backend,
                                        const forwarding::AttemptAnswer& answer,
                                        Duration duration) {
  metrics_->CountStage(RequestStage::kBackend, duration);
  RequestTrace::Attempt* const attempt =
      EndAttempt(request_id, backend,
                 answer.not_executed ? AttemptResult::kNotExecuted : AttemptResult::kAnswered, {});
  if (attempt != nullptr) {
    attempt->status = answer.status;
    attempt->rest = answer.backoff;
    attempt->leaving = answer.leaving;
    attempt->limit_per_second = answer.limit.rate;
  }
}

void RequestObserver::OnAttemptFailed(std::string_view request_id, std::string_view backend,
                                      forwarding::AttemptFailure failure, std::string_view cause) {
  EndAttempt(request_id, backend, ResultOf(failure), cause);
}

void RequestObserver::OnAttemptCancelled(std::string_view request_id, std::string_view backend) {
  EndAttempt(request_id, backend, AttemptResult::kCancelled, {});
}

void RequestObserver::OnAnswered(const gateway::AnsweredRequest& request) {
  const RequestOutcome outcome = OutcomeOfAnswer(request.code);
  metrics_->CountRequest(request.route, outcome, request.code, request.total);
  const Time now = log_->Now();
  RequestTrace* const trace = Find(request.request_id);
  EndRunning(trace);
  const bool well = outcome == RequestOutcome::kAnswered && request.status < kServerErrors;
  if (!well || EventLog::Keeps(EventName::kRequestAnswered)) {
    PendingLine last = trace == nullptr ? FinalLine(request, now) : trace->Last(request, now);
    if (well) {
      log_->WriteTogether(EventKind::kAnsweredRequest, absl::MakeConstSpan(&last, 1));
    } else {
      WriteFailure(request.request_id, trace, std::move(last));
    }
  }
  Forget(request.request_id);
}

void RequestObserver::OnCallerGone(std::string_view request_id, Duration after) {
  RequestTrace* const trace = Find(request_id);
  metrics_->CountRequest(trace == nullptr ? std::string_view() : trace->route(),
                         RequestOutcome::kCallerGone, ResultCode::kCancelled, after);
  EndRunning(trace);
  WriteFailure(request_id, trace, CallerGoneLine(request_id, after, log_->Now()));
  Forget(request_id);
}

void RequestObserver::OnMalformed(ResultCode code, std::string_view detail) {
  metrics_->CountRequest({}, RequestOutcome::kRefused, code, absl::ZeroDuration());
  log_->Write(EventName::kRequestUnread, {EventField(FieldName::kCode, ladderstream::NameOf(code)),
                                          EventField(FieldName::kStatus, HttpStatusOf(code)),
                                          EventField(FieldName::kReason, detail)});
}

void RequestObserver::OnNotUnderstood(std::string_view header, std::string_view backend) {
  not_understood_.Note("answer_header", backend, header);
}

void RequestObserver::OnCarriedRequestFailed(std::string_view request_id, std::string_view backend,
                                             std::string_view outcome, std::string_view cause,
                                             Duration elapsed) {
  log_->Write(EventName::kCarriedRequestFailed,
              {EventField(FieldName::kRequest, request_id),
               EventField(FieldName::kBackend, backend), EventField(FieldName::kFailure, outcome),
               EventField(FieldName::kReason, cause), EventField(FieldName::kElapsedMs, elapsed)});
}

void RequestObserver::OnBackendConnected(std::string_view /*backend*/) {
  metrics_->CountConnection("opened");
}

void RequestObserver::OnConnectionRetired(std::string_view /*backend*/, std::string_view cause) {
  metrics_->CountConnection(cause);
}

RequestTrace* RequestObserver::Find(std::string_view request_id) {
  const auto found = traces_.find(ToKey(request_id));
  return found == traces_.end() ? nullptr : &found->second;
}

RequestTrace::Attempt& RequestObserver::Running(RequestTrace* trace, std::string_view backend) {
  RequestTrace::Attempt* const attempt = trace->FindRunning(backend);
  return attempt != nullptr ? *attempt : Begin(trace, backend, nullptr);
}

RequestTrace::Attempt& RequestObserver::Begin(RequestTrace* trace, std::string_view backend,
                                              const forwarding::SendDecision* send) {
  const Time now = log_->Now();
  RequestTrace::Attempt& attempt = trace->AddAttempt(backend, send, now);
  metrics_->CountAttempt(attempt.purpose);
  if (attempt.purpose == AttemptPurpose::kFirst) {
    metrics_->CountStage(RequestStage::kQueue, now - trace->started());
  }
  return attempt;
}

RequestTrace::Attempt* RequestObserver::EndAttempt(std::string_view request_id,
                                                   std::string_view backend, AttemptResult result,
                                                   std::string_view cause) {
  RequestTrace* const trace = Find(request_id);
  if (trace == nullptr) {
    return nullptr;
  }
  RequestTrace::Attempt& attempt = Running(trace, backend);
  attempt.ended = log_->Now();
  attempt.result = result;
  attempt.cause = std::string(CutFieldValue(cause));
  metrics_->CountAttemptEnd(result);
  return &attempt;
}

void RequestObserver::EndRunning(RequestTrace* trace) {
  if (trace == nullptr) {
    return;
  }
  for (uint32_t left = trace->EndRunning(log_->Now()); left > 0; --left) {
    metrics_->CountAttemptEnd(AttemptResult::kLeftBehind);
  }
}

void RequestObserver::WriteFailure(std::string_view request_id, const RequestTrace* trace,
                                   PendingLine last) {
  std::vector<PendingLine> lines;
  if (trace != nullptr) {
    lines = trace->Steps(request_id);
  }
  lines.push_back(std::move(last));
  log_->WriteTogether(EventKind::kFailedRequest, lines);
}

void RequestObserver::Forget(std::string_view request_id) { traces_.erase(ToKey(request_id)); }

}  // namespace ladderstream::observability
