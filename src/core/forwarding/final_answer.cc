#include "core/forwarding/final_answer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace ladderstream::forwarding {
namespace {

constexpr Duration kLeastRetryAfter = absl::Milliseconds(20);
constexpr Duration kMostRetryAfter = absl::Milliseconds(400);
/// Moving keys to another owner takes about this long.
constexpr Duration kOwnerRetryAfter = absl::Milliseconds(150);
constexpr Duration kNoMapRetryAfter = absl::Milliseconds(250);
/// Callers that were refused together come back spread over this share of the time.
constexpr double kRetryJitter = 0.25;
/// Of the time in which an answer can still be got in time, who is turned away stays away for this
/// share at most: who stays away for longer comes back too late to be served in time.
constexpr double kReturnShare = 0.2;
/// Each rank below the highest is told to stay away for longer by this share.
constexpr double kLaterPerRank = 0.5;

const char* UnavailableReasonText(UnavailableReason unavailable_reason) {
  switch (unavailable_reason) {
    case UnavailableReason::kNone:
      return "none";
    case UnavailableReason::kNoBackend:
      return "no back end takes new work";
    case UnavailableReason::kAllTried:
      return "every back end failed it";
    case UnavailableReason::kAllFull:
      return "all back ends are full";
    case UnavailableReason::kAllInBackoff:
      return "all back ends asked for rest";
    case UnavailableReason::kAllLimited:
      return "the limits of the back ends left are used up";
    case UnavailableReason::kAllCold:
      return "the back ends left are cold";
    case UnavailableReason::kOverloaded:
      return "the queue is longer than the time left";
    case UnavailableReason::kNoMap:
      return "no ownership map is confirmed";
    case UnavailableReason::kNoOwner:
      return "the key has no known owner";
    case UnavailableReason::kOwnerLeaving:
      return "the owner is draining or gone";
    case UnavailableReason::kMoving:
      return "the key is moving";
    case UnavailableReason::kNotOwner:
      return "the owner disowned the key";
    case UnavailableReason::kOwnerUnreachable:
      return "the owner is unreachable";
    case UnavailableReason::kOwnerFull:
      return "the owner is full";
    case UnavailableReason::kOwnerInBackoff:
      return "the owner asked for rest";
    case UnavailableReason::kOwnerLimited:
      return "the owner's limit is used up";
    case UnavailableReason::kOwnerCold:
      return "the owner is cold";
  }
  return "unknown";
}

const char* NameOfSetback(SetbackKind kind) {
  switch (kind) {
    case SetbackKind::kNone:
      return "none";
    case SetbackKind::kRefused:
      return "refused";
    case SetbackKind::kDenied:
      return "disowned the key";
    case SetbackKind::kUnreachable:
      return "unreachable";
    case SetbackKind::kNotSent:
      return "connection closed before sending";
    case SetbackKind::kLost:
      return "lost after sending";
    case SetbackKind::kUnclear:
      return "refused without saying that it did not run";
  }
  return "unknown";
}

ResultCode CodeOfUnavailableReason(UnavailableReason unavailable_reason) {
  switch (unavailable_reason) {
    case UnavailableReason::kNoMap:
    case UnavailableReason::kNoOwner:
    case UnavailableReason::kOwnerLeaving:
      return ResultCode::kNoOwner;
    case UnavailableReason::kMoving:
    case UnavailableReason::kNotOwner:
      return ResultCode::kOwnerChanged;
    case UnavailableReason::kAllLimited:
    case UnavailableReason::kOwnerLimited:
      return ResultCode::kBackendLimited;
    case UnavailableReason::kAllFull:
    case UnavailableReason::kAllInBackoff:
    case UnavailableReason::kAllCold:
    case UnavailableReason::kOverloaded:
    case UnavailableReason::kOwnerFull:
    case UnavailableReason::kOwnerInBackoff:
    case UnavailableReason::kOwnerCold:
      return ResultCode::kOverloaded;
    default:
      return ResultCode::kBackendUnreachable;
  }
}

ResultCode CodeOfSetback(SetbackKind kind) {
  switch (kind) {
    case SetbackKind::kRefused:
      return ResultCode::kBackendShed;
    case SetbackKind::kDenied:
      return ResultCode::kOwnerChanged;
    default:
      return ResultCode::kBackendUnreachable;
  }
}

/// How long until a slot is expected to be free there, and it may be asked for it.
Duration WaitAt(const BackendState& backend, Time now) {
  return std::max(backend.load.ExpectedWait(now), backend.backoff_until - now);
}

/// The shortest wait at any back end of the service.
Duration LeastWait(const ServiceState& service, Time now) {
  Duration least = absl::InfiniteDuration();
  for (const BackendStatePtr& backend : service.backends) {
    if (backend->UsableForAny(now)) {
      least = std::min(least, std::max(WaitAt(*backend, now), backend->load.full_until() - now));
    }
  }
  return least;
}

/// Between 0 and 1.
double Draw(std::mt19937_64& random) {
  constexpr uint64_t kSteps = 1024;
  return static_cast<double>(random() % kSteps) / kSteps;
}

Duration RetryAfter(const Request& request, ResultCode code, const BackendStatePtr& about,
                    std::mt19937_64& random, Time now) {
  Duration time = kOwnerRetryAfter;
  if (code == ResultCode::kOverloaded || code == ResultCode::kBackendShed) {
    time = request.sharded && about != nullptr ? WaitAt(*about, now)
                                               : LeastWait(*request.service, now);
  }
  const double jitter = kRetryJitter * Draw(random);
  return std::clamp(time, kLeastRetryAfter, kMostRetryAfter) * (1 + jitter);
}

/// Of a request that admission turned away: when the queues are expected to be short enough, but
/// while an answer can still be in time, for who comes later takes the place of one that can; later
/// for the less urgent. The wave that was turned away comes back spread over as much again.
Duration RetryAfterShedding(const Request& request, std::mt19937_64& random, Time now) {
  const Duration left = request.arrival + request.route->target_latency - now -
                        request.service->averages.ServiceTime();
  const Duration room =
      std::min(request.service->admission.TimeUntilRoom(now), left * kReturnShare);
  const double later = 1 + kLaterPerRank * request.route->priority;
  return std::clamp(room * later, kLeastRetryAfter, kMostRetryAfter) * (1 + Draw(random));
}

/// Of a request that a used-up limit turned away: when permits are there again. All nodes turn away
/// what is beyond it, so that callers come back spread over as much again.
Duration RetryAfterLimit(const Choice& choice, std::mt19937_64& random, Time now) {
  return std::clamp(choice.retry_at - now, kLeastRetryAfter, kMostRetryAfter) * (1 + Draw(random));
}

/// `owner`: it is asked for keys that it owns, so this node's limit there counts.
std::string DescribeLoad(const BackendState& backend, bool owner, Time now) {
  const load::LoadEstimate& load = backend.load;
  const double limit = backend.owner_limit.limit();
  const std::string limited = owner && limit != admission::OwnerLimit::kUnlimited
                                  ? absl::StrFormat(", limit %.2f", limit)
                                  : "";
  if (load.ReportAge(now) == absl::InfiniteDuration()) {
    return absl::StrCat(backend.registration.id, ", load untold, ", load.in_flight(), " from here",
                        limited);
  }
  const double slowdown = load.reported().slowdown;
  const std::string slowed = slowdown > 0 ? absl::StrFormat(" slowdown %.2f", slowdown) : "";
  return absl::StrFormat("%s, told running %u waiting %u%s %.0f ms ago, %u from here%s",
                         backend.registration.id, load.reported().running, load.reported().waiting,
                         slowed, absl::ToDoubleMilliseconds(load.ReportAge(now)), load.in_flight(),
                         limited);
}

std::string DescribeSetback(const Request& request) {
  const Setback& setback = request.setback;
  std::string text =
      absl::StrCat("; last: ", setback.backend->registration.id, " ", NameOfSetback(setback.kind));
  if (setback.status != 0) {
    absl::StrAppend(&text, " with ", setback.status);
  }
  if (setback.told.slots > 0) {
    absl::StrAppend(&text, ", running ", setback.told.running, " waiting ", setback.told.waiting,
                    " slots ", setback.told.slots);
  }
  return text;
}

std::string DescribeCause(const Request& request, const Choice& choice, StopCause cause) {
  switch (cause) {
    case StopCause::kNoBackendAvailable:
      return std::string(UnavailableReasonText(choice.unavailable_reason));
    case StopCause::kNotRepeatable:
      return "it must not run twice";
    case StopCause::kAttemptsSpent:
      return absl::StrCat("all ", request.route->max_attempts, " attempts are spent");
    case StopCause::kBudgetSpent:
      return "the retry budget is spent";
    case StopCause::kNotAdmitted:
      return absl::StrFormat("the service is overloaded: rank %u gets %.2f",
                             request.route->priority,
                             request.service->admission.ShareOf(request.route->priority));
    case StopCause::kMayCrashAnother:
      return "it may crash one more back end";
    case StopCause::kTooManyWaiting:
      return absl::StrCat(UnavailableReasonText(choice.unavailable_reason),
                          ", and too many wait already");
  }
  return "unknown";
}

std::string Describe(const Request& request, const Choice& choice, StopCause cause,
                     const ownership::OwnershipMap* map, Time now) {
  std::string text =
      absl::StrCat(request.service->name, ": ", DescribeCause(request, choice, cause));
  if (choice.blocking_backend != nullptr) {
    absl::StrAppend(&text, " (", DescribeLoad(*choice.blocking_backend, request.sharded, now));
    if (choice.limit.has_value()) {
      absl::StrAppendFormat(&text, ", %.3g requests a second from all nodes, told %.0f ms ago",
                            choice.limit->rate.value_or(0),
                            absl::ToDoubleMilliseconds(now - choice.limit->heard));
    }
    text += ")";
  }
  if (request.sharded) {
    absl::StrAppend(
        &text, "; key ", request.key.value_or(0), ", map ",
        map == nullptr ? "unknown" : absl::StrCat(map->version.epoch, ".", map->version.sequence));
  }
  if (request.setback.backend != nullptr) {
    text += DescribeSetback(request);
  }
  absl::StrAppend(&text, "; after ", request.sends, " sends and ",
                  absl::FormatDuration(absl::Trunc(now - request.arrival, absl::Milliseconds(1))));
  return text;
}

}  // namespace

AnswerDecision MakeAnswer(ResultCode code, Duration retry_after, std::string reason) {
  AnswerDecision answer;
  answer.status = HttpStatusOf(code);
  answer.code = code;
  answer.retry_after = retry_after;
  answer.reason = std::move(reason);
  return answer;
}

AnswerDecision AnswerUnserved(const Request& request, const Choice& choice, StopCause cause,
                              const ownership::OwnershipMap* map, std::mt19937_64& random,
                              Time now) {
  std::string reason = Describe(request, choice, cause, map, now);
  if (request.may_have_run) {
    return MakeAnswer(ResultCode::kConnectionLost, absl::ZeroDuration(), std::move(reason));
  }
  const bool by_setback = request.setback.kind != SetbackKind::kNone &&
                          (cause != StopCause::kNoBackendAvailable ||
                           choice.unavailable_reason == UnavailableReason::kAllTried);
  if (cause == StopCause::kNotAdmitted) {
    return MakeAnswer(ResultCode::kOverloaded, RetryAfterShedding(request, random, now),
                      std::move(reason));
  }
  if (!by_setback && choice.limit.has_value()) {
    return MakeAnswer(ResultCode::kBackendLimited, RetryAfterLimit(choice, random, now),
                      std::move(reason));
  }
  const ResultCode code = by_setback ? CodeOfSetback(request.setback.kind)
                                     : CodeOfUnavailableReason(choice.unavailable_reason);
  const Duration retry_after =
      choice.unavailable_reason == UnavailableReason::kNoMap
          ? kNoMapRetryAfter
          : RetryAfter(request, code,
                       by_setback ? request.setback.backend : choice.blocking_backend, random, now);
  return MakeAnswer(code, retry_after, std::move(reason));
}

AnswerDecision AnswerTimeOver(const Request& request, bool may_have_run, Time now) {
  const ResultCode code = may_have_run ? ResultCode::kTimedOut : ResultCode::kDeadlineUnreachable;
  std::string reason =
      absl::StrCat(request.service->name, ": the time is over after ",
                   absl::FormatDuration(absl::Trunc(now - request.arrival, absl::Milliseconds(1))),
                   " and ", request.sends, " sends");
  if (request.setback.backend != nullptr) {
    reason += DescribeSetback(request);
  }
  return MakeAnswer(code, absl::ZeroDuration(), std::move(reason));
}

}  // namespace ladderstream::forwarding
