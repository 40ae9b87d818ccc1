#include "core/forwarding/request_state.h"

namespace ladderstream::forwarding {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Whether callers may conclude from `status` that the request has not run and never will.
bool ImpliesNotExecuted(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

}  // namespace

AnswerMeaning MeaningOf(const AttemptAnswer& answer) {
  if (!ImpliesNotExecuted(answer.status)) {
    return AnswerMeaning::kFinal;
  }
  const bool not_run = answer.not_executed || answer.status == kMisdirected;
  return not_run ? AnswerMeaning::kRefused : AnswerMeaning::kUnclear;
}

}  // namespace ladderstream::forwarding
