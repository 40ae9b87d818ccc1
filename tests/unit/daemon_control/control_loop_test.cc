#include "daemon/control/control_loop.h"

#include <absl/synchronization/notification.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "daemon/control/boot_clock.h"

namespace ladderstream::control {
namespace {

constexpr Duration kPatience = absl::Seconds(20);
constexpr Duration kNoPatience = absl::Milliseconds(1);

/// What the scripted authority was given and what it says; shared with the test.
struct Script {
  std::function<std::vector<authority::Action>(const authority::Event&)> handle =
      [](const authority::Event&) { return std::vector<authority::Action>(); };
  std::atomic<int> ticks{0};
  std::atomic<int64_t> confirmed_seconds{0};
};

class ScriptedCore : public AuthorityCore {
 public:
  explicit ScriptedCore(std::shared_ptr<Script> script) : script_(std::move(script)) {}

  std::vector<authority::Action> Handle(const authority::Event& event, Time /*now*/) override {
    return script_->handle(event);
  }
  std::vector<authority::Action> Tick(Time now) override {
    ++script_->ticks;
    next_tick_ = now + absl::Milliseconds(1);
    return {};
  }
  Time NextTick() const override { return next_tick_; }
  authority::RoutingState routing_state(Time /*now*/) const override {
    authority::RoutingState routing;
    routing.confirmed_until = confirmed_until();
    return routing;
  }
  Time confirmed_until() const override {
    return absl::UnixEpoch() + absl::Seconds(script_->confirmed_seconds.load());
  }
  authority::AuthorityStatus status(Time /*now*/) const override {
    authority::AuthorityStatus status;
    status.term = 5;
    return status;
  }

 private:
  const std::shared_ptr<Script> script_;
  Time next_tick_ = absl::InfinitePast();
};

struct Fixture {
  void Start(Ports ports = {}) {
    if (!ports.send) {
      ports.send = [](const authority::SendMessage&) {};
    }
    loop.Start(std::move(ports));
  }

  BootClock clock;
  std::shared_ptr<Script> script = std::make_shared<Script>();
  ControlLoop loop{std::make_unique<ScriptedCore>(script), clock, absl::Seconds(1)};
};

BOOST_FIXTURE_TEST_SUITE(control_loop_suite, Fixture)

BOOST_AUTO_TEST_CASE(LeaseIsAnsweredToWhoeverAsked) {
  script->handle = [](const authority::Event& event) {
    const auto& request = std::get<authority::LeaseRequested>(event);
    LeaseResponse response;
    response.result = ResultCode::kOk;
    response.lease = absl::Milliseconds(request.request.incarnation.value());
    return std::vector<authority::Action>{authority::AnswerLease{request.correlation, response}};
  };
  Start();
  const auto ask = [this](uint64_t incarnation) {
    LeaseRequest request;
    request.incarnation = BackendIncarnation(incarnation);
    return absl::ToInt64Milliseconds(loop.RequestLease(request, kPatience).lease);
  };
  std::future<int64_t> first = std::async(std::launch::async, ask, 100);
  std::future<int64_t> second = std::async(std::launch::async, ask, 200);
  BOOST_TEST(first.get() == 100);
  BOOST_TEST(second.get() == 200);
}

BOOST_AUTO_TEST_CASE(UnansweredQuestionsEndWithTheirTimeouts) {
  Start();
  BOOST_TEST((loop.RequestLease({}, kNoPatience).result == ResultCode::kNoLeader));
  BOOST_TEST((loop.Propose(SetDraining{}, kNoPatience).result == ResultCode::kPeerTimeout));
}

BOOST_AUTO_TEST_CASE(RoutingChangeWakesTheWaiter) {
  script->handle = [](const authority::Event&) {
    return std::vector<authority::Action>{authority::RoutingChanged{}};
  };
  Start();
  const RoutingStatePtr known = loop.Routing();
  std::future<RoutingStatePtr> newer =
      std::async(std::launch::async, [&] { return loop.WaitForRoutingChange(known, kPatience); });
  loop.Post(authority::PeersDiscovered{});
  BOOST_TEST(newer.get() != known);
}

BOOST_AUTO_TEST_CASE(NewerConfirmationIsPublishedWithoutARoutingChange) {
  Start();
  const RoutingStatePtr known = loop.Routing();
  script->confirmed_seconds = 7;
  const RoutingStatePtr newer = loop.WaitForRoutingChange(known, kPatience);
  BOOST_TEST((newer->confirmed_until == absl::UnixEpoch() + absl::Seconds(7)));
}

BOOST_AUTO_TEST_CASE(ThrowingEventIsCountedAndTheLoopGoesOn) {
  script->handle = [](const authority::Event& event) -> std::vector<authority::Action> {
    if (std::holds_alternative<authority::StopRequested>(event)) {
      return {authority::MayStop{}};
    }
    throw Error(ResultCode::kMalformedMessage, "scripted");
  };
  Start();
  loop.Post(authority::PeersDiscovered{});
  loop.Post(authority::StopRequested{});
  BOOST_TEST(loop.WaitUntilMayStop(kPatience));
  BOOST_TEST(loop.events_failed() == 1U);
}

BOOST_AUTO_TEST_CASE(TicksWithoutEventsAndMeasuresItsProcessorTime) {
  Start();
  while (script->ticks < 3 || loop.ProcessorTime() == absl::ZeroDuration()) {
    std::this_thread::yield();
  }
  BOOST_TEST(loop.Status().term == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::control
