// `POST /v1/backends/{id}/lease`, mounted on the callers' HTTP server of every node.
#pragma once

#include "interfaces/control_plane.h"
#include "wire/time.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace ladderstream::control {

/// How long a back end's lease request waits for the leader's answer.
inline constexpr Duration kLeaseRequestTimeout = absl::Milliseconds(200);

/// Adds the route; `server` keeps `control_plane` alive.
void MountLeaseEndpoint(httplib::Server* server, ControlPlanePtr control_plane);

}  // namespace ladderstream::control
