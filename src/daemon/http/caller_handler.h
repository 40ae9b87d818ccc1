// What the HTTP server asks of the router: one caller's request in, one final answer out.
#pragma once

#include <optional>
#include <string>

#include "core/routing/cancellation.h"
#include "wire/identifiers.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream {

/// A caller's request, as read from HTTP.
struct CallerRequest {
  ServiceName service;
  std::string key;
  /// The name of the RequestRule.
  std::string request;
  std::string body;
  std::string content_type;
  /// How long the caller waits; without it the request rule's default applies.
  std::optional<Duration> deadline;
  /// How much of the deadline has passed already, since the request's first byte came.
  Duration waited = absl::ZeroDuration();
  /// The caller's own id, echoed to it; may be empty.
  std::string caller_id;
};

/// The final answer: a back end's own when `result` is kOk, else a refusal or an unknown outcome.
struct CallerAnswer {
  ResultCode result = ResultCode::kInternal;
  /// The back end's own status when `result` is kOk.
  int status = 0;
  std::string body;
  std::string content_type;
  /// For people, when `result` is not kOk.
  std::string message;
  Duration retry_after = absl::ZeroDuration();
};

/// Thread-safe; blocks until the answer is there.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  virtual CallerAnswer Handle(const CallerRequest& request,
                              const routing::CancellationPtr& cancellation) = 0;
};

}  // namespace ladderstream
