// The whole way of a request within one node, with real back ends on loopback.
#include <absl/synchronization/notification.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "daemon/router/data_path_impl.h"
#include "raw_backend.h"

namespace ladderstream::test {
namespace {

using routing::Cancellation;

/// Gives whatever state the test has put in force.
class FakeControlPlane : public ControlPlane {
 public:
  std::shared_ptr<const authority::RoutingState> Routing() const override {
    const absl::MutexLock lock(&mutex_);
    return state_;
  }
  ProposalResult Propose(const Command&, Duration) override { return {}; }
  LeaseResponse RequestLease(const LeaseRequest&, Duration) override { return {}; }
  authority::AuthorityStatus Status() const override { return {}; }

  void Set(const authority::RoutingState& state) {
    const absl::MutexLock lock(&mutex_);
    state_ = std::make_shared<const authority::RoutingState>(state);
  }

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const authority::RoutingState> state_ =
      std::make_shared<const authority::RoutingState>();
};

class FakePeers : public PeerChannel {
 public:
  PeerBody Call(const NodeDescriptor&, const PeerBody& body, Duration) override {
    return on_call(std::get<ForwardRequest>(body));
  }
  void Send(const NodeDescriptor&, const PeerBody& body) override {
    const absl::MutexLock lock(&mutex);
    sent.push_back(body);
  }

  std::function<ForwardResponse(const ForwardRequest&)> on_call;
  absl::Mutex mutex;
  std::vector<PeerBody> sent;
};

NodeDescriptor MakeNode(uint64_t id) {
  NodeDescriptor node;
  node.id = NodeId(id);
  return node;
}

/// One service by key ("scripts", owned by "b-1") and one by load ("callbacks").
struct DataPathFixture {
  DataPathFixture() {
    state.confirmed_until = absl::InfiniteFuture();
    state.configuration.revision = Revision(1);
    ServiceConfiguration scripts;
    scripts.name = ServiceName("scripts");
    scripts.key_prefixes = {"s/"};
    scripts.range_count = 1;
    scripts.requests = {{"read", true, Priority::kNormal, 5000},
                        {"book", false, Priority::kCritical, 5000}};
    ServiceConfiguration callbacks = scripts;
    callbacks.name = ServiceName("callbacks");
    callbacks.routing = RoutingKind::kByLoad;
    callbacks.key_prefixes = {};
    state.configuration.services = {scripts, callbacks};
    Assignment assignment;
    assignment.shard.service = scripts.name;
    assignment.state = AssignmentState::kOwned;
    assignment.owner = BackendId("b-1");
    assignment.token = assignment.changed_at = {1, 1, 1};
    state.assignments = {assignment};
  }

  void AddBackend(const char* id, const char* service, const Endpoint& endpoint,
                  const NodeDescriptor& home) {
    BackendConfiguration backend;
    backend.id = BackendId(id);
    backend.service = ServiceName(service);
    backend.endpoint = endpoint;
    state.configuration.backends.push_back(backend);
    state.homes.push_back({backend.id, home, false});
    control->Set(state);
  }

  CallerAnswer Run(const std::string& service, const std::string& request,
                   const std::string& key = "s/1") {
    CallerRequest caller;
    caller.service = ServiceName(service);
    caller.request = request;
    caller.key = key;
    return path.Handle(caller, cancellation);
  }

  authority::RoutingState state;
  std::shared_ptr<FakeControlPlane> control = std::make_shared<FakeControlPlane>();
  std::shared_ptr<FakePeers> peers = std::make_shared<FakePeers>();
  SystemTime time;
  NodeDescriptor self = MakeNode(1);
  routing::CancellationPtr cancellation = std::make_shared<Cancellation>();
  DataPathImpl path{control, peers, DataPathSettings(), time, self};
};

BOOST_AUTO_TEST_CASE(ServesARequestThroughTheOwner) {
  DataPathFixture fixture;
  RawBackend backend([](const std::string&) { return RawBackend::Reply{Answer("step 3")}; });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  const CallerAnswer answer = fixture.Run("scripts", "read");
  BOOST_TEST((answer.result == ResultCode::kOk));
  BOOST_TEST(answer.body == "step 3");
  BOOST_TEST(HeaderOf(backend.requests().at(0), "Ladderstream-Grant") == "1.1.1");
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNotDeclaredOrConfirmed) {
  DataPathFixture fixture;
  fixture.control->Set(fixture.state);
  BOOST_TEST((fixture.Run("none", "read").result == ResultCode::kUnknownService));
  BOOST_TEST((fixture.Run("scripts", "none").result == ResultCode::kRequestNotDeclared));
  BOOST_TEST((fixture.Run("scripts", "read", "x/1").result == ResultCode::kKeyNotDeclared));
  BOOST_TEST((fixture.Run("scripts", "read", "s/" + std::string(300, 'x')).result ==
              ResultCode::kKeyTooLong));
  fixture.state.confirmed_until = absl::InfinitePast();
  fixture.control->Set(fixture.state);
  BOOST_TEST((fixture.Run("none", "read").result == ResultCode::kConfigurationUnconfirmed));
  BOOST_TEST((fixture.Run("scripts", "read").result == ResultCode::kConfigurationUnconfirmed));
}

BOOST_AUTO_TEST_CASE(TheDeadlineRunsFromTheRequestsFirstByte) {
  DataPathFixture fixture;
  RawBackend backend([](const std::string&) { return RawBackend::Reply{Answer("x")}; });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  CallerRequest request;
  request.service = ServiceName("scripts");
  request.request = "read";
  request.key = "s/1";
  request.deadline = absl::Seconds(1);
  request.waited = absl::Seconds(1);
  BOOST_TEST((fixture.path.Handle(request, fixture.cancellation).result ==
              ResultCode::kDeadlineUnreachable));
  BOOST_TEST(backend.requests().empty());
}

BOOST_AUTO_TEST_CASE(AWrongGrantIsRetriedUnderTheNewOne) {
  DataPathFixture fixture;
  RawBackend backend([&fixture](const std::string& request) {
    if (HeaderOf(request, "Ladderstream-Grant") == "1.1.9") {
      return RawBackend::Reply{Answer("booked")};
    }
    fixture.state.assignments[0].token = fixture.state.assignments[0].changed_at = {1, 1, 9};
    fixture.control->Set(fixture.state);
    return RawBackend::Reply{Answer("", "Ladderstream-Not-Run: wrong-grant\r\n")};
  });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  BOOST_TEST(fixture.Run("scripts", "book").body == "booked");
  BOOST_TEST(backend.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ABookingLostOnTheWayIsReportedUnknownAndNotSentAgain) {
  DataPathFixture fixture;
  RawBackend backend([](const std::string&) { return RawBackend::Reply{"", false}; });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  const CallerAnswer answer = fixture.Run("scripts", "book");
  BOOST_TEST((answer.result == ResultCode::kConnectionLost));
  BOOST_TEST((OutcomeOf(answer.result) == Outcome::kUnknown));
  BOOST_TEST(backend.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeepsToTheSlotsWhateverArrives) {
  DataPathFixture fixture;
  std::atomic<int> running{0};
  std::atomic<int> most{0};
  RawBackend backend([&](const std::string&) {
    most = std::max(most.load(), ++running);
    absl::SleepFor(absl::Milliseconds(2));
    --running;
    return RawBackend::Reply{Answer("x")};
  });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  callers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back([&] {
      for (int j = 0; j < 5; ++j) {
        answered += fixture.Run("scripts", "read").result == ResultCode::kOk ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(answered == 100);
  BOOST_TEST(most <= 2);
  BOOST_TEST(backend.connections() <= 3U);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesCancelsItsWorkAtTheBackEnd) {
  DataPathFixture fixture;
  absl::Notification started;
  absl::Notification cancel_came;
  RawBackend backend([&](const std::string& request) {
    if (request.find("POST /cancel/") == 0) {
      cancel_came.Notify();
      return RawBackend::Reply{Answer("")};
    }
    started.Notify();
    cancel_came.WaitForNotificationWithTimeout(absl::Seconds(10));
    return RawBackend::Reply{Answer("", "Ladderstream-Not-Run: cancelled\r\n")};
  });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  std::thread leaver([&] {
    started.WaitForNotification();
    fixture.cancellation->Cancel();
  });
  BOOST_TEST((fixture.Run("scripts", "read").result == ResultCode::kCancelled));
  leaver.join();
  const std::string id = HeaderOf(backend.requests().at(0), "Ladderstream-Request-Id");
  BOOST_TEST(backend.AwaitRequest("POST /cancel/" + id + " "));
}

BOOST_AUTO_TEST_CASE(ForwardsToTheHomeNodeAndCancelsThere) {
  DataPathFixture fixture;
  fixture.AddBackend("b-1", "scripts", Endpoint{"127.0.0.1", 1}, MakeNode(2));
  std::string forwarded;
  fixture.peers->on_call = [&](const ForwardRequest& request) {
    forwarded = request.request_id;
    fixture.cancellation->Cancel();
    ForwardResponse response;
    response.result = ResultCode::kOk;
    response.status = 200;
    return response;
  };
  BOOST_TEST((fixture.Run("scripts", "book").result == ResultCode::kOk));
  BOOST_REQUIRE(fixture.peers->sent.size() == 1);
  BOOST_TEST(std::get<ForwardCancel>(fixture.peers->sent[0]).request_id == forwarded);
}

BOOST_AUTO_TEST_CASE(AHomeNodeLostAfterSendingIsAnUnknownOutcome) {
  DataPathFixture fixture;
  fixture.AddBackend("b-1", "scripts", Endpoint{"127.0.0.1", 1}, MakeNode(2));
  int calls = 0;
  fixture.peers->on_call = [&calls](const ForwardRequest&) -> ForwardResponse {
    ++calls;
    throw Error(ResultCode::kNodeLost, "connection lost");
  };
  BOOST_TEST((fixture.Run("scripts", "book").result == ResultCode::kNodeLost));
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(RefusesAttemptsWhenItIsNotTheHome) {
  DataPathFixture fixture;
  fixture.AddBackend("b-1", "scripts", Endpoint{"127.0.0.1", 1}, MakeNode(2));
  ForwardRequest request;
  request.backend = BackendId("b-1");
  request.remaining = absl::Seconds(1);
  const ForwardResponse response = fixture.path.RunAttempt(request);
  BOOST_TEST((response.result == ResultCode::kOwnerChanged));
}

BOOST_AUTO_TEST_CASE(ADrainRefusesNewWorkAndWaitsForWhatRuns) {
  DataPathFixture fixture;
  absl::Notification started;
  absl::Notification go_on;
  RawBackend backend([&](const std::string&) {
    started.Notify();
    go_on.WaitForNotification();
    return RawBackend::Reply{Answer("whole")};
  });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  CallerAnswer running;
  std::thread caller([&] { running = fixture.Run("scripts", "book"); });
  started.WaitForNotification();
  fixture.path.Drain(absl::ZeroDuration());
  BOOST_TEST((fixture.Run("scripts", "book").result == ResultCode::kShuttingDown));
  go_on.Notify();
  fixture.path.Drain(absl::Seconds(10));
  caller.join();
  BOOST_TEST(running.body == "whole");
}

BOOST_AUTO_TEST_CASE(ReportsTheLoadOfShardsAndBackEnds) {
  DataPathFixture fixture;
  RawBackend backend([](const std::string&) { return RawBackend::Reply{Answer("x")}; });
  fixture.AddBackend("b-1", "scripts", backend.endpoint(), fixture.self);
  for (int i = 0; i < 10; ++i) {
    fixture.Run("scripts", "read", "s/hot");
  }
  const authority::LoadObserved observed = fixture.path.TakeLoad();
  BOOST_REQUIRE(observed.backends.size() == 1);
  BOOST_TEST(observed.backends[0].rate > 0);
  BOOST_TEST(observed.backends[0].failure_rate == 0);
  BOOST_REQUIRE(observed.shards.size() == 2);
  BOOST_TEST(observed.shards[0].shard.key.empty());
  BOOST_TEST(observed.shards[1].shard.key == "s/hot");
  BOOST_TEST(observed.shards[0].rate == observed.shards[1].rate);
}

BOOST_AUTO_TEST_CASE(ARepeatableRequestIsHedgedAndTheLoserCancelled) {
  DataPathFixture fixture;
  fixture.state.configuration.services[1].limits.hedge_after_ms = 10;
  absl::Mutex mutex;
  bool cancelled = false;
  bool stuck = false;
  const auto script = [&](const std::string& request) {
    const absl::MutexLock lock(&mutex);
    if (request.find("POST /cancel/") == 0) {
      cancelled = true;
      return RawBackend::Reply{Answer("")};
    }
    if (!stuck) {
      stuck = true;
      mutex.AwaitWithTimeout(absl::Condition(&cancelled), absl::Seconds(4));
      return RawBackend::Reply{Answer("late")};
    }
    return RawBackend::Reply{Answer("fast")};
  };
  RawBackend first(script);
  RawBackend second(script);
  fixture.AddBackend("c-1", "callbacks", first.endpoint(), fixture.self);
  fixture.AddBackend("c-2", "callbacks", second.endpoint(), fixture.self);
  BOOST_TEST(fixture.Run("callbacks", "read").body == "fast");
  const absl::MutexLock lock(&mutex);
  BOOST_TEST(mutex.AwaitWithTimeout(absl::Condition(&cancelled), absl::Seconds(4)));
}

BOOST_AUTO_TEST_CASE(ABookingIsNeverHedged) {
  DataPathFixture fixture;
  fixture.state.configuration.services[1].limits.hedge_after_ms = 1;
  RawBackend backend([](const std::string&) {
    absl::SleepFor(absl::Milliseconds(30));
    return RawBackend::Reply{Answer("x")};
  });
  fixture.AddBackend("c-1", "callbacks", backend.endpoint(), fixture.self);
  BOOST_TEST((fixture.Run("callbacks", "book").result == ResultCode::kOk));
  BOOST_TEST(backend.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(BadSettingsAreNamedTogether) {
  DataPathSettings settings;
  settings.panic_threshold = 2;
  settings.connect_timeout = absl::ZeroDuration();
  try {
    CheckDataPathSettings(settings);
    BOOST_FAIL("accepted");
  } catch (const Error& error) {
    const std::string text = error.what();
    BOOST_TEST((error.code() == ResultCode::kInconsistentSettings));
    BOOST_TEST(text.find("panic_threshold") != std::string::npos);
    BOOST_TEST(text.find("connect_timeout") != std::string::npos);
  }
}

}  // namespace
}  // namespace ladderstream::test
