// A caller of the deployment: one HTTP client per node, of which it uses one at a time.
#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/caller_log.h"
#include "wire/identifiers.h"

namespace ladderstream::rehearsal {

/// What one attempt brought back.
struct CallResult {
  Outcome outcome = Outcome::kUnknown;
  uint32_t code = 0;
  bool answer_matches = true;
  absl::Duration retry_after = absl::ZeroDuration();
  /// Who answered, by the answer itself.
  std::string backend;
};

/// Not thread-safe.
class HttpCaller {
 public:
  /// Begins with the node at `first` and goes on to the next when one fails it.
  HttpCaller(const std::vector<Endpoint>& nodes, size_t first);

  /// Sends one attempt, as named in `attempt`, and waits at most a little longer than `deadline`.
  /// Never throws.
  CallResult Send(const CallAttempt& attempt, absl::Duration deadline);

  /// Sends the attempt straight to a back end, in the words of a node, for comparison.
  CallResult SendToBackend(const CallAttempt& attempt, absl::Duration deadline);

 private:
  CallResult Read(const CallAttempt& attempt, const httplib::Result& result);
  CallResult ReadResponse(const CallAttempt& attempt, const httplib::Response& response);
  httplib::Client& Prepare(absl::Duration deadline);
  void UseNextNode();

  std::vector<std::unique_ptr<httplib::Client>> clients_;
  size_t current_ = 0;
};

/// Whether `body` is the whole answer of a back end stand-in to this very attempt.
bool AnswerMatches(const CallAttempt& attempt, const std::string& body);

}  // namespace ladderstream::rehearsal
