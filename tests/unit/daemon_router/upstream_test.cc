// What a node makes of a back end's answers, however broken.
#include <absl/strings/match.h>

#include <boost/test/unit_test.hpp>

#include "daemon/upstream/backend_connection.h"
#include "daemon/upstream/connection_pool.h"
#include "raw_backend.h"

namespace ladderstream::test {
namespace {

using upstream::BackendConnection;
using upstream::ConnectionSettings;

struct UpstreamFixture {
  static ForwardRequest Request(const std::string& id = "r-1") {
    ForwardRequest request;
    request.service = ServiceName("scripts");
    request.key = "s/a b";
    request.request = "read";
    request.body = "body";
    request.token = {1, 2, 3};
    request.request_id = id;
    request.caller_id = "call-7";
    return request;
  }

  ForwardResponse Exchange(const Endpoint& endpoint, Duration timeout = absl::Seconds(5)) {
    BackendConnection connection(endpoint, ConnectionSettings(), time, watch);
    return connection.Exchange(Request(), time.Now() + timeout);
  }

  SystemTime time;
  upstream::DeadlineWatch watch{time};
};

ForwardResponse AnswerTo(const RawBackend::Reply& reply) {
  UpstreamFixture fixture;
  RawBackend backend([reply](const std::string&) { return reply; });
  ForwardResponse response = fixture.Exchange(backend.endpoint());
  // Whatever came back, the request was sent just once.
  BOOST_TEST(backend.requests().size() == 1U);
  return response;
}

BOOST_AUTO_TEST_CASE(PassesTheRequestAndTheWholeAnswerOn) {
  UpstreamFixture fixture;
  RawBackend backend([](const std::string&) {
    return RawBackend::Reply{Answer("hello", "Content-Type: text/plain\r\n")};
  });
  const ForwardResponse response = fixture.Exchange(backend.endpoint());
  BOOST_TEST((response.result == ResultCode::kOk));
  BOOST_TEST(response.status == 200U);
  BOOST_TEST(response.body == "hello");
  BOOST_TEST(response.content_type == "text/plain");
  const std::string request = backend.requests().at(0);
  BOOST_TEST(absl::StartsWith(request, "POST /serve/scripts/read?key=s%2fa%20b HTTP/1.1\r\n"));
  BOOST_TEST(HeaderOf(request, "Ladderstream-Grant") == "1.2.3");
  BOOST_TEST(HeaderOf(request, "Ladderstream-Request-Id") == "r-1");
  BOOST_TEST(HeaderOf(request, "Ladderstream-Caller-Id") == "call-7");
  BOOST_TEST(absl::EndsWith(request, "\r\n\r\nbody"));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatMayBeCutOffIsNeverTakenForWhole) {
  const std::vector<RawBackend::Reply> replies{
      {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false},
      {"HTTP/1.1 200 OK\r\n\r\nno length", false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalfXX", false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nhalf", false}};
  for (const RawBackend::Reply& reply : replies) {
    const ForwardResponse response = AnswerTo(reply);
    BOOST_TEST((response.result == ResultCode::kAnswerTruncated), reply.bytes);
    BOOST_TEST(response.body.empty());
  }
}

BOOST_AUTO_TEST_CASE(AConnectionLostAfterSendingIsAnUnknownOutcome) {
  BOOST_TEST((AnswerTo({"", false}).result == ResultCode::kConnectionLost));
  BOOST_TEST((AnswerTo({"HTTP/1.1 200", false}).result == ResultCode::kConnectionLost));
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsProofThatNothingRan) {
  UpstreamFixture fixture;
  Endpoint endpoint;
  {
    RawBackend gone([](const std::string&) { return RawBackend::Reply(); });
    endpoint = gone.endpoint();
  }
  const ForwardResponse response = fixture.Exchange(endpoint);
  BOOST_TEST((response.result == ResultCode::kBackendUnreachable));
}

BOOST_AUTO_TEST_CASE(SilenceAndTricklingEndWithTheDeadline) {
  constexpr Duration kTimeout = absl::Milliseconds(150);
  for (const bool trickle : {false, true}) {
    UpstreamFixture fixture;
    absl::Mutex mutex;
    bool stop = false;
    RawBackend backend([&](const std::string&) {
      const absl::MutexLock lock(&mutex, absl::Condition(&stop));
      return RawBackend::Reply();
    });
    RawBackend trickler([&](const std::string&) {
      // Each part alone comes well within any time-out for one read.
      return RawBackend::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nx", true};
    });
    const Time started = fixture.time.Now();
    const ForwardResponse response =
        fixture.Exchange(trickle ? trickler.endpoint() : backend.endpoint(), kTimeout);
    BOOST_TEST((response.result == ResultCode::kTimedOut), std::string(NameOf(response.result)));
    BOOST_TEST((fixture.time.Now() - started >= kTimeout));
    BOOST_TEST((fixture.time.Now() - started < absl::Seconds(5)));
    const absl::MutexLock lock(&mutex);
    stop = true;
  }
}

BOOST_AUTO_TEST_CASE(RefusalsTellWhatDidNotRun) {
  const std::vector<std::pair<std::string, ResultCode>> reasons{
      {"wrong-grant", ResultCode::kOwnerChanged}, {"shed", ResultCode::kBackendShed},
      {"draining", ResultCode::kOwnerChanged},    {"expired", ResultCode::kDeadlineUnreachable},
      {"cancelled", ResultCode::kCancelled},      {"new reason", ResultCode::kBackendShed}};
  for (const auto& [reason, code] : reasons) {
    const ForwardResponse response =
        AnswerTo({Answer("", "Ladderstream-Not-Run: " + reason + "\r\n")});
    BOOST_TEST((response.result == code), reason);
    BOOST_TEST((OutcomeOf(response.result) == Outcome::kDidNotRun));
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestIsNotPassedOn) {
  const ForwardResponse response =
      AnswerTo({Answer("other's", "Ladderstream-Request-Id: r-0\r\n")});
  BOOST_TEST((response.result == ResultCode::kConnectionLost));
}

BOOST_AUTO_TEST_CASE(ALateSecondAnswerIsNotTakenForTheNextRequests) {
  UpstreamFixture fixture;
  RawBackend backend([](const std::string& request) {
    // Too long for the reader's buffer, so that the second answer stays in the socket.
    const std::string answer =
        Answer(HeaderOf(request, "Ladderstream-Request-Id") + std::string(100000, ' '));
    return RawBackend::Reply{answer + answer};
  });
  upstream::ConnectionPool pool(backend.endpoint(), ConnectionSettings(), fixture.time,
                                fixture.watch);
  for (const char* id : {"r-1", "r-2", "r-3"}) {
    upstream::BackendConnectionPtr connection = pool.Take(2);
    const ForwardResponse response =
        connection->Exchange(UpstreamFixture::Request(id), fixture.time.Now() + absl::Seconds(5));
    BOOST_TEST(response.body.substr(0, response.body.find(' ')) == id);
    pool.Return(std::move(connection));
  }
}

BOOST_AUTO_TEST_CASE(ThePoolReusesConnectionsAndKeepsToItsLimit) {
  UpstreamFixture fixture;
  RawBackend backend([](const std::string&) { return RawBackend::Reply{Answer("x")}; });
  upstream::ConnectionPool pool(backend.endpoint(), ConnectionSettings(), fixture.time,
                                fixture.watch);
  for (int i = 0; i < 5; ++i) {
    upstream::BackendConnectionPtr connection = pool.Take(1);
    BOOST_REQUIRE(connection != nullptr);
    connection->Exchange(UpstreamFixture::Request(), fixture.time.Now() + absl::Seconds(5));
    BOOST_TEST(pool.Take(1) == nullptr);
    pool.Return(std::move(connection));
  }
  BOOST_TEST(backend.connections() == 1U);
}

}  // namespace
}  // namespace ladderstream::test
