// An HTTP server for the stand-ins: one thread per connection, long keep-alive, and faults such as
// a cut-off answer.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <httplib.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "wire/identifiers.h"

namespace ladderstream::standin {

/// What a server does with connections.
struct ConnectionPolicy {
  /// Connections above this many get 503 with `Ladderstream-Not-Run: shed` and are closed.
  uint32_t max_connections = 4096;
  /// What opening a connection costs, spent before its first request.
  absl::Duration connect_cost = absl::ZeroDuration();
};

/// Serves from a thread of its own between Start and Stop, which may follow one another many times.
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(const ConnectionPolicy& policy = {});
  ~HttpServer() override;

  /// Binds (port 0: any free one, kept for later starts) and serves. Throws Error(kInvalidSetting)
  /// when the address can't be bound.
  void Start(const Endpoint& listen);
  /// Refuses new connections, lets requests in flight end, and closes; idle connections are closed
  /// at once. Does nothing when stopped.
  void Stop();

  /// Where it serves or served last.
  Endpoint endpoint() const { return endpoint_; }

 private:
  /// The library waits for idle connections to time out; here they see the end of the stream.
  void EndIdleConnections() const;

  Endpoint endpoint_;
  std::thread thread_;
};

/// Writes JSON; bytes that are not UTF-8, as keys may hold, are replaced.
std::string DumpJson(const nlohmann::json& body);

/// Makes `response` a JSON answer.
void AnswerJson(const nlohmann::json& body, int status, httplib::Response& response);

/// Makes `response` claim the whole of `body`, send only its first half, and close the connection.
void AnswerTruncated(const std::string& body, const std::string& content_type,
                     httplib::Response& response);

/// Closes the connection without a whole answer.
void AnswerLost(httplib::Response& response);

}  // namespace ladderstream::standin
