// What back ends do while a request of another node is carried to them, over real sockets.
#include "gateway/relay/request_carrier.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "../gateway_http/support.h"
#include "gateway/relay/relay_codec.h"

namespace ladderstream::gateway {
namespace {

using membership::RelayOutcome;

constexpr int kPlays = 6;
constexpr uint64_t kConnection = 3;

/// A node that carries one request, and a back end that answers as soon as it has the head, resets
/// the connection and has not read the body. The body is longer than what the buffers of both
/// sockets hold.
class EarlyAnswerPlay {
 public:
  /// `turns`: of the loop between the answer and the reset.
  EarlyAnswerPlay(std::string fields, int turns) : fields_(std::move(fields)), turns_left_(turns) {}

  membership::RelayedAnswer Run(bool repeatable) {
    carrier_.OnRequest(kConnection, MakeRequest(repeatable), absl::ZeroDuration());
    node_.WaitUntil([this] {
      AnswerEarly();
      return reply_.has_value();
    });
    BOOST_TEST(node_.data_path.backend_connection_count() == 0U);
    return *reply_;
  }

 private:
  static membership::RelayedRequest MakeRequest(bool repeatable) {
    CallerRequest request;
    request.request_id = "1";
    request.head = "POST /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\n";
    request.body = std::string(kMaxRelayedBody, 'b');
    request.has_body = true;
    membership::RelayedRequest message = *ToMessage(request);
    message.backend = "backend-1";
    message.repeatable = repeatable;
    message.answer_within_ms = 10'000;
    return message;
  }

  void AnswerEarly() {
    if (node_.backend.connections.empty()) {
      return;
    }
    TestSocket& backend_end = *node_.backend.connections.front();
    if (!answered_ && backend_end.received.find("\r\n\r\n") != std::string::npos) {
      backend_end.StopReading();
      backend_end.Send("HTTP/1.1 200 OK\r\nT-Request-Id: 1\r\nT-Stamp: s\r\n" + fields_ +
                       "\r\nabc");
      answered_ = true;
    }
    if (answered_ && turns_left_-- == 0) {
      backend_end.Reset();
    }
  }

  const std::string fields_;
  int turns_left_;
  bool answered_ = false;
  std::optional<membership::RelayedAnswer> reply_;
  Node node_;
  DataPathObserver observer_;
  observability::NodeMetrics metrics_;
  RequestCarrier carrier_{&node_.data_path, &node_.dispatcher, &observer_, &metrics_,
                          [this](uint64_t /*connection*/, const membership::RelayedAnswer& answer) {
                            reply_ = answer;
                          }};
};

BOOST_AUTO_TEST_SUITE(request_carrier)

BOOST_AUTO_TEST_CASE(an_early_answer_without_a_length_that_is_reset_is_lost) {
  for (const bool repeatable : {false, true}) {
    for (int turns = 0; turns < kPlays; ++turns) {
      const membership::RelayedAnswer answer = EarlyAnswerPlay("", turns).Run(repeatable);
      BOOST_TEST(static_cast<int>(answer.outcome) == static_cast<int>(RelayOutcome::kLost),
                 "reset after " << turns << " turns");
      BOOST_TEST(answer.detail.starts_with("reset"), answer.detail);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_early_answer_with_its_length_is_sent_back) {
  for (int turns = 0; turns < kPlays; ++turns) {
    const membership::RelayedAnswer answer =
        EarlyAnswerPlay("Content-Length: 3\r\n", turns).Run(/*repeatable=*/false);
    BOOST_TEST(static_cast<int>(answer.outcome) == static_cast<int>(RelayOutcome::kAnswered));
    BOOST_TEST(FromMessage(answer).body == "abc");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
