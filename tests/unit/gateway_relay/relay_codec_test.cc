// Requests and answers stay as they were on their way through a peer.
#include "gateway/relay/relay_codec.h"

#include <boost/test/unit_test.hpp>

#include "core/membership/message_codec.h"

namespace ladderstream::gateway {
namespace {

using forwarding::AttemptFailure;
using membership::RelayOutcome;

const Time kNow = absl::FromUnixSeconds(1000);

/// As the message arrives after encoding and decoding.
template <typename Message>
Message Sent(const Message& message) {
  return std::get<Message>(
      membership::DecodeMessage(membership::EncodeMessage(membership::Message(message))));
}

std::string LongBody(size_t bytes) {
  std::string body(bytes, '\0');
  for (size_t i = 0; i < bytes; ++i) {
    body[i] = static_cast<char>(i % 251);
  }
  return body;
}

BOOST_AUTO_TEST_SUITE(relay_codec)

BOOST_AUTO_TEST_CASE(request_keeps_its_head_and_whole_body) {
  CallerRequest request;
  request.request_id = "9c41";
  request.head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  request.body = LongBody(size_t{3} << 20U);
  request.has_body = true;
  request.accepts_encoding = true;
  auto message = ToMessage(request);
  BOOST_REQUIRE(message.has_value());
  message->backend = "b-1";
  const CallerRequest received = FromMessage(Sent(*message), kNow);
  BOOST_TEST(received.request_id == request.request_id);
  BOOST_TEST(received.head == request.head);
  BOOST_TEST((received.body == request.body));
  BOOST_TEST(received.has_body);
  BOOST_TEST(received.accepts_encoding);
  BOOST_TEST(!received.is_head_method);
}

BOOST_AUTO_TEST_CASE(answer_keeps_its_stamp_body_and_signals) {
  BackendAnswer answer;
  answer.status = 503;
  answer.head = "HTTP/1.1 503 Full\r\nX-Stamp: s\r\n";
  answer.body = LongBody(700'000);
  answer.not_executed = true;
  answer.leaving = true;
  answer.load = {2, 5, 3, 1.5};
  answer.rest = absl::Milliseconds(300);
  answer.limit.rate = 4;
  const BackendAnswer received = FromMessage(Sent(ToMessage(BackendAnswer(std::move(answer)))));
  BOOST_TEST(received.status == 503);
  BOOST_TEST(received.head == "HTTP/1.1 503 Full\r\nX-Stamp: s\r\n");
  BOOST_TEST((received.body == LongBody(700'000)));
  BOOST_TEST(received.not_executed);
  BOOST_TEST(received.leaving);
  BOOST_TEST(received.load.waiting == 5U);
  BOOST_TEST((received.rest == absl::Milliseconds(300)));
  BOOST_TEST(!received.cold_left.has_value());
  BOOST_TEST(received.limit.rate.value() == 4);
}

BOOST_AUTO_TEST_CASE(body_that_is_too_long_is_never_cut) {
  CallerRequest request;
  request.body = std::string(kMaxRelayedBody + 1, 'x');
  BOOST_TEST(!ToMessage(request).has_value());
  BackendAnswer answer;
  answer.head = "HTTP/1.1 200 OK\r\n";
  answer.body = std::string(kMaxRelayedBody + 1, 'x');
  // It ran, so the sender may not take it as not sent.
  const uint8_t outcome = ToMessage(std::move(answer)).outcome;
  BOOST_TEST(outcome == static_cast<uint8_t>(RelayOutcome::kLost));
}

BOOST_AUTO_TEST_CASE(what_may_have_left_is_never_told_as_not_sent) {
  for (const AttemptFailure failure : {AttemptFailure::kLost, AttemptFailure::kPeerLost}) {
    BOOST_TEST((FailureOf(OutcomeOf(failure)) == AttemptFailure::kLost));
  }
  BOOST_TEST((FailureOf(OutcomeOf(AttemptFailure::kTimedOut)) == AttemptFailure::kTimedOut));
  BOOST_TEST((FailureOf(RelayOutcome::kBusy) == AttemptFailure::kPeerUnavailable));
  BOOST_TEST((FailureOf(RelayOutcome::kNoPath) == AttemptFailure::kPeerHasNoPath));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
