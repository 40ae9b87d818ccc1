// Which status codes an answer may have. Others come from servers in trouble.
#pragma once

namespace ladderstream::gateway {

constexpr int kSwitchingProtocols = 101;
constexpr int kLowestFinalStatus = 200;
constexpr int kHighestFinalStatus = 599;

/// Whether another answer to the same request follows. Nothing here asks for another protocol.
constexpr bool IsInterimStatus(int status) {
  return status / 100 == 1 && status != kSwitchingProtocols;
}

/// Whether an exchange may end with this status.
constexpr bool IsFinalStatus(int status) {
  return status >= kLowestFinalStatus && status <= kHighestFinalStatus;
}

}  // namespace ladderstream::gateway
