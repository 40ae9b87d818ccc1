#include "observability/request_trace.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::observability {
namespace {

EventName SendEvent(AttemptPurpose purpose) {
  switch (purpose) {
    case AttemptPurpose::kAgain:
      return EventName::kRequestSentAgain;
    case AttemptPurpose::kHedge:
      return EventName::kRequestHedged;
    default:
      return EventName::kRequestSent;
  }
}

EventName FinalEvent(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kRefused:
      return EventName::kRequestRefused;
    case RequestOutcome::kUnknown:
      return EventName::kOutcomeUnknown;
    default:
      return EventName::kRequestAnswered;
  }
}

EventName EndEvent(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
    case AttemptResult::kNotExecuted:
      return EventName::kAttemptAnswered;
    case AttemptResult::kCancelled:
      return EventName::kAttemptCancelled;
    case AttemptResult::kLeftBehind:
      return EventName::kAttemptLeftBehind;
    default:
      return EventName::kAttemptFailed;
  }
}

void AddBeliefs(const BeliefsInForce& beliefs, Time at, std::vector<EventField>* fields) {
  fields->emplace_back(FieldName::kConfiguration, beliefs.configuration_version);
  fields->emplace_back(FieldName::kMap, FormatMapVersion(beliefs.map));
  if (beliefs.map_confirmed != absl::InfinitePast()) {
    fields->emplace_back(FieldName::kMapAgeMs, at - beliefs.map_confirmed);
  }
}

std::string_view NameOf(forwarding::SendCause cause) {
  switch (cause) {
    case forwarding::SendCause::kFirst:
      return "first";
    case forwarding::SendCause::kAfterConnectFailure:
      return "connect_failure";
    case forwarding::SendCause::kAfterRefusal:
      return "refusal";
    case forwarding::SendCause::kAfterLoss:
      return "loss";
    case forwarding::SendCause::kHedge:
      return "hedge";
  }
  return "unknown";
}

AttemptPurpose PurposeOf(forwarding::SendCause cause) {
  switch (cause) {
    case forwarding::SendCause::kFirst:
      return AttemptPurpose::kFirst;
    case forwarding::SendCause::kHedge:
      return AttemptPurpose::kHedge;
    default:
      return AttemptPurpose::kAgain;
  }
}

PendingLine SendLine(std::string_view request_id, const RequestTrace::Attempt& attempt,
                     size_t ordinal) {
  PendingLine line{SendEvent(attempt.purpose), attempt.decided, {}};
  line.fields = {EventField(FieldName::kRequest, request_id),
                 EventField(FieldName::kAttempt, ordinal),
                 EventField(FieldName::kBackend, attempt.backend)};
  if (attempt.send != nullptr) {
    const forwarding::SendDecision& send = *attempt.send;
    line.fields.emplace_back(FieldName::kAddress, FormatEndpoint(send.address));
    line.fields.emplace_back(FieldName::kSendCause, NameOf(send.cause));
    line.fields.emplace_back(FieldName::kWaitMs, send.expected_wait);
    line.fields.emplace_back(FieldName::kAnswerMs, send.answer_by - attempt.decided);
    if (send.peer != 0) {
      line.fields.emplace_back(FieldName::kPeer, absl::StrCat(absl::Hex(send.peer)));
    }
  }
  return line;
}

PendingLine EndLine(std::string_view request_id, const RequestTrace::Attempt& attempt,
                    size_t ordinal) {
  PendingLine line{EndEvent(attempt.result), *attempt.ended, {}};
  line.fields = {EventField(FieldName::kRequest, request_id),
                 EventField(FieldName::kAttempt, ordinal),
                 EventField(FieldName::kBackend, attempt.backend)};
  if (line.event == EventName::kAttemptAnswered) {
    line.fields.emplace_back(FieldName::kStatus, attempt.status);
    line.fields.emplace_back(FieldName::kNotExecuted,
                             attempt.result == AttemptResult::kNotExecuted ? 1 : 0);
    if (attempt.rest.has_value()) {
      line.fields.emplace_back(FieldName::kRestMs, *attempt.rest);
    }
    if (attempt.leaving) {
      line.fields.emplace_back(FieldName::kLeaving, 1);
    }
    if (attempt.limit_per_second.has_value()) {
      line.fields.emplace_back(FieldName::kLimitPerS, absl::StrCat(*attempt.limit_per_second));
    }
  } else {
    if (line.event == EventName::kAttemptFailed) {
      line.fields.emplace_back(FieldName::kFailure, NameOf(attempt.result));
      line.fields.emplace_back(FieldName::kReason, attempt.cause);
    }
    line.fields.emplace_back(FieldName::kSent, attempt.sent.has_value() ? 1 : 0);
  }
  line.fields.emplace_back(FieldName::kElapsedMs, *attempt.ended - attempt.decided);
  return line;
}

}  // namespace

std::string FormatMapVersion(const ownership::MapVersion& version) {
  if (version == ownership::MapVersion()) {
    return {};
  }
  return absl::StrCat(version.epoch, ".", version.sequence);
}

std::string BeliefsInForce::ServicesOf(std::string_view route) const {
  if (routes == nullptr) {
    return {};
  }
  const auto found = routes->find(route);
  return found == routes->end() ? std::string() : found->second;
}

RequestOutcome OutcomeOfAnswer(ResultCode code) {
  switch (OutcomeOf(code)) {
    case Outcome::kAnswered:
      return RequestOutcome::kAnswered;
    case Outcome::kUnknown:
      return RequestOutcome::kUnknown;
    case Outcome::kDidNotRun:
      return RequestOutcome::kRefused;
  }
  return RequestOutcome::kUnknown;
}

void RequestTrace::Describe(const forwarding::IncomingRequest& request) {
  key_ = request.key;
  host_ = std::string(CutFieldValue(request.host));
  target_ = std::string(CutFieldValue(request.target));
  deadline_ = request.deadline;
}

RequestTrace::Attempt& RequestTrace::AddAttempt(std::string_view backend,
                                                const forwarding::SendDecision* send, Time now) {
  Attempt attempt;
  attempt.backend = std::string(backend);
  attempt.decided = now;
  if (send != nullptr) {
    attempt.purpose = PurposeOf(send->cause);
    attempt.send = std::make_unique<const forwarding::SendDecision>(*send);
  } else if (!attempts_.empty()) {
    attempt.purpose = AttemptPurpose::kAgain;
  }
  if (attempts_.size() == kMostAttempts) {
    attempts_.pop_back();
    ++attempts_left_out_;
  }
  attempts_.push_back(std::move(attempt));
  return attempts_.back();
}

RequestTrace::Attempt* RequestTrace::FindRunning(std::string_view backend) {
  const auto found =
      std::find_if(attempts_.begin(), attempts_.end(), [backend](const Attempt& attempt) {
        return attempt.backend == backend && !attempt.ended.has_value();
      });
  return found == attempts_.end() ? nullptr : &*found;
}

uint32_t RequestTrace::EndRunning(Time now) {
  uint32_t ended = 0;
  for (Attempt& attempt : attempts_) {
    if (!attempt.ended.has_value()) {
      attempt.ended = now;
      ++ended;
    }
  }
  return ended;
}

std::vector<PendingLine> RequestTrace::Steps(std::string_view request_id) const {
  PendingLine received{EventName::kRequestReceived, started_, {}};
  received.fields = {EventField(FieldName::kRequest, request_id),
                     EventField(FieldName::kRoute, route_),
                     EventField(FieldName::kService, beliefs_.ServicesOf(route_)),
                     EventField(FieldName::kHost, host_), EventField(FieldName::kTarget, target_)};
  if (key_.has_value()) {
    received.fields.emplace_back(FieldName::kKey, *key_);
  }
  if (deadline_ != absl::InfiniteFuture()) {
    received.fields.emplace_back(FieldName::kDeadlineMs, deadline_ - started_);
  }
  AddBeliefs(beliefs_, started_, &received.fields);
  std::vector<PendingLine> lines = {std::move(received)};
  for (size_t i = 0; i < attempts_.size(); ++i) {
    const bool is_last = i + 1 == attempts_.size();
    const size_t ordinal = i + 1 + (is_last ? attempts_left_out_ : 0);
    lines.push_back(SendLine(request_id, attempts_[i], ordinal));
    if (attempts_[i].ended.has_value()) {
      lines.push_back(EndLine(request_id, attempts_[i], ordinal));
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const PendingLine& a, const PendingLine& b) { return a.at < b.at; });
  if (attempts_left_out_ > 0) {
    const Time last = lines.back().at;
    lines.push_back({EventName::kStepsLeftOut,
                     last,
                     {EventField(FieldName::kRequest, request_id),
                      EventField(FieldName::kCount, attempts_left_out_)}});
  }
  return lines;
}

PendingLine RequestTrace::Last(const gateway::AnsweredRequest& request, Time now) const {
  PendingLine line = FinalLine(request, now);
  if (request.service.empty()) {
    line.fields.emplace_back(FieldName::kService, beliefs_.ServicesOf(route_));
  }
  if (key_.has_value()) {
    line.fields.emplace_back(FieldName::kKey, *key_);
  }
  if (!attempts_.empty()) {
    line.fields.emplace_back(FieldName::kQueueMs, attempts_.front().decided - started_);
  }
  AddBeliefs(beliefs_, started_, &line.fields);
  return line;
}

PendingLine FinalLine(const gateway::AnsweredRequest& request, Time now) {
  PendingLine line{FinalEvent(OutcomeOfAnswer(request.code)), now, {}};
  constexpr size_t kMostFields = 15;
  line.fields.reserve(kMostFields);
  line.fields.emplace_back(FieldName::kRequest, request.request_id);
  line.fields.emplace_back(FieldName::kRoute, request.route);
  line.fields.emplace_back(FieldName::kService, request.service);
  line.fields.emplace_back(FieldName::kStatus, request.status);
  if (request.code != ResultCode::kOk) {
    line.fields.emplace_back(FieldName::kCode, ladderstream::NameOf(request.code));
  }
  line.fields.emplace_back(FieldName::kReason, request.reason);
  line.fields.emplace_back(FieldName::kBackend, request.backend);
  line.fields.emplace_back(FieldName::kAttempts, request.attempts);
  line.fields.emplace_back(FieldName::kElapsedMs, request.total);
  if (request.at_backend > absl::ZeroDuration()) {
    line.fields.emplace_back(FieldName::kBackendMs, request.at_backend);
  }
  return line;
}

PendingLine CallerGoneLine(std::string_view request_id, Duration after, Time now) {
  return {EventName::kCallerGone,
          now,
          {EventField(FieldName::kRequest, request_id), EventField(FieldName::kElapsedMs, after)}};
}

}  // namespace ladderstream::observability
