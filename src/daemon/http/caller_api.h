// The caller API over HTTP: reading requests, writing answers and refusals.
#pragma once

#include <httplib.h>

#include <string>

#include "daemon/http/caller_handler.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream {

/// What the API needs to know about the connection that a request came on. Valid on the thread that
/// runs the request.
class RequestScope {
 public:
  virtual ~RequestScope() = default;

  virtual const routing::CancellationPtr& cancellation() const = 0;
  /// The time since the request's first byte came.
  virtual Duration age() const = 0;
  /// Why reading the body failed, if it was not the framing.
  virtual bool too_slow() const = 0;
  virtual bool too_large() const = 0;
  /// The connection is closed after the answer.
  virtual void CloseAfterAnswer() = 0;
  /// Whether it is closed after the answer, for this or another reason.
  virtual bool WillClose() const = 0;
};

/// Gives the scope of the request that runs on this thread.
using ScopeProvider = RequestScope& (*)();

/// Mounts the callers' routes on `server`, and makes the library's own errors numbered. `handler`
/// must outlive the server.
void MountCallerApi(httplib::Server& server, CallerHandler& handler, size_t max_body_bytes,
                    ScopeProvider scope);

/// Writes the result headers and the JSON body of a refusal or an unknown outcome.
void WriteRefusal(httplib::Response& response, ResultCode code, const std::string& message,
                  Duration retry_after);

/// Gives the same as a whole HTTP response that closes the connection.
std::string FormatRefusal(ResultCode code, const std::string& message, Duration retry_after);

}  // namespace ladderstream
