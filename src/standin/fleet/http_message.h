// HTTP messages as the stand-in reads and writes them.
#pragma once

#include <absl/strings/match.h>

#include <string>
#include <utility>
#include <vector>

#include "interfaces/http_exchange.h"
#include "wire/time.h"

namespace ladderstream::fleet {

/// The value of the first header of this name, whatever its case; empty when absent.
inline std::string FindHeader(const interfaces::HttpHeaders& headers, const std::string& name) {
  for (const auto& [header, value] : headers) {
    if (absl::EqualsIgnoreCase(header, name)) {
      return value;
    }
  }
  return {};
}

/// A request as it arrived.
struct ReceivedRequest {
  std::string method;
  /// Path and query.
  std::string target;
  interfaces::HttpHeaders headers;
  std::string body;
  Time arrival;
  /// The address of the other end.
  std::string source;

  std::string Header(const std::string& name) const { return FindHeader(headers, name); }
};

/// How the end of an answer's body is told.
enum class Framing { kLength, kChunked, kUntilClose };

/// An answer to be sent.
struct Answer {
  int status = 200;
  interfaces::HttpHeaders headers;
  std::string body;
  Framing framing = Framing::kLength;
  /// Say so and close the connection after it.
  bool close = false;
};

/// Keeps a socket from the processes that this one starts: they would hold it open.
void CloseOnExec(int descriptor);

/// The bytes of an answer.
std::string Serialize(const Answer& answer);

}  // namespace ladderstream::fleet
