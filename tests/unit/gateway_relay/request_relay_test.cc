// What a peer sends back in the place of an answer, over real sockets.
#include "gateway/relay/request_relay.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "wire/boot_clock.h"

namespace ladderstream::gateway {
namespace {

using forwarding::AttemptFailure;
using forwarding::AttemptHandle;
using membership::RelayOutcome;

/// Far more than anything here takes; a test that reaches it fails.
constexpr std::chrono::seconds kPatience(10);
constexpr uint64_t kPeer = 11;
constexpr AttemptHandle kAttempt = 7;

/// Notes how one attempt ended.
class EndListener : public ExchangeListener {
 public:
  void OnConnected(AttemptHandle /*attempt*/) override {}
  bool MaySend(AttemptHandle /*attempt*/) override { return true; }
  void OnSent(AttemptHandle /*attempt*/) override {}
  void OnAnswer(AttemptHandle /*attempt*/, BackendAnswer answer) override {
    answered = std::move(answer);
  }
  void OnFailure(AttemptHandle /*attempt*/, AttemptFailure failure,
                 std::string_view reason) override {
    failed = failure;
    cause = reason;
  }

  bool ended() const { return answered.has_value() || failed.has_value(); }

  std::optional<BackendAnswer> answered;
  std::optional<AttemptFailure> failed;
  std::string cause;
};

/// A node that relays to a stand-in of its peer, which answers everything with `answer`.
struct Fixture {
  Fixture() {
    answer.outcome = static_cast<uint8_t>(RelayOutcome::kAnswered);
    answer.status = 200;
    answer.head = "HTTP/1.1 200 OK\r\n";
    answer.body = {"abc"};
    peer.Start();
    relay.SetPeers({{kPeer, "peer", "a", peer.listen_address()}});
  }

  static PeerSettings Listening() {
    PeerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    return settings;
  }

  void OnRequest(uint64_t connection, const membership::Message& message) {
    if (const auto* request = std::get_if<membership::RelayedRequest>(&message)) {
      answer.sequence = request->sequence;
      peer.SendOne({Endpoint(), connection}, answer);
    }
  }

  /// Sends one request through the peer.
  void Ask() {
    auto request = std::make_shared<CallerRequest>();
    request->request_id = "1";
    request->head = "GET /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\n";
    forwarding::SendDecision send;
    send.attempt = kAttempt;
    send.backend = "backend-1";
    send.peer = kPeer;
    send.answer_by = clock.Now() + absl::Seconds(10);
    BOOST_REQUIRE(relay.Start(send, /*repeatable=*/false, request, &listener));
    const auto give_up = std::chrono::steady_clock::now() + kPatience;
    while (!listener.ended()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < give_up);
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(20));
    }
  }

  EventLoop loop{1};
  BootTimeSource clock;
  LoopResources resources{loop, clock, std::make_shared<ByteBudget>(size_t{1} << 20U), {}};
  observability::NodeMetrics metrics;
  membership::RelayedAnswer answer;
  PeerTransport peer{&resources,
                     Listening(),
                     {[this](uint64_t connection, const membership::Message& message) {
                        OnRequest(connection, message);
                      },
                      [](const Endpoint&, bool) {}, [](const Endpoint&, const std::string&) {}}};
  EndListener listener;
  RequestRelay relay{&resources, &metrics, /*seed=*/1};
};

BOOST_AUTO_TEST_SUITE(request_relay)

BOOST_FIXTURE_TEST_CASE(an_answer_is_passed_on, Fixture) {
  Ask();
  BOOST_REQUIRE(listener.answered.has_value());
  BOOST_TEST(listener.answered->status == 200);
  BOOST_TEST(listener.answered->body == "abc");
}

BOOST_AUTO_TEST_CASE(an_answer_with_an_unusable_status_is_lost) {
  for (const int status : {-1, 0, 99, 100, 101, 103, 600, 999}) {
    Fixture fixture;
    fixture.answer.status = status;
    fixture.Ask();
    BOOST_TEST(!fixture.listener.answered.has_value(), "status " << status);
    // The back end may have run the request, and is not known to have failed.
    BOOST_TEST((fixture.listener.failed == AttemptFailure::kPeerLost));
    BOOST_TEST(fixture.listener.cause.find("status") != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
