// Every numbered result code of the product. docs/RESULT_CODES.md is the table for users; a unit
// test keeps both in step. A number that went is not given again.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ladderstream {

enum class ResultCode : uint32_t {
  kOk = 0,

  // 1xxx: refused, and the request truly did not run. It may always be sent again.
  kOverloaded = 1001,
  kDeadlineUnreachable = 1002,
  kNoOwner = 1003,
  kOwnerChanged = 1004,
  kConfigurationUnconfirmed = 1005,
  kShuttingDown = 1006,
  kBackendUnreachable = 1007,
  kBackendShed = 1008,
  kCancelled = 1009,
  kTooManyConnections = 1010,
  kQuarantined = 1011,
  kBackendLimited = 1012,
  kCrashSuspected = 1013,

  // 2xxx: the outcome is unknown. Only a request declared repeatable may be sent again.
  kConnectionLost = 2001,
  kTimedOut = 2002,

  // 3xxx: the caller's request is wrong; it did not run and would not if sent again unchanged.
  kUnknownService = 3001,
  kBodyTooLarge = 3005,
  kHeadersTooLarge = 3006,
  kMalformedRequest = 3008,
  kRequestTooSlow = 3009,

  // 4xxx: an operator's call was refused or is not yet decided.
  kRevisionConflict = 4001,
  kOperationIdReused = 4002,
  kInvalidConfiguration = 4003,
  kUnknownName = 4004,
  kAlreadyExists = 4005,
  kStoreUnavailable = 4006,
  kChangePending = 4007,
  kStillInUse = 4010,

  // 5xxx: settings of a program.
  kInvalidSetting = 5001,
  kUnknownSetting = 5002,
  kMissingSetting = 5003,
  kInconsistentSettings = 5004,
  kUnreadableSettings = 5005,

  // 6xxx: between the project's own processes.
  kMalformedMessage = 6001,
  kMessageTooLarge = 6002,
  kStoreRejectedWrite = 6003,
  kInternal = 6999,
};

/// What the caller may conclude from a code.
enum class Outcome { kAnswered, kDidNotRun, kUnknown };

/// Gives every code of the table, in order of their numbers.
std::vector<ResultCode> AllResultCodes();

/// Gives the conclusion that `code` allows.
Outcome OutcomeOf(ResultCode code);

/// Gives the stable upper-case name of `code`, such as "OVERLOADED"; "UNKNOWN_CODE" for a number
/// that is not in the table.
std::string_view NameOf(ResultCode code);

/// Gives the HTTP status that a caller sees with `code`.
int HttpStatusOf(ResultCode code);

/// An error that carries its number.
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& message) : std::runtime_error(message), code_(code) {}

  ResultCode code() const { return code_; }

 private:
  ResultCode code_;
};

}  // namespace ladderstream

MSGPACK_ADD_ENUM(ladderstream::ResultCode);
