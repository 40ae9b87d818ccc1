#include "wire/result_code.h"

#include <algorithm>
#include <array>

namespace ladderstream {
namespace {

struct CodeRow {
  ResultCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array kRows = {
    CodeRow{ResultCode::kOk, "OK", 200},
    CodeRow{ResultCode::kOverloaded, "OVERLOADED", 503},
    CodeRow{ResultCode::kDeadlineUnreachable, "DEADLINE_UNREACHABLE", 503},
    CodeRow{ResultCode::kNoOwner, "NO_OWNER", 503},
    CodeRow{ResultCode::kOwnerChanged, "OWNER_CHANGED", 503},
    CodeRow{ResultCode::kConfigurationUnconfirmed, "CONFIGURATION_UNCONFIRMED", 503},
    CodeRow{ResultCode::kShuttingDown, "SHUTTING_DOWN", 503},
    CodeRow{ResultCode::kBackendUnreachable, "BACKEND_UNREACHABLE", 503},
    CodeRow{ResultCode::kBackendShed, "BACKEND_SHED", 503},
    CodeRow{ResultCode::kCancelled, "CANCELLED", 499},
    CodeRow{ResultCode::kTooManyConnections, "TOO_MANY_CONNECTIONS", 503},
    CodeRow{ResultCode::kQuarantined, "QUARANTINED", 503},
    CodeRow{ResultCode::kBackendLimited, "BACKEND_LIMITED", 503},
    CodeRow{ResultCode::kCrashSuspected, "CRASH_SUSPECTED", 503},
    CodeRow{ResultCode::kConnectionLost, "CONNECTION_LOST", 502},
    CodeRow{ResultCode::kTimedOut, "TIMED_OUT", 504},
    CodeRow{ResultCode::kUnknownService, "UNKNOWN_SERVICE", 404},
    CodeRow{ResultCode::kBodyTooLarge, "BODY_TOO_LARGE", 413},
    CodeRow{ResultCode::kHeadersTooLarge, "HEADERS_TOO_LARGE", 431},
    CodeRow{ResultCode::kMalformedRequest, "MALFORMED_REQUEST", 400},
    CodeRow{ResultCode::kRequestTooSlow, "REQUEST_TOO_SLOW", 408},
    CodeRow{ResultCode::kRevisionConflict, "REVISION_CONFLICT", 409},
    CodeRow{ResultCode::kOperationIdReused, "OPERATION_ID_REUSED", 409},
    CodeRow{ResultCode::kInvalidConfiguration, "INVALID_CONFIGURATION", 400},
    CodeRow{ResultCode::kUnknownName, "UNKNOWN_NAME", 404},
    CodeRow{ResultCode::kAlreadyExists, "ALREADY_EXISTS", 409},
    CodeRow{ResultCode::kStoreUnavailable, "STORE_UNAVAILABLE", 503},
    CodeRow{ResultCode::kChangePending, "CHANGE_PENDING", 202},
    CodeRow{ResultCode::kStillInUse, "STILL_IN_USE", 409},
    CodeRow{ResultCode::kInvalidSetting, "INVALID_SETTING", 500},
    CodeRow{ResultCode::kUnknownSetting, "UNKNOWN_SETTING", 500},
    CodeRow{ResultCode::kMissingSetting, "MISSING_SETTING", 500},
    CodeRow{ResultCode::kInconsistentSettings, "INCONSISTENT_SETTINGS", 500},
    CodeRow{ResultCode::kUnreadableSettings, "UNREADABLE_SETTINGS", 500},
    CodeRow{ResultCode::kMalformedMessage, "MALFORMED_MESSAGE", 500},
    CodeRow{ResultCode::kMessageTooLarge, "MESSAGE_TOO_LARGE", 500},
    CodeRow{ResultCode::kStoreRejectedWrite, "STORE_REJECTED_WRITE", 500},
    CodeRow{ResultCode::kInternal, "INTERNAL", 500},
};

constexpr CodeRow kUnknownRow{ResultCode::kInternal, "UNKNOWN_CODE", 500};

const CodeRow& RowOf(ResultCode code) {
  const auto* const row =
      std::find_if(kRows.begin(), kRows.end(),
                   [code](const CodeRow& candidate) { return candidate.code == code; });
  return row == kRows.end() ? kUnknownRow : *row;
}

}  // namespace

std::vector<ResultCode> AllResultCodes() {
  std::vector<ResultCode> codes(kRows.size());
  std::transform(kRows.begin(), kRows.end(), codes.begin(),
                 [](const CodeRow& row) { return row.code; });
  return codes;
}

Outcome OutcomeOf(ResultCode code) {
  if (code == ResultCode::kOk) {
    return Outcome::kAnswered;
  }
  const uint32_t family = static_cast<uint32_t>(code) / 1000;
  const bool did_not_run = family == 1 || family == 3;
  return did_not_run ? Outcome::kDidNotRun : Outcome::kUnknown;
}

std::string_view NameOf(ResultCode code) { return RowOf(code).name; }

int HttpStatusOf(ResultCode code) { return RowOf(code).http_status; }

}  // namespace ladderstream
