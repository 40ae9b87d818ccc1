// A planned stop loses no request.
#include <string>

#include "support.h"

namespace ladderstream::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(requests_in_work_are_answered_and_idle_connections_closed) {
  Node node;
  std::string waiting;
  node.backend.on_request = [&](TestSocket&, const std::string& request) { waiting = request; };
  const auto busy = node.Connect();
  const auto idle = node.Connect();
  const auto half_read = node.Connect();
  half_read->Send("GET /work/x HTTP/1.1\r\n");
  busy->Send(Node::Get("1"));
  node.WaitUntil([&] { return !waiting.empty() && node.data_path.caller_connection_count() == 3; });
  bool drained = false;
  node.data_path.StopAccepting();
  node.data_path.BeginDrain([&] { drained = true; });
  node.WaitUntil([&] { return idle->ended; });
  BOOST_TEST(!busy->ended);
  BOOST_TEST(!drained);

  node.backend.connections.at(0)->Send(AnswerTo(waiting, "done"));
  const std::string answer = node.WaitForAnswer(busy);
  BOOST_TEST(BodyOf(answer) == "done");
  BOOST_TEST(HeaderOf(answer, "Connection") == "close");
  BOOST_TEST(!drained);

  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send(AnswerTo(request, "late but whole"));
  };
  half_read->Send("Host: a.example\r\nT-Request-Id: 2\r\n\r\n");
  BOOST_TEST(BodyOf(node.WaitForAnswer(half_read)) == "late but whole");
  node.WaitUntil([&] { return drained; });
}

// Guards against a process that ends while callers on slow links read the rest of their answers.
BOOST_AUTO_TEST_CASE(answers_that_are_being_written_are_owed) {
  constexpr size_t kMoreThanSocketsHold = size_t{4} << 20U;
  Node node;
  std::string unsent;
  node.backend.on_request = [&](TestSocket&, const std::string& request) {
    unsent = AnswerTo(request, std::string(kMoreThanSocketsHold, 'x'));
  };
  const auto caller = node.Connect();
  caller->StopReading();
  caller->Send(Node::Get("1"));
  node.WaitUntil([&] { return !unsent.empty(); });
  node.WaitUntil([&] {
    unsent.erase(0, node.backend.connections.at(0)->SendSome(unsent));
    return unsent.empty() && node.data_path.requests_in_flight() == 0;
  });
  bool drained = false;
  node.data_path.BeginDrain([&] { drained = true; });
  BOOST_TEST(!node.data_path.IsQuiet());
  BOOST_TEST(!drained);
  caller->Read();
  node.WaitUntil([&] { return drained; });
  BOOST_TEST(node.data_path.IsQuiet());
  node.WaitUntil([&] { return caller->received.size() > kMoreThanSocketsHold; });
}

BOOST_AUTO_TEST_CASE(a_request_that_is_already_here_is_served_before_the_close) {
  Node node;
  const auto caller = node.Connect();
  node.Ask(caller, "1");
  // Arrived, but the loop has not looked at it yet.
  caller->Send(Node::Get("2"));
  node.data_path.BeginDrain([] {});
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "done");
  node.WaitUntil([&] { return caller->ended; });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
