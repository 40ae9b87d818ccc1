// Answers of back ends that are broken in one place end the attempt and the connection.
#include <string>

#include "malformed_heads.h"
#include "support.h"

namespace ladderstream::gateway {
namespace {

/// What a caller got, and what became of the connection to the back end.
struct Outcome {
  std::string answer;
  size_t open_connections = 0;
  size_t sends = 0;

  /// The caller is told that the request may have run.
  bool IsLost() const { return answer.starts_with("HTTP/1.1 502 ") && open_connections == 0; }
};

/// Asks once while the back end answers each request with `bytes`.
Outcome OutcomeOf(const std::string& bytes, const std::string& path) {
  Node node;
  node.backend.on_request = [&bytes](TestSocket& socket, const std::string& /*request*/) {
    socket.Send(bytes);
  };
  Outcome outcome;
  outcome.answer = node.Ask(node.Connect(), "1", path);
  outcome.open_connections = node.data_path.backend_connection_count();
  outcome.sends = node.backend.requests.size();
  return outcome;
}

std::string Head(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + " Text\r\nT-Request-Id: 1\r\nT-Stamp: s\r\n" + fields + "\r\n";
}

const std::string kLength = "Content-Length: 3\r\n";
const std::string kChunks = "Transfer-Encoding: chunked\r\n";

/// Requires that `bytes` are lost on both kinds of route, and sent once where they may not repeat.
void RequireLost(const std::string& bytes) {
  const Outcome once = OutcomeOf(bytes, "/order/x");
  BOOST_TEST(once.IsLost(), "route of requests that may run once: " << once.answer);
  BOOST_TEST(once.sends == 1U);
  const Outcome repeatable = OutcomeOf(bytes, "/work/x");
  BOOST_TEST(repeatable.IsLost(), "route of repeatable requests: " << repeatable.answer);
}

BOOST_AUTO_TEST_SUITE(broken_answers)

BOOST_AUTO_TEST_CASE(sound_answers_of_the_same_forms_are_passed_on) {
  for (const std::string& bytes :
       {Head("200", kLength) + "abc", Head("599", kLength) + "abc",
        "HTTP/1.1 103 Hints\r\nX-Name: v\r\n\r\n" + Head("200", kLength) + "abc",
        Head("200", kChunks) + "3\r\nabc\r\n0\r\nX-Name: v\r\n\r\n"}) {
    const Outcome outcome = OutcomeOf(bytes, "/order/x");
    BOOST_TEST(BodyOf(outcome.answer) == "abc");
    BOOST_TEST(outcome.open_connections == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_body_may_have_lines_that_begin_with_a_blank) {
  const std::string body = "a\r\n b\n\tc";
  BOOST_TEST(BodyOf(OutcomeOf(Head("200", kChunks) + "8\r\n" + body + "\r\n0\r\n\r\n", "/order/x")
                        .answer) == body);
}

BOOST_AUTO_TEST_CASE(an_answer_with_an_unusable_status_is_lost) {
  for (const std::string& status : UnusableStatuses()) {
    RequireLost(Head(status, kLength) + "abc");
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_name_in_its_head_is_lost) {
  for (const std::string& line : LinesWithMalformedNames()) {
    RequireLost(Head("200", kLength + line) + "abc");
    RequireLost(Head("200", line + kLength) + "abc");
  }
  for (const std::string& line : LinesWithMalformedFraming()) {
    RequireLost(Head("200", line) + "abc");
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_name_in_an_interim_head_is_lost) {
  for (const std::string& line : LinesWithMalformedNames()) {
    RequireLost("HTTP/1.1 103 Hints\r\nLink: x\r\n" + line + "\r\n" + Head("200", kLength) + "abc");
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_name_in_its_trailers_is_lost) {
  for (const std::string& line : LinesWithMalformedNames()) {
    RequireLost(Head("200", kChunks) + "3\r\nabc\r\n0\r\nX-Sound: v\r\n" + line + "\r\n");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
