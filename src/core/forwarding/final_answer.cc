#include "core/forwarding/final_answer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace ladderstream::forwarding {
namespace {

constexpr Duration kMinRetryAfter = absl::Milliseconds(20);
constexpr Duration kMaxRetryAfter = absl::Milliseconds(400);
/// About the time that moving keys to another owner takes.
constexpr Duration kOwnerRetryAfter = absl::Milliseconds(150);
/// Also the interval at which paths to back ends are probed.
constexpr Duration kNoMapRetryAfter = absl::Milliseconds(250);
/// About the time in which it is settled what became of lost back ends.
constexpr Duration kUnsettledRetryAfter = absl::Milliseconds(500);
/// Spreads the retries of callers that were refused together over this share of the delay.
constexpr double kRetryJitter = 0.25;
/// Upper bound of the retry delay of a shed request, as a share of the time in which an answer
/// would still be in time; a caller that retries later is too late to be served in time.
constexpr double kRetryAfterShare = 0.2;
/// Each rank below the highest gets a retry delay that is longer by this share.
constexpr double kDelayPerRank = 0.5;

const char* NameOfUnavailableReason(UnavailableReason unavailable_reason) {
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
    case UnavailableReason::kNoPath:
      return "no path to the back ends, and no peer that has one";
  }
  return "unknown";
}

const char* NameOfFailure(FailureKind kind) {
  switch (kind) {
    case FailureKind::kNone:
      return "none";
    case FailureKind::kRefused:
      return "refused";
    case FailureKind::kNotOwner:
      return "disowned the key";
    case FailureKind::kUnreachable:
      return "unreachable";
    case FailureKind::kNotSent:
      return "connection closed before sending";
    case FailureKind::kNoPath:
      return "not reached on this way";
    case FailureKind::kLost:
      return "lost after sending";
    case FailureKind::kUnclear:
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

ResultCode CodeOfFailure(FailureKind kind) {
  switch (kind) {
    case FailureKind::kRefused:
      return ResultCode::kBackendShed;
    case FailureKind::kNotOwner:
      return ResultCode::kOwnerChanged;
    default:
      return ResultCode::kBackendUnreachable;
  }
}

/// Returns the expected time until a slot of the back end is free and its back-off has ended.
Duration WaitAt(const BackendState& backend, Time now) {
  return std::max(backend.load.ExpectedWait(now), backend.backoff_until - now);
}

/// Returns the shortest wait at any back end of the service.
Duration ShortestWait(const ServiceState& service, Time now) {
  Duration least = absl::InfiniteDuration();
  for (const BackendStatePtr& backend : service.backends) {
    if (backend->UsableForAny(now)) {
      least = std::min(least, std::max(WaitAt(*backend, now), backend->load.full_until() - now));
    }
  }
  return least;
}

/// Returns a random number in [0, 1).
double Draw(std::mt19937_64& random) {
  constexpr uint64_t kSteps = 1024;
  return static_cast<double>(random() % kSteps) / kSteps;
}

Duration RetryAfter(const Request& request, ResultCode code, const BackendStatePtr& about,
                    std::mt19937_64& random, Time now) {
  Duration time = kOwnerRetryAfter;
  if (code == ResultCode::kOverloaded || code == ResultCode::kBackendShed) {
    time = request.sharded && about != nullptr ? WaitAt(*about, now)
                                               : ShortestWait(*request.service, now);
  }
  const double jitter = kRetryJitter * Draw(random);
  return std::clamp(time, kMinRetryAfter, kMaxRetryAfter) * (1 + jitter);
}

/// Returns the retry delay of a request that admission control rejected: until the queues are
/// expected to be short enough, but while an answer can still be in time, since a later retry would
/// displace a request that can be served in time. Less urgent ranks get longer delays. The jitter
/// spreads the callers that were rejected together over up to twice the delay.
Duration RetryAfterShedding(const Request& request, std::mt19937_64& random, Time now) {
  const Duration left = request.arrival + request.route->target_latency - now -
                        request.service->averages.ServiceTime();
  const Duration room =
      std::min(request.service->admission.TimeUntilRoom(now), left * kRetryAfterShare);
  const double later = 1 + kDelayPerRank * request.route->priority;
  return std::clamp(room * later, kMinRetryAfter, kMaxRetryAfter) * (1 + Draw(random));
}

/// Returns the retry delay of a request that an exhausted rate limit rejected: until permits are
/// available again. All nodes reject the excess, so the jitter spreads the callers over up to twice
/// the delay.
Duration RetryAfterLimit(const Choice& choice, std::mt19937_64& random, Time now) {
  return std::clamp(choice.retry_at - now, kMinRetryAfter, kMaxRetryAfter) * (1 + Draw(random));
}

/// `owner`: the back end is used as an owner of keys, so this node's limit for it applies.
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

std::string DescribeLastFailure(const Request& request) {
  const LastFailure& last_failure = request.last_failure;
  std::string text = absl::StrCat("; last: ", last_failure.backend->registration.id, " ",
                                  NameOfFailure(last_failure.kind));
  if (last_failure.status != 0) {
    absl::StrAppend(&text, " with ", last_failure.status);
  }
  if (last_failure.load.slots > 0) {
    absl::StrAppend(&text, ", running ", last_failure.load.running, " waiting ",
                    last_failure.load.waiting, " slots ", last_failure.load.slots);
  }
  return text;
}

/// Tells what made admission control turn a request away.
std::string DescribeOverload(const Request& request, Time now) {
  const admission::ServiceAdmission& admission = request.service->admission;
  std::string text = absl::StrFormat(
      "the service is overloaded: rank %u gets %.2f, queues of %.0f ms", request.route->priority,
      admission.ShareOf(request.route->priority), absl::ToDoubleMilliseconds(admission.Delay(now)));
  if (const auto& report = admission.last_report()) {
    absl::StrAppendFormat(&text, ", last told running %u waiting %u %.0f ms ago",
                          report->first.running, report->first.waiting,
                          absl::ToDoubleMilliseconds(now - report->second));
  }
  return text;
}

std::string DescribeCause(const Request& request, const Choice& choice, StopCause cause, Time now) {
  switch (cause) {
    case StopCause::kUnavailable:
      return std::string(NameOfUnavailableReason(choice.unavailable_reason));
    case StopCause::kNotRepeatable:
      return "it must not run twice";
    case StopCause::kAttemptsSpent:
      return absl::StrCat("all ", request.route->max_attempts, " attempts are spent");
    case StopCause::kBudgetSpent:
      return "the retry budget is spent";
    case StopCause::kNotAdmitted:
      return DescribeOverload(request, now);
    case StopCause::kMayCrashAnother:
      return "it may crash one more back end";
    case StopCause::kTooManyWaiting:
      return absl::StrCat(NameOfUnavailableReason(choice.unavailable_reason),
                          ", and too many wait already");
  }
  return "unknown";
}

std::string Describe(const Request& request, const Choice& choice, StopCause cause,
                     const ownership::OwnershipMap* map, Time now) {
  std::string text =
      absl::StrCat(request.service->name, ": ", DescribeCause(request, choice, cause, now));
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
  if (request.last_failure.backend != nullptr) {
    text += DescribeLastFailure(request);
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
  const bool by_last_failure = request.last_failure.kind != FailureKind::kNone &&
                               choice.unavailable_reason != UnavailableReason::kNoPath &&
                               (cause != StopCause::kUnavailable ||
                                choice.unavailable_reason == UnavailableReason::kAllTried);
  if (cause == StopCause::kMayCrashAnother) {
    return MakeAnswer(ResultCode::kCrashSuspected, kUnsettledRetryAfter, std::move(reason));
  }
  if (cause == StopCause::kNotAdmitted) {
    return MakeAnswer(ResultCode::kOverloaded, RetryAfterShedding(request, random, now),
                      std::move(reason));
  }
  if (!by_last_failure && choice.limit.has_value()) {
    return MakeAnswer(ResultCode::kBackendLimited, RetryAfterLimit(choice, random, now),
                      std::move(reason));
  }
  const ResultCode code = by_last_failure ? CodeOfFailure(request.last_failure.kind)
                                          : CodeOfUnavailableReason(choice.unavailable_reason);
  const Duration retry_after =
      choice.unavailable_reason == UnavailableReason::kNoMap ||
              choice.unavailable_reason == UnavailableReason::kNoPath
          ? kNoMapRetryAfter
          : RetryAfter(request, code,
                       by_last_failure ? request.last_failure.backend : choice.blocking_backend,
                       random, now);
  return MakeAnswer(code, retry_after, std::move(reason));
}

AnswerDecision AnswerTimeOver(const Request& request, bool may_have_run, Time now) {
  const ResultCode code = may_have_run ? ResultCode::kTimedOut : ResultCode::kDeadlineUnreachable;
  std::string reason =
      absl::StrCat(request.service->name, ": the time is over after ",
                   absl::FormatDuration(absl::Trunc(now - request.arrival, absl::Milliseconds(1))),
                   " and ", request.sends, " sends");
  if (request.last_failure.backend != nullptr) {
    reason += DescribeLastFailure(request);
  }
  return MakeAnswer(code, absl::ZeroDuration(), std::move(reason));
}

}  // namespace ladderstream::forwarding
