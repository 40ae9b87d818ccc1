// What callers may do, and what becomes of those that do otherwise.
#include <memory>
#include <string>
#include <vector>

#include "support.h"

namespace ladderstream::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(caller_connection)

BOOST_AUTO_TEST_CASE(a_caller_that_goes_ends_the_work_for_it) {
  Node node;
  node.backend.on_request = [](TestSocket&, const std::string&) {};
  const auto caller = node.Connect();
  caller->Send(Node::Get("1"));
  node.WaitUntil([&] { return node.backend.requests.size() == 1; });
  BOOST_TEST(!node.backend.connections.at(0)->ended);
  caller->Close();
  const Time begin = node.clock.Now();
  node.WaitUntil([&] { return node.backend.connections.at(0)->ended; });
  // Long before the request's own time is over.
  BOOST_TEST((node.clock.Now() - begin < absl::Seconds(2)));
  BOOST_TEST(node.data_path.requests_in_flight() == 0U);
  BOOST_TEST(node.data_path.held_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_one_after_another) {
  Node node;
  size_t in_work = 0;
  size_t most = 0;
  node.backend.on_request = [&](TestSocket& socket, const std::string& request) {
    most = std::max(most, ++in_work);
    socket.Send(AnswerTo(request, HeaderOf(request, "T-Request-Id")));
    --in_work;
  };
  const auto caller = node.Connect();
  const std::string with_body =
      "POST /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 2\r\nContent-Length: "
      "3\r\n\r\nabc";
  // The second refusal comes from this node itself, without a back end.
  caller->Send(Node::Get("1") + with_body + Node::Get("3", "/none/") + Node::Get("4"));
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "1");
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "2");
  BOOST_TEST(node.WaitForAnswer(caller).starts_with("HTTP/1.1 404"));
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "4");
  BOOST_TEST(most == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_two_parsers_might_read_differently_is_refused) {
  const std::string line = "POST /work/x HTTP/1.1\r\n";
  const std::string host = "Host: a.example\r\n";
  const std::string id = "T-Request-Id: 1\r\n";
  const std::string smuggled =
      "GET /work/smuggled HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 9\r\n\r\n";
  const std::string length = "Content-Length: 3\r\n";
  const std::vector<std::string> requests = {
      line + host + id + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      line + host + id + "Transfer-Encoding: chunked\r\n" + length + "\r\n0\r\n\r\n",
      line + host + id + length + length + "\r\nabc",
      line + host + id + "Content-Length: 3, 3\r\n\r\nabc",
      line + host + id + "Content-Length: +3\r\n\r\nabc",
      line + host + id + "Transfer-Encoding: gzip\r\n\r\n",
      line + host + id + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      line + host + id + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      line + host + id + "X: a\r\n b\r\n\r\n",
      line + host + id + "X: a\nTransfer-Encoding: chunked\r\n\r\n",
      "POST /work/x HTTP/1.0\r\n" + host + id + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      line + host + id + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
      line + host + host + id + "\r\n",
      line + id + "\r\n",
      line + host + "\r\n",
      line + host + id + id + "\r\n",
      std::string("GET /work/x y HTTP/1.1\r\n") + host + id + "\r\n",
  };
  for (const std::string& request : requests) {
    Node node;
    const auto caller = node.Connect();
    caller->Send(request + smuggled);
    BOOST_TEST(node.WaitForAnswer(caller).starts_with("HTTP/1.1 400 "), request);
    node.WaitUntil([&] { return caller->ended; });
    BOOST_TEST(caller->received.empty());
    BOOST_TEST(node.backend.requests.empty(), request);
  }
}

BOOST_AUTO_TEST_CASE(what_is_too_large_or_too_slow_is_refused) {
  Node node;
  catalog::Limits limits;
  limits.max_header_bytes = 1000;
  limits.max_body_bytes = 10;
  limits.header_timeout = absl::Milliseconds(100);
  node.Configure(limits);
  const auto status_of = [&](const std::string& bytes) {
    const auto caller = node.Connect();
    caller->Send(bytes);
    const std::string answer = node.WaitForAnswer(caller);
    BOOST_TEST(HeaderOf(answer, "Connection") == "close");
    return answer.substr(9, 3);
  };
  const std::string post = "POST /work/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\n";
  BOOST_TEST(status_of(post + "X: " + std::string(1000, 'x') + "\r\n\r\n") == "431");
  BOOST_TEST(status_of(post + "X: " + std::string(1000, 'x')) == "431");
  BOOST_TEST(status_of(post + "Content-Length: 11\r\n\r\n") == "413");
  BOOST_TEST(status_of(post + "Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\n") == "413");
  BOOST_TEST(status_of(post) == "408");
  BOOST_TEST(node.backend.requests.empty());
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_without_a_word) {
  Node node;
  catalog::Limits limits;
  limits.header_timeout = absl::Milliseconds(10);
  limits.idle_timeout = absl::Milliseconds(200);
  node.Configure(limits);
  const auto caller = node.Connect();
  node.Ask(caller, "1");
  const Time begin = node.clock.Now();
  node.WaitUntil([&] { return caller->ended; });
  BOOST_TEST(caller->received.empty());
  BOOST_TEST((node.clock.Now() - begin > absl::Milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(a_caller_that_asks_whether_to_send_its_body_is_told_to) {
  Node node;
  const auto caller = node.Connect();
  caller->Send(
      "POST /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\nContent-Length: 3\r\n"
      "Expect: 100-continue\r\n\r\n");
  BOOST_TEST(node.WaitForAnswer(caller) == "HTTP/1.1 100 Continue\r\n\r\n");
  caller->Send("abc");
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "done");
  BOOST_TEST(BodyOf(node.backend.requests.at(0)) == "abc");
  BOOST_TEST(HeaderOf(node.backend.requests.at(0), "Expect").empty());
}

BOOST_AUTO_TEST_CASE(the_last_request_of_a_connection_ends_it_after_its_answer) {
  Node node;
  for (const std::string& request :
       {Node::Get("1", "/work/x", "Connection: close\r\n"),
        std::string("GET /work/x HTTP/1.0\r\nHost: a.example\r\nT-Request-Id: 1\r\n\r\n")}) {
    const auto caller = node.Connect();
    caller->Send(request);
    const std::string answer = node.WaitForAnswer(caller);
    BOOST_TEST(BodyOf(answer) == "done");
    BOOST_TEST(HeaderOf(answer, "Connection") == "close");
    node.WaitUntil([&] { return caller->ended; });
  }
}

BOOST_AUTO_TEST_CASE(the_number_of_connections_is_bounded) {
  DataPathSettings settings;
  settings.callers.max_connections = 2;
  Node node(settings);
  node.backend.on_request = [](TestSocket&, const std::string&) {};
  const auto idle = node.Connect();
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 1; });
  const auto busy = node.Connect();
  busy->Send(Node::Get("1"));
  node.WaitUntil([&] { return node.backend.requests.size() == 1; });
  const auto next = node.Connect();
  next->Send(Node::Get("2"));
  node.WaitUntil([&] { return idle->ended && node.backend.requests.size() == 2; });
  const auto refused = node.Connect();
  const std::string answer = node.Ask(refused, "3");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(std::stod(HeaderOf(answer, "Retry-After")) > 0);
  BOOST_TEST(!busy->ended);
}

BOOST_AUTO_TEST_CASE(bodies_beyond_the_memory_for_them_are_refused) {
  DataPathSettings settings;
  settings.max_held_bytes = 1000;
  Node node(settings);
  const auto caller = node.Connect();
  caller->Send(
      "POST /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\n"
      "Content-Length: 1001\r\n\r\n");
  BOOST_TEST(node.WaitForAnswer(caller).starts_with("HTTP/1.1 503 "));
  BOOST_TEST(node.data_path.held_bytes() == 0U);
  // What is only announced takes no room from others.
  const auto announcing = node.Connect();
  announcing->Send(
      "POST /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 2\r\n"
      "Content-Length: 700\r\n\r\nabc");
  node.WaitUntil([&] { return node.data_path.held_bytes() == 3; });
}

BOOST_AUTO_TEST_CASE(the_loop_may_run_on_when_the_data_path_is_gone) {
  auto node = std::make_unique<Node>();
  node->backend.on_request = [](TestSocket&, const std::string&) {};
  const auto waiting = node->Connect();
  waiting->Send(Node::Get("1"));
  const auto half_read = node->Connect();
  half_read->Send(
      "POST /work/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 2\r\n"
      "Content-Length: 9\r\n\r\nabc");
  node->WaitUntil(
      [&] { return node->backend.requests.size() == 1 && node->data_path.held_bytes() == 3; });
  node->owned_data_path.reset();
  node->WaitUntil([&] { return waiting->ended && half_read->ended; });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
