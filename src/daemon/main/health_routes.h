// `GET /healthz` (the process answers) and `GET /readyz` (callers may come: 200, else 503).
#pragma once

#include <atomic>

namespace httplib {
class Server;
}  // namespace httplib

namespace ladderstream::daemon {

struct HealthState {
  std::atomic<bool> ready{false};
};

/// Adds the routes; `state` must outlive the server.
void MountHealthRoutes(httplib::Server* server, const HealthState* state);

}  // namespace ladderstream::daemon
