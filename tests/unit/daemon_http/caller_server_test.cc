// Answers, refusals and cancellation as callers see them.
#include "daemon/http/caller_server.h"

#include <absl/synchronization/notification.h>
#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "server_fixture.h"

namespace ladderstream::test {
namespace {

BOOST_AUTO_TEST_CASE(GivesTheHandlerTheWholeRequest) {
  ServerFixture fixture;
  CallerRequest seen;
  fixture.handler.script = [&seen](const CallerRequest& request, const auto&) {
    seen = request;
    CallerAnswer answer;
    answer.result = ResultCode::kOk;
    answer.status = 404;
    return answer;
  };
  fixture.server.Start();
  httplib::Client client("127.0.0.1", fixture.server.endpoint().port);
  const httplib::Headers headers{{"Ladderstream-Deadline-Ms", "250"},
                                 {"Ladderstream-Request-Id", "call-7"}};
  const auto result = client.Post("/v1/services/callbacks/requests/book?key=c%2Fa%26b", headers,
                                  "body", "text/plain");
  BOOST_REQUIRE(result);
  BOOST_TEST(result->status == 404);
  BOOST_TEST(result->body.empty());
  BOOST_TEST(result->get_header_value("Ladderstream-Result") == "0");
  BOOST_TEST(result->get_header_value("Ladderstream-Outcome") == "answered");
  BOOST_TEST(result->get_header_value("Ladderstream-Request-Id") == "call-7");
  BOOST_TEST(seen.service.value() == "callbacks");
  BOOST_TEST(seen.request == "book");
  BOOST_TEST(seen.key == "c/a&b");
  BOOST_TEST(seen.body == "body");
  BOOST_TEST(seen.content_type == "text/plain");
  BOOST_TEST((seen.deadline == absl::Milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(TellsRefusalsByNumberAndWhenToComeBack) {
  ServerFixture fixture;
  fixture.handler.script = [](const CallerRequest&, const auto&) {
    CallerAnswer answer;
    answer.result = ResultCode::kOverloaded;
    answer.retry_after = absl::Milliseconds(40);
    return answer;
  };
  fixture.server.Start();
  httplib::Client client("127.0.0.1", fixture.server.endpoint().port);
  const auto result = client.Get("/v1/services/scripts/requests/read?key=k");
  BOOST_REQUIRE(result);
  BOOST_TEST(result->status == 503);
  BOOST_TEST(result->get_header_value("Retry-After") == "1");
  BOOST_TEST(result->get_header_value("Ladderstream-Retry-After-Ms") == "40");
  BOOST_TEST(result->get_header_value("Ladderstream-Outcome") == "did-not-run");
  const auto body = nlohmann::json::parse(result->body);
  BOOST_TEST(body["code"] == 1001);
  BOOST_TEST(body["name"] == "OVERLOADED");
  BOOST_TEST(body["retry_after_ms"] == 40);
}

BOOST_AUTO_TEST_CASE(ServesManyRequestsOnOneConnectionInOrder) {
  ServerFixture fixture;
  fixture.server.Start();
  RawCaller caller(fixture.server.endpoint());
  std::string pipelined;
  for (const char* key : {"one", "two"}) {
    pipelined +=
        std::string("GET /v1/services/s/requests/r?key=") + key + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }
  pipelined +=
      "GET /v1/services/s/requests/r?key=three HTTP/1.1\r\nHost: a\r\n"
      "Connection: close\r\n\r\n";
  BOOST_TEST(caller.Send(pipelined));
  const std::string answers = caller.ReceiveAll();
  const size_t first = answers.find("one|");
  const size_t second = answers.find("two|");
  const size_t third = answers.find("three|");
  BOOST_TEST(first < second);
  BOOST_TEST(second < third);
  BOOST_TEST(third != std::string::npos);
}

BOOST_AUTO_TEST_CASE(CancelsTheRequestOfACallerThatLeaves) {
  ServerFixture fixture;
  absl::Notification started;
  absl::Notification cancelled;
  fixture.handler.script = [&](const CallerRequest&, const routing::CancellationPtr& caller_gone) {
    caller_gone->OnCancel([&cancelled] { cancelled.Notify(); });
    started.Notify();
    cancelled.WaitForNotificationWithTimeout(absl::Milliseconds(kTestTimeoutMs));
    return CallerAnswer();
  };
  fixture.server.Start();
  RawCaller caller(fixture.server.endpoint());
  caller.Send("GET /v1/services/s/requests/r?key=k HTTP/1.1\r\nHost: a\r\n\r\n");
  started.WaitForNotification();
  BOOST_TEST(!cancelled.HasBeenNotified());
  caller.Close();
  BOOST_TEST(cancelled.WaitForNotificationWithTimeout(absl::Milliseconds(kTestTimeoutMs)));
}

BOOST_AUTO_TEST_CASE(DrainingClosesIdleConnectionsAndCutsNoAnswer) {
  ServerFixture fixture;
  absl::Notification started;
  absl::Notification go_on;
  fixture.handler.script = [&](const CallerRequest&, const auto&) {
    started.Notify();
    go_on.WaitForNotification();
    CallerAnswer answer;
    answer.result = ResultCode::kOk;
    answer.status = 200;
    answer.body = "whole";
    return answer;
  };
  fixture.server.Start();
  RawCaller idle(fixture.server.endpoint());
  RawCaller busy(fixture.server.endpoint());
  busy.Send("GET /v1/services/s/requests/r?key=k HTTP/1.1\r\nHost: a\r\n\r\n");
  started.WaitForNotification();
  fixture.server.BeginDrain();
  BOOST_TEST(idle.ReceiveAll().empty());
  std::thread stop([&fixture] { fixture.server.Stop(); });
  go_on.Notify();
  const std::string answer = busy.ReceiveAll();
  stop.join();
  BOOST_TEST(answer.find("whole") != std::string::npos);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(DrainingAnswersARequestOnItsWayOverAnIdleConnection) {
  ServerFixture fixture;
  fixture.handler.script = [](const CallerRequest&, const auto&) {
    CallerAnswer answer;
    answer.result = ResultCode::kOk;
    answer.status = 200;
    answer.body = "whole";
    return answer;
  };
  fixture.server.Start();
  httplib::Client caller("127.0.0.1", fixture.server.endpoint().port);
  caller.set_keep_alive(true);
  BOOST_REQUIRE(caller.Get("/v1/services/s/requests/r?key=k"));
  RawCaller idle(fixture.server.endpoint());
  fixture.server.BeginDrain();
  // By the end of a request that began after the drain, the idle connection would be closed.
  BOOST_REQUIRE(caller.Get("/v1/services/s/requests/r?key=k"));
  idle.Send("GET /v1/services/s/requests/r?key=k HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string answer = idle.ReceiveAll();
  BOOST_TEST(answer.find("whole") != std::string::npos);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ServesTheRoutesOfOthers) {
  ServerFixture fixture;
  fixture.server.routes().Post(R"(/v1/backends/([^/]+)/lease)",
                               [](const httplib::Request& request, httplib::Response& response) {
                                 response.set_content(request.body, "application/json");
                               });
  fixture.server.Start();
  httplib::Client client("127.0.0.1", fixture.server.endpoint().port);
  const auto result =
      client.Post("/v1/backends/b/lease", R"({"leaving":false})", "application/json");
  BOOST_REQUIRE(result);
  BOOST_TEST(result->body == R"({"leaving":false})");
}

BOOST_AUTO_TEST_CASE(RefusesAPortThatIsTaken) {
  ServerFixture fixture;
  ScriptedHandler handler;
  BOOST_CHECK_THROW(CallerServer(fixture.server.endpoint(), CallerServerLimits(), handler), Error);
}

}  // namespace
}  // namespace ladderstream::test
