#include "daemon/main/health_routes.h"

#include <httplib.h>

namespace ladderstream::daemon {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr char kTextType[] = "text/plain";

}  // namespace

void MountHealthRoutes(httplib::Server* server, const HealthState* state) {
  server->Get("/healthz", [](const httplib::Request& /*request*/, httplib::Response& response) {
    response.set_content("ok\n", kTextType);
  });
  server->Get("/readyz", [state](const httplib::Request& /*request*/, httplib::Response& response) {
    const bool ready = state->ready;
    response.status = ready ? kStatusOk : kStatusUnavailable;
    response.set_content(ready ? "ready\n" : "stopping\n", kTextType);
  });
}

}  // namespace ladderstream::daemon
