// A small deployment, a clock that tests set, and a sender that answers as told.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/routing/retry_handle.h"
#include "core/routing/route_handle.h"
#include "core/routing/routing_watch.h"

namespace ladderstream::routing::test {

class ManualTime : public TimeSource {
 public:
  Time Now() const override { return now; }
  Time now = absl::UnixEpoch();
};

inline GrantToken Token(uint64_t index) { return {1, 1, index}; }

/// "scripts" is by key with four ranges, all owned by s-1; "callbacks" is by load over c-1 to c-3.
inline authority::RoutingState MakeState() {
  authority::RoutingState state;
  state.confirmed_until = absl::InfiniteFuture();
  state.configuration.revision = Revision(1);
  ServiceConfiguration scripts;
  scripts.name = ServiceName("scripts");
  scripts.key_prefixes = {"s/"};
  scripts.range_count = 4;
  scripts.requests = {{"read", true, Priority::kNormal, 1000}, {"book", false}};
  ServiceConfiguration callbacks = scripts;
  callbacks.name = ServiceName("callbacks");
  callbacks.routing = RoutingKind::kByLoad;
  callbacks.key_prefixes = {"c/"};
  state.configuration.services = {scripts, callbacks};
  NodeDescriptor home;
  home.id = NodeId(7);
  for (const char* id : {"s-1", "s-2", "c-1", "c-2", "c-3"}) {
    BackendConfiguration backend;
    backend.id = BackendId(id);
    backend.service = ServiceName(id[0] == 's' ? "scripts" : "callbacks");
    state.configuration.backends.push_back(backend);
    state.homes.push_back({backend.id, home, false});
  }
  for (uint32_t range = 0; range < scripts.range_count; ++range) {
    Assignment assignment;
    assignment.shard = {scripts.name, RangeIndex(range), ""};
    assignment.state = AssignmentState::kOwned;
    assignment.owner = BackendId("s-1");
    assignment.token = Token(range + 1);
    assignment.changed_at = assignment.token;
    state.assignments.push_back(assignment);
  }
  return state;
}

/// A table of its own for each state given to it.
struct TableMaker {
  RouteTablePtr Make(authority::RoutingState state) {
    table = std::make_shared<const RouteTable>(
        std::make_shared<const authority::RoutingState>(std::move(state)), *table, states);
    return table;
  }

  StateRegistry states{10};
  RouteTablePtr table = std::make_shared<const RouteTable>();
};

/// Gives the tables that were put in line, one for each wait; each wait takes its whole time unless
/// a table comes.
class ScriptedWatch : public RoutingWatch {
 public:
  explicit ScriptedWatch(ManualTime& time) : time_(time) {}

  RouteTablePtr Current() override { return current; }

  RouteTablePtr WaitForChange(const RouteTablePtr&, Time until, const Cancellation&) override {
    ++waits;
    if (!next.empty()) {
      current = next.front();
      next.pop_front();
      time_.now += absl::Milliseconds(1);
    } else {
      time_.now = until;
    }
    return current;
  }

  RouteTablePtr current;
  std::deque<RouteTablePtr> next;
  int waits = 0;

 private:
  ManualTime& time_;
};

/// Gives the results that were put in line, then kOk; remembers what was sent.
class ScriptedSender : public AttemptSender {
 public:
  ForwardResponse Send(const NodeDescriptor&, RouteContext& context) override {
    sent.push_back(context.message);
    ForwardResponse response;
    response.result = ResultCode::kOk;
    response.status = 200;
    if (!results.empty()) {
      response.result = results.front();
      results.pop_front();
    }
    if (on_send) {
      on_send(context);
    }
    return response;
  }

  std::deque<ResultCode> results;
  std::vector<ForwardRequest> sent;
  std::function<void(RouteContext&)> on_send;
};

inline RouteContext MakeContext(const RouteTablePtr& table, const std::string& service,
                                const std::string& key, const std::string& request) {
  RouteContext context;
  context.message.service = ServiceName(service);
  context.message.key = key;
  context.message.request = request;
  context.deadline = absl::UnixEpoch() + absl::Seconds(1);
  context.cancellation = std::make_shared<Cancellation>();
  context.tried = std::make_shared<TriedBackends>();
  UseTable(context, table);
  return context;
}

}  // namespace ladderstream::routing::test
