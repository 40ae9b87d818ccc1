// What passes between a caller and a back end when nothing goes wrong.
#include <string>

#include "support.h"

using std::string_literals::operator""s;

namespace ladderstream::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(connections_are_reused_on_both_sides) {
  Node node;
  const auto caller = node.Connect();
  for (const char* id : {"1", "2", "3"}) {
    const std::string answer = node.Ask(caller, id);
    BOOST_TEST(HeaderOf(answer, "T-Request-Id") == id);
    BOOST_TEST(BodyOf(answer) == "done");
  }
  BOOST_TEST(node.backend.connections.size() == 1U);
}

// What requested_rest_test shows of the decisions, over real sockets: the header is heard.
BOOST_AUTO_TEST_CASE(a_back_end_that_asked_for_rest_gets_nothing) {
  Node node;
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send("HTTP/1.1 503 Shed\r\nT-Request-Id: " + HeaderOf(request, "T-Request-Id") +
                "\r\nT-Not-Executed: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n");
  };
  const auto caller = node.Connect();
  for (const char* id : {"1", "2", "3"}) {
    BOOST_TEST(node.Ask(caller, id).starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(node.backend.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_arrives_as_it_was_sent) {
  Node node;
  const auto caller = node.Connect();
  node.Ask(caller, "1", "/work/a%2F?q=%20x",
           "x-MiXed: v  w\r\nT-Deadline-Ms: 700\r\nT-Expected: e\r\n");
  const std::string& request = node.backend.requests.at(0);
  BOOST_TEST(
      request.starts_with("GET /work/a%2F?q=%20x HTTP/1.1\r\nHost: a.example\r\n"
                          "T-Request-Id: 1\r\nx-MiXed: v  w\r\n"));
  BOOST_TEST(HeaderOf(request, "T-Expected") == "backend-1");
  BOOST_TEST(request.find("T-Expected: e") == std::string::npos);
  const int left = std::stoi(HeaderOf(request, "T-Deadline-Ms"));
  BOOST_TEST(left > 0);
  BOOST_TEST(left <= 700);
}

BOOST_AUTO_TEST_CASE(headers_of_one_connection_are_not_passed_on) {
  Node node;
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send(AnswerTo(request, "done",
                         "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\n"
                         "Keep-Alive: timeout=9\r\n"));
  };
  const auto caller = node.Connect();
  const std::string answer =
      node.Ask(caller, "1", "/work/x",
               "Connection: X-Private, T-Request-Id, Host\r\nX-Private: 1\r\nTE: trailers\r\n"
               "Proxy-Authorization: x\r\nUpgrade: h2c\r\nX-Public: 1\r\n");
  const std::string& request = node.backend.requests.at(0);
  for (const char* name : {"X-Private", "TE", "Proxy-Authorization", "Upgrade", "Connection"}) {
    BOOST_TEST(HeaderOf(request, name).empty(), name);
  }
  for (const char* name : {"X-Public", "Host", "T-Request-Id"}) {
    BOOST_TEST(!HeaderOf(request, name).empty(), name);
  }
  BOOST_TEST(HeaderOf(answer, "X-Hop").empty());
  BOOST_TEST(HeaderOf(answer, "Keep-Alive").empty());
  BOOST_TEST(HeaderOf(answer, "X-Kept") == "1");
}

BOOST_AUTO_TEST_CASE(a_chunked_body_arrives_byte_for_byte_with_a_length) {
  Node node;
  const auto caller = node.Connect();
  const std::string part(30000, '\n');
  caller->Send(
      "POST /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n7530;ext=1\r\n" +
      part + "\r\n4\r\n\0\r\n\xff\r\n0\r\nX-Trailer: 1\r\n\r\n"s);
  node.WaitForAnswer(caller);
  const std::string& request = node.backend.requests.at(0);
  BOOST_TEST((BodyOf(request) == part + "\0\r\n\xff"s));
  BOOST_TEST(HeaderOf(request, "Content-Length") == "30004");
  BOOST_TEST(HeaderOf(request, "Transfer-Encoding").empty());
  BOOST_TEST(HeaderOf(request, "X-Trailer").empty());
}

BOOST_AUTO_TEST_CASE(a_chunked_answer_and_one_without_a_length_arrive_whole) {
  Node node;
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    const std::string head =
        "HTTP/1.1 201 Made\r\nT-Request-Id: " + HeaderOf(request, "T-Request-Id") +
        "\r\nT-Stamp: s\r\n";
    if (HeaderOf(request, "T-Request-Id") == "1") {
      socket.Send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    } else {
      socket.Send(head + "\r\nabcde");
      socket.Close();
    }
  };
  const auto caller = node.Connect();
  for (const char* id : {"1", "2"}) {
    const std::string answer = node.Ask(caller, id);
    BOOST_TEST(answer.starts_with("HTTP/1.1 201 Made\r\n"));
    BOOST_TEST(HeaderOf(answer, "Content-Length") == "5");
    BOOST_TEST(BodyOf(answer) == "abcde");
  }
}

BOOST_AUTO_TEST_CASE(interim_answers_are_skipped) {
  Node node;
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
                AnswerTo(request, "final"));
  };
  BOOST_TEST(BodyOf(node.Ask(node.Connect(), "1")) == "final");
}

BOOST_AUTO_TEST_CASE(answers_without_a_body_tell_no_false_length) {
  Node node;
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    const std::string id =
        "T-Request-Id: " + HeaderOf(request, "T-Request-Id") + "\r\nT-Stamp: s\r\n";
    socket.Send(request.starts_with("HEAD")
                    ? "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n" + id + "\r\n"
                    : "HTTP/1.1 204 No Content\r\n" + id + "\r\n");
  };
  const auto caller = node.Connect();
  caller->Send("HEAD /work/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\n\r\n");
  node.WaitUntil([&] { return caller->received.ends_with("\r\n\r\n"); });
  BOOST_TEST(HeaderOf(caller->received, "Content-Length") == "77");
  caller->received.clear();
  const std::string answer = node.Ask(caller, "2");
  BOOST_TEST(answer.starts_with("HTTP/1.1 204"));
  BOOST_TEST(HeaderOf(answer, "Content-Length").empty());
  BOOST_TEST(node.backend.connections.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_failure_of_a_back_end_passes_unchanged) {
  Node node;
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send("HTTP/1.1 418 Teapot\r\nT-Request-Id: " + HeaderOf(request, "T-Request-Id") +
                "\r\nT-Stamp: s\r\nContent-Length: 2\r\n\r\nno");
  };
  const std::string answer = node.Ask(node.Connect(), "1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 418 Teapot\r\n"));
  BOOST_TEST(HeaderOf(answer, "T-Stamp") == "s");
  BOOST_TEST(BodyOf(answer) == "no");
}

BOOST_AUTO_TEST_CASE(an_answer_of_this_node_bears_its_code_and_no_stamp) {
  Node node;
  const std::string answer = node.Ask(node.Connect(), "1", "/elsewhere/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 404 "));
  BOOST_TEST(BodyOf(answer).find("\"code\":3001") != std::string::npos);
  BOOST_TEST(HeaderOf(answer, "T-Stamp").empty());
}

BOOST_AUTO_TEST_CASE(a_deadline_that_has_passed_is_not_sent_on) {
  Node node;
  const auto caller = node.Connect();
  for (const char* left : {"0", "-5"}) {
    const std::string answer =
        node.Ask(caller, "1", "/work/x", "T-Deadline-Ms: " + std::string(left) + "\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  }
  node.Ask(caller, "2", "/work/x", "T-Deadline-Ms: soon\r\n");
  BOOST_TEST(node.backend.requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
