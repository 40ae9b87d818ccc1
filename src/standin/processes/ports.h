// Ports and readiness of processes on the loopback interface.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>

#include "wire/identifiers.h"

namespace ladderstream::standin {

/// Gives a TCP port of 127.0.0.1 that nothing is bound to. It lies below the range from which the
/// system numbers outgoing connections, so that a killed process finds its port free when it is
/// started again. Never gives the same port twice in one process. Thread-safe. Throws
/// Error(kInternal) when no port is free.
uint16_t FreePort();

/// FreePort() on 127.0.0.1.
Endpoint FreeEndpoint();

/// Calls `condition` every `interval` until it holds. Gives false when `timeout` passes first.
bool WaitUntil(const std::function<bool()>& condition, absl::Duration timeout,
               absl::Duration interval = absl::Milliseconds(10));

/// Whether a GET of `path` is answered with a 2xx status.
bool HttpAnswers(const Endpoint& endpoint, const std::string& path);

}  // namespace ladderstream::standin
