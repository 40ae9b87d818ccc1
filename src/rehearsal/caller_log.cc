#include "rehearsal/caller_log.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

namespace ladderstream::rehearsal {
namespace {

constexpr char kAttemptSeparator = '.';

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kDidNotRun:
      return "did-not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

std::string AttemptId(const CallAttempt& attempt) {
  return absl::StrCat(attempt.call_id, std::string(1, kAttemptSeparator), attempt.attempt);
}

std::string CallIdOf(const std::string& attempt_id) {
  return attempt_id.substr(0, attempt_id.rfind(kAttemptSeparator));
}

std::string ToJsonLine(const CallAttempt& attempt) {
  return nlohmann::json{{"call", attempt.call_id},
                        {"attempt", attempt.attempt},
                        {"service", attempt.service},
                        {"key", attempt.key},
                        {"request", attempt.request},
                        {"repeatable", attempt.repeatable},
                        {"probe", attempt.probe},
                        {"outcome", OutcomeName(attempt.outcome)},
                        {"code", attempt.code},
                        {"answer_matches", attempt.answer_matches},
                        {"sent_us", absl::ToUnixMicros(attempt.sent)},
                        {"due_us", absl::ToUnixMicros(attempt.due)},
                        {"known_us", absl::ToUnixMicros(attempt.known)}}
      .dump();
}

}  // namespace ladderstream::rehearsal
