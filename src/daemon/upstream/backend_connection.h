// One keep-alive connection to a back end; carries one request at a time.
#pragma once

#include <httplib.h>

#include <cstdint>
#include <string>

#include "daemon/upstream/deadline_watch.h"
#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::upstream {

struct ConnectionSettings {
  Duration connect_timeout = absl::Milliseconds(250);
  uint32_t max_answer_bytes = 8 << 20;
};

/// Used by one thread at a time.
class BackendConnection {
 public:
  /// Connects at the first exchange. `time` and `watch` must outlive the object.
  BackendConnection(const Endpoint& endpoint, const ConnectionSettings& settings,
                    const TimeSource& time, DeadlineWatch& watch);

  /// Sends `request` and reads the whole answer. kBackendUnreachable when nothing was sent;
  /// kConnectionLost, kTimedOut or kAnswerTruncated when it may have run. Never sends twice.
  ForwardResponse Exchange(const ForwardRequest& request, Time deadline);

  /// Asks the back end to drop an attempt that has not begun. Its answer doesn't matter.
  void SendCancel(const std::string& request_id, Duration timeout);

  /// Whether the last answer was whole.
  bool IsIntact() const { return intact_; }

  /// Whether the next request may use it: the last answer was whole, and nothing more has come.
  bool IsReusable() const;

  Time last_used() const { return last_used_; }

 private:
  ForwardResponse Classify(httplib::Error error, bool headers_seen, bool timed_out) const;

  const ConnectionSettings settings_;
  const TimeSource& time_;
  DeadlineWatch& watch_;
  httplib::Client client_;
  bool intact_ = true;
  Time last_used_;
};

/// Writes `text` so that it may stand in a URL's path or query.
std::string PercentEncode(const std::string& text);

}  // namespace ladderstream::upstream
