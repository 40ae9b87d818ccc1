// Asks a server and waits for the answer.
#pragma once

#include <optional>
#include <string>

#include "standin/fleet/event_loop.h"
#include "standin/fleet/http_client.h"

namespace ladderstream::fleet {

inline CallResult Ask(EventLoop* loop, const HttpClientConnectionPtr& connection,
                      const interfaces::HttpRequest& request,
                      Duration patience = absl::Seconds(2)) {
  std::optional<CallResult> result;
  connection->Call(request, patience, patience, [&](const CallResult& one) { result = one; });
  loop->RunUntil([&] { return result.has_value(); }, patience * 2);
  return result.value();
}

inline CallResult Ask(EventLoop* loop, const Endpoint& server,
                      const interfaces::HttpRequest& request,
                      Duration patience = absl::Seconds(2)) {
  return Ask(loop, HttpClientConnection::Make(loop, server), request, patience);
}

}  // namespace ladderstream::fleet
