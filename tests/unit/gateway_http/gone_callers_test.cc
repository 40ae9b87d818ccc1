// Callers that left while the loop stood still: nothing is sent to a back end for them.
#include <string>
#include <vector>

#include "support.h"

namespace ladderstream::gateway {
namespace {

/// Longer than any caller here waits, and than the loop may be behind unnoticed.
constexpr Duration kStandstill = absl::Seconds(1);

/// A node that has an idle connection to its back end, so that requests leave at once.
struct WarmNode : Node {
  WarmNode() {
    Ask(Connect(), "warm");
    backend.requests.clear();
  }
};

BOOST_AUTO_TEST_SUITE(gone_callers)

BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_before_it_was_read_is_not_sent) {
  WarmNode node;
  const auto caller = node.Connect();
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 2; });
  caller->Send(Node::Get("1"));
  caller->Close();
  node.clock.ahead = kStandstill;
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 1; });
  BOOST_TEST(node.data_path.requests_in_flight() == 0U);
  node.Ask(node.Connect(), "2");
  BOOST_TEST(node.backend.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_before_its_connection_was_accepted_is_not_served) {
  WarmNode node;
  const auto caller = node.Connect();
  caller->Send(Node::Get("1", "/order/x"));
  caller->Reset();
  const auto other = node.Connect();
  other->Send(Node::Get("2", "/order/x") + Node::Get("3", "/order/x"));
  other->Close();
  node.clock.ahead = kStandstill;
  node.Ask(node.Connect(), "4");
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 2; });
  BOOST_TEST(node.backend.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_caller_that_left_while_its_connection_waited_is_not_served_by_a_loop_in_time) {
  WarmNode node;
  const auto caller = node.Connect();
  caller->Send(Node::Get("1", "/order/x"));
  caller->Close();
  node.Ask(node.Connect(), "2");
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 2; });
  BOOST_TEST(node.backend.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(connections_that_wait_are_accepted_together) {
  constexpr size_t kWaiting = 40;
  // Far fewer than one for each connection.
  constexpr int kMostTurns = 10;
  Node node;
  std::vector<TestSocketPtr> callers;
  callers.reserve(kWaiting);
  for (size_t i = 0; i < kWaiting; ++i) {
    callers.push_back(node.Connect());
  }
  int turns = 0;
  while (turns < kMostTurns && node.data_path.caller_connection_count() < kWaiting) {
    node.loop.run_one();
    ++turns;
  }
  BOOST_TEST(node.data_path.caller_connection_count() == kWaiting);
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_while_a_connection_came_up_is_not_sent) {
  Node node;
  const auto caller = node.Connect();
  caller->Send(Node::Get("1"));
  node.WaitUntil([&] { return node.data_path.requests_in_flight() == 1; });
  caller->Close();
  node.clock.ahead = absl::Milliseconds(120);
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 0; });
  node.WaitUntil(
      [&] { return !node.backend.connections.empty() && node.backend.connections.at(0)->ended; });
  BOOST_TEST(node.backend.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_pipelined_request_whose_caller_left_meanwhile_is_not_sent) {
  WarmNode node;
  node.backend.on_request = [](TestSocket&, const std::string&) {};
  const auto caller = node.Connect();
  caller->Send(Node::Get("1") + Node::Get("2"));
  node.WaitUntil([&] { return node.backend.requests.size() == 1; });
  node.backend.connections.at(0)->Send(AnswerTo(node.backend.requests.at(0), "done"));
  caller->Close();
  node.clock.ahead = kStandstill;
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 1; });
  node.WaitUntil([&] { return node.data_path.requests_in_flight() == 0; });
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send(AnswerTo(request, "done"));
  };
  node.Ask(node.Connect(), "3");
  BOOST_TEST(node.backend.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_waits_is_served_however_late_the_loop_is) {
  WarmNode node;
  const auto caller = node.Connect();
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 2; });
  caller->Send(Node::Get("1") + Node::Get("2"));
  node.clock.ahead = kStandstill;
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "done");
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "done");
}

BOOST_AUTO_TEST_CASE(a_deadline_counts_from_when_the_request_may_have_come) {
  WarmNode node;
  const auto caller = node.Connect();
  node.WaitUntil([&] { return node.data_path.caller_connection_count() == 2; });
  node.Ask(caller, "1");
  caller->Send(Node::Get("2", "/work/x", "T-Deadline-Ms: 3000\r\n"));
  node.clock.ahead = kStandstill;
  node.WaitForAnswer(caller);
  const int told = std::stoi(HeaderOf(node.backend.requests.back(), "T-Deadline-Ms"));
  // Of the second that the loop stood still, what was left of the timer's wait is not known to be
  // lost: at most one sweep, 20 ms here.
  BOOST_TEST(told < 2100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
