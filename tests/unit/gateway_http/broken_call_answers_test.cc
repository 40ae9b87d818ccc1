// Answers to the node's own calls (orders and calls of the store) that are broken in one place, or
// come before the call was written.
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/http/http_client.h"
#include "malformed_heads.h"
#include "support.h"

namespace ladderstream::gateway {
namespace {

constexpr size_t kMebibyte = size_t{1} << 20U;
constexpr int kPlays = 4;

const std::string kLength = "Content-Length: 3\r\n";
const std::string kChunks = "Transfer-Encoding: chunked\r\n";

std::string Head(const std::string& status, const std::string& fields,
                 const std::string& version = "1.1") {
  return "HTTP/" + version + " " + status + " Text\r\n" + fields + "\r\n";
}

const std::string kSound = Head("200", kLength) + "abc";

struct Fixture {
  Fixture() {
    settings.connect_timeout = absl::Seconds(5);
    backend.on_request = [this](TestSocket& socket, const std::string& /*request*/) {
      socket.Send(answer);
    };
  }

  CallResult Call(const std::string& body = "", Duration timeout = absl::Seconds(5)) {
    std::optional<CallResult> result;
    interfaces::HttpRequest request{"POST", "/order", {{"Call-Id", "1"}}, body};
    request.repeated_header = "Call-Id";
    client.Call(backend.address(), request, {timeout},
                [&](const CallResult& got) { result = got; });
    RunUntil(loop, [&] {
      if (while_waiting) {
        while_waiting();
      }
      return result.has_value();
    });
    return *result;
  }

  /// Requires that `bytes` are no answer, that on call is told why, and that the next call finds a
  /// connection of its own.
  void RequireBroken(const std::string& bytes) {
    const size_t connections = backend.connections.size();
    const size_t told = faults.size();
    answer = bytes;
    const CallResult result = Call();
    BOOST_TEST((result.outcome == CallOutcome::kNoAnswer), "taken: " << bytes);
    BOOST_TEST(faults.size() == told + 1, "not told: " << bytes);
    answer = kSound;
    BOOST_TEST((Call().outcome == CallOutcome::kAnswered));
    BOOST_TEST(backend.connections.size() > connections);
    // The next case begins without an idle connection.
    backend.connections.back()->Close();
  }

  EventLoop loop{1};
  JumpingClock clock;
  TestBackend backend{loop};
  HttpClientSettings settings;
  std::vector<std::string> faults;
  HttpClient client{
      loop, clock, settings,
      [this](const Endpoint& /*from*/, std::string_view fault) { faults.emplace_back(fault); }};
  std::string answer;
  /// Called at each turn of the loop while a call waits.
  std::function<void()> while_waiting;
};

BOOST_FIXTURE_TEST_SUITE(broken_call_answers, Fixture)

BOOST_AUTO_TEST_CASE(sound_answers_of_the_same_forms_are_taken) {
  for (const std::string& bytes :
       {kSound, Head("599", kLength) + "abc", Head("103", "X-Name: v\r\n") + kSound,
        Head("200", kChunks) + "3\r\nabc\r\n0\r\nX-Name: v\r\n\r\n"}) {
    answer = bytes;
    const CallResult result = Call();
    BOOST_TEST((result.outcome == CallOutcome::kAnswered));
    BOOST_TEST(result.response.body == "abc");
  }
  BOOST_TEST(faults.empty());
}

BOOST_AUTO_TEST_CASE(a_body_may_have_lines_that_begin_with_a_blank) {
  answer = Head("200", kChunks) + "8\r\na\r\n b\n\tc\r\n0\r\n\r\n";
  BOOST_TEST(Call().response.body == "a\r\n b\n\tc");
}

BOOST_AUTO_TEST_CASE(an_unusable_status_is_no_answer) {
  for (const std::string& status : UnusableStatuses()) {
    RequireBroken(Head(status, kLength) + "abc");
  }
}

BOOST_AUTO_TEST_CASE(framing_with_more_than_one_reading_is_no_answer) {
  RequireBroken(Head("200", kLength + kLength) + "abc");
  RequireBroken(Head("200", kLength + "Content-Length: 2\r\n") + "abc");
  RequireBroken(Head("200", kLength + kChunks) + "3\r\nabc\r\n0\r\n\r\n");
  RequireBroken(Head("200", kChunks + kChunks) + "3\r\nabc\r\n0\r\n\r\n");
  RequireBroken(Head("200", "Transfer-Encoding: gzip, chunked\r\n") + "3\r\nabc\r\n0\r\n\r\n");
  RequireBroken(Head("200", kChunks, "1.0") + "3\r\nabc\r\n0\r\n\r\n");
}

// Read as "until the connection closes", the answer would be taken at the close.
BOOST_AUTO_TEST_CASE(a_coding_that_is_not_chunked_is_no_answer) {
  backend.on_request = [this](TestSocket& socket, const std::string& /*request*/) {
    socket.Send(answer);
    if (answer != kSound) {
      socket.Close();
    }
  };
  RequireBroken(Head("200", "Transfer-Encoding: gzip\r\n") + "abc");
}

BOOST_AUTO_TEST_CASE(a_malformed_name_in_a_head_is_no_answer) {
  for (const std::string& line : LinesWithMalformedNames()) {
    RequireBroken(Head("200", kLength + line) + "abc");
    RequireBroken(Head("103", line) + kSound);
  }
  for (const std::string& line : LinesWithMalformedFraming()) {
    RequireBroken(Head("200", line) + "abc");
  }
}

BOOST_AUTO_TEST_CASE(a_malformed_name_in_trailers_is_no_answer) {
  for (const std::string& line : LinesWithMalformedNames()) {
    RequireBroken(Head("200", kChunks) + "3\r\nabc\r\n0\r\nX-Sound: v\r\n" + line + "\r\n");
  }
}

// A trailer that counted as a header would name the call that an answer belongs to.
BOOST_AUTO_TEST_CASE(a_trailer_is_no_header) {
  answer = Head("200", kChunks) + "3\r\nabc\r\n0\r\nCall-Id: another\r\nX-Name: v\r\n\r\n";
  const CallResult result = Call();
  BOOST_TEST((result.outcome == CallOutcome::kAnswered));
  BOOST_TEST(result.response.body == "abc");
  BOOST_TEST(result.response.Header("Call-Id").empty());
  BOOST_TEST(result.response.Header("X-Name").empty());
}

/// A server that answers a call as soon as its head is there. The call is longer than what the
/// buffers of both sockets hold.
struct EarlyFixture : Fixture {
  EarlyFixture() {
    while_waiting = [this] {
      if (backend.connections.empty()) {
        return;
      }
      TestSocket& server_end = *backend.connections.front();
      if (!answered && server_end.received.find("\r\n\r\n") != std::string::npos) {
        if (!reads_on) {
          server_end.StopReading();
        }
        server_end.Send(answer);
        answered = true;
      }
      if (answered && turns_to_reset.has_value() && (*turns_to_reset)-- == 0) {
        server_end.Reset();
      }
    };
  }

  const std::string upload = std::string(24 * kMebibyte, 'u');
  bool answered = false;
  /// Goes on reading the call.
  bool reads_on = false;
  /// Of the loop, between the answer and the reset; none when the connection stays.
  std::optional<int> turns_to_reset;
};

BOOST_AUTO_TEST_CASE(an_early_answer_without_a_length_is_no_answer_when_it_is_reset) {
  for (const bool reads_on : {false, true}) {
    for (const int turns : {0, 1, 2, 3, 5, 8, 20, 50}) {
      for (const char* body : {"abc", ""}) {
        EarlyFixture early;
        early.answer = Head("200", "") + body;
        early.reads_on = reads_on;
        early.turns_to_reset = turns;
        BOOST_TEST((early.Call(early.upload).outcome == CallOutcome::kNoAnswer),
                   "reset after " << turns << " turns, reads on: " << reads_on);
      }
    }
  }
}

// The rest of a call that was answered early would come in the place of the next call.
BOOST_AUTO_TEST_CASE(the_connection_of_an_early_answer_carries_no_other_call) {
  for (int play = 0; play < kPlays; ++play) {
    EarlyFixture early;
    early.answer = kSound;
    BOOST_TEST((early.Call(early.upload).outcome == CallOutcome::kAnswered));
    const CallResult next = early.Call("next");
    BOOST_TEST((next.outcome == CallOutcome::kAnswered));
    BOOST_TEST(early.backend.connections.size() == 2U);
    BOOST_TEST(BodyOf(early.backend.requests.at(0)) == "next");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
