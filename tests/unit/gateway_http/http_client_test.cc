#include "gateway/http/http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <optional>
#include <string>

#include "gateway/http/data_path_settings.h"
#include "support.h"

namespace ladderstream::gateway {
namespace {

struct ClientFixture {
  ClientFixture() {
    settings.connect_timeout = absl::Seconds(5);
    backend.on_request = [this](TestSocket& socket, const std::string& request) {
      if (answers) {
        socket.Send("HTTP/1.1 200 OK\r\nX-Path: " + request.substr(4, request.find(' ', 4) - 4) +
                    "\r\nContent-Length: 2\r\n\r\nok");
      }
    };
  }

  CallResult Call(const std::string& target, Duration timeout = absl::Seconds(5)) {
    std::optional<CallResult> result;
    interfaces::HttpRequest request;
    request.method = "GET";
    request.target = target;
    client.Call(backend.address(), request, {timeout},
                [&](const CallResult& got) { result = got; });
    RunUntil(loop, [&] { return result.has_value(); });
    return *result;
  }

  EventLoop loop{1};
  JumpingClock clock;
  TestBackend backend{loop};
  HttpClientSettings settings;
  HttpClient client{loop, clock, settings};
  bool answers = true;
};

BOOST_FIXTURE_TEST_SUITE(http_client, ClientFixture)

BOOST_AUTO_TEST_CASE(calls_share_a_connection_one_after_another) {
  for (const char* target : {"/a", "/b"}) {
    const CallResult result = Call(target);
    BOOST_TEST((result.outcome == CallOutcome::kAnswered));
    BOOST_TEST(result.response.status == 200);
    BOOST_TEST(result.response.Header("x-path") == target);
    BOOST_TEST(result.response.body == "ok");
  }
  BOOST_TEST(backend.connections.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_connection_with_a_late_answer_is_not_used_again) {
  answers = false;
  BOOST_TEST((Call("/lost", absl::Milliseconds(30)).outcome == CallOutcome::kNoAnswer));
  answers = true;
  // What is left of the connection may take it.
  backend.connections.at(0)->SendSome(
      "HTTP/1.1 200 OK\r\nX-Path: /lost\r\nContent-Length: 0\r\n\r\n");
  const CallResult next = Call("/next");
  BOOST_TEST(next.response.Header("X-Path") == "/next");
  BOOST_TEST(backend.connections.size() == 2U);
}

// Guards against calls that are lost one after the other on connections that have all gone silent.
BOOST_AUTO_TEST_CASE(a_late_answer_closes_the_idle_connections_to_that_server) {
  std::vector<CallResult> results;
  interfaces::HttpRequest request;
  request.method = "GET";
  request.target = "/";
  for (int i = 0; i < 3; ++i) {
    client.Call(backend.address(), request, {absl::Seconds(5)},
                [&](const CallResult& got) { results.push_back(got); });
  }
  RunUntil(loop, [&] { return results.size() == 3; });
  answers = false;
  BOOST_TEST((Call("/lost", absl::Milliseconds(30)).outcome == CallOutcome::kNoAnswer));
  answers = true;
  BOOST_TEST((Call("/next").outcome == CallOutcome::kAnswered));
  BOOST_TEST(backend.connections.size() == 4U);
}

// Guards against calls that are given up while their link is cut, and arrive once it has healed.
BOOST_AUTO_TEST_CASE(a_call_that_is_given_up_resets_its_connection) {
  answers = false;
  BOOST_TEST((Call("/lost", absl::Milliseconds(30)).outcome == CallOutcome::kNoAnswer));
  RunUntil(loop, [&] { return backend.connections.at(0)->ended; });
  BOOST_TEST(backend.connections.at(0)->was_reset);
  const HttpCallId call = client.Call(backend.address(), {"GET", "/left", {}, ""},
                                      {absl::Seconds(5)}, [](const CallResult&) {});
  RunUntil(loop, [&] { return backend.requests.size() == 2; });
  client.Cancel(call);
  RunUntil(loop, [&] { return backend.connections.at(1)->ended; });
  BOOST_TEST(backend.connections.at(1)->was_reset);
}

// Guards against a surplus copy of another order's answer that passes for the answer to this one.
BOOST_AUTO_TEST_CASE(a_call_with_a_connection_of_its_own_shares_it_with_none) {
  Call("/before");
  std::optional<CallResult> result;
  CallTiming timing{absl::Seconds(5)};
  timing.own_connection = true;
  client.Call(backend.address(), {"GET", "/own", {}, ""}, timing,
              [&](const CallResult& got) { result = got; });
  RunUntil(loop, [&] { return result.has_value(); });
  BOOST_TEST(result->response.Header("X-Path") == "/own");
  BOOST_TEST(backend.connections.size() == 2U);
  RunUntil(loop, [&] { return backend.connections.at(1)->ended; });
  BOOST_TEST(Call("/after").response.Header("X-Path") == "/after");
  BOOST_TEST(backend.connections.size() == 2U);
}

struct NamedCallFixture : ClientFixture {
  NamedCallFixture() {
    backend.on_request = [this](TestSocket& socket, const std::string& request) {
      socket.Send(before + AnswerNaming(HeaderOf(request, "Call-Id")));
    };
  }

  static std::string AnswerNaming(const std::string& name) {
    return "HTTP/1.1 200 OK\r\ncall-id: " + name + "\r\nContent-Length: 2\r\n\r\nok";
  }

  CallResult CallNamed(const std::string& name) {
    std::optional<CallResult> result;
    interfaces::HttpRequest request = {"POST", "/order", {{"Call-Id", name}}, ""};
    request.repeated_header = "Call-Id";
    client.Call(backend.address(), request, {absl::Seconds(5)},
                [&](const CallResult& got) { result = got; });
    RunUntil(loop, [&] { return result.has_value(); });
    return *result;
  }

  /// Sent before each answer.
  std::string before;
};

BOOST_FIXTURE_TEST_SUITE(named_calls, NamedCallFixture)

// Guards against the late copy of a grant's answer that passes for the answer to the next grant.
BOOST_AUTO_TEST_CASE(the_late_answer_to_another_call_is_passed_over) {
  CallNamed("one");
  before = AnswerNaming("one");
  const CallResult result = CallNamed("two");
  BOOST_TEST((result.outcome == CallOutcome::kAnswered));
  BOOST_TEST(result.response.Header("Call-Id") == "two");
  BOOST_TEST(backend.connections.size() == 1U);
  before.clear();
  CallNamed("three");
  BOOST_TEST(backend.connections.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_second_answer_to_another_call_ends_the_call) {
  CallNamed("one");
  before = AnswerNaming("one") + AnswerNaming("one");
  BOOST_TEST((CallNamed("two").outcome == CallOutcome::kNoAnswer));
}

// Guards against the late copy of another instance's 421 that passes for the answer to the next
// order at the same address: a back end that runs seemed to have ended.
BOOST_AUTO_TEST_CASE(an_error_that_names_no_call_is_the_last_answer_of_its_connection) {
  std::string status = "421 Misdirected Request";
  backend.on_request = [&](TestSocket& socket, const std::string& /*request*/) {
    socket.Send("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
  };
  BOOST_TEST(CallNamed("one").response.status == 421);
  status = "200 OK";
  CallNamed("two");
  BOOST_TEST(backend.connections.size() == 2U);
  CallNamed("three");
  BOOST_TEST(backend.connections.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_names_no_call_is_taken) {
  backend.on_request = [](TestSocket& socket, const std::string& /*request*/) {
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  };
  BOOST_TEST((CallNamed("one").outcome == CallOutcome::kAnswered));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a reset in the place of the orderly end of a connection whose calls were answered.
BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_in_order) {
  Call("/a");
  CallTiming timing{absl::Seconds(5)};
  timing.own_connection = true;
  bool answered = false;
  client.Call(backend.address(), {"GET", "/own", {}, ""}, timing,
              [&](const CallResult&) { answered = true; });
  RunUntil(loop, [&] { return answered && backend.connections.at(1)->ended; });
  BOOST_TEST(!backend.connections.at(1)->was_reset);
  // Past the time for which the connection may stay idle.
  clock.ahead = absl::Minutes(1);
  Call("/b");
  RunUntil(loop, [&] { return backend.connections.at(0)->ended; });
  BOOST_TEST(!backend.connections.at(0)->was_reset);
}

// Without it, a watch of the store on a connection that carries nothing any more is waited for as
// long as the store may hold it.
BOOST_AUTO_TEST_CASE(an_idle_connection_asks_whether_the_other_side_is_there) {
  EventLoop loop;
  Socket socket(loop);
  socket.open(Tcp::v4());
  ErrorCode error;
  BoundSilence(socket, absl::Seconds(2), error);
  BOOST_TEST(!error);
  boost::asio::socket_base::keep_alive keeps_alive;
  socket.get_option(keeps_alive);
  BOOST_TEST(keeps_alive.value());
  const auto value_of = [&socket](int option) {
    int value = 0;
    socklen_t size = sizeof(value);
    BOOST_TEST(getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size) == 0);
    return value;
  };
  const int seconds = value_of(TCP_KEEPIDLE) + value_of(TCP_KEEPINTVL) * value_of(TCP_KEEPCNT);
  BOOST_TEST(seconds <= 3);
  BOOST_TEST(value_of(TCP_USER_TIMEOUT) == 2000);
}

// A user timeout decides when keep-alive probes give up, whatever their count.
BOOST_AUTO_TEST_CASE(one_lost_probe_ends_no_idle_connection) {
  Socket socket(loop.get_executor());
  socket.open(Tcp::v4());
  ErrorCode error;
  const Duration timeout =
      std::min(HttpClientSettings().user_timeout, BackendPoolSettings().user_timeout);
  BoundSilence(socket, timeout, error);
  const auto seconds_of = [&socket](int option) {
    int value = 0;
    socklen_t size = sizeof(value);
    BOOST_TEST(getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size) == 0);
    return absl::Seconds(value);
  };
  BOOST_TEST((timeout > seconds_of(TCP_KEEPIDLE) + seconds_of(TCP_KEEPINTVL)));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_told_from_a_lost_answer) {
  backend.on_request = [](TestSocket& socket, const std::string&) { socket.Close(); };
  BOOST_TEST((Call("/closed").outcome == CallOutcome::kNoAnswer));
  const Endpoint gone = TestBackend(loop).address();
  std::optional<CallResult> result;
  interfaces::HttpRequest request;
  request.method = "GET";
  request.target = "/";
  client.Call(gone, request, {absl::Seconds(5)}, [&](const CallResult& got) { result = got; });
  BOOST_TEST(!result.has_value());
  RunUntil(loop, [&] { return result.has_value(); });
  BOOST_TEST((result->outcome == CallOutcome::kRefused));
}

// A machine that is suspended between a decision and the first byte, or while the connection comes
// up, would send a grant of a lease that is over. Found in reading.
BOOST_AUTO_TEST_CASE(what_has_run_out_before_it_could_leave_is_not_sent) {
  const auto call_across_a_jump = [this] {
    std::optional<CallResult> result;
    interfaces::HttpRequest request;
    request.method = "GET";
    request.target = "/late";
    const Time send_by = clock.Now() + absl::Seconds(1);
    client.Call(backend.address(), request, {absl::Seconds(5), send_by},
                [&](const CallResult& got) { result = got; });
    clock.ahead += absl::Seconds(5);
    RunUntil(loop, [&] { return result.has_value(); });
    return result->outcome;
  };
  BOOST_TEST((call_across_a_jump() == CallOutcome::kNotConnected));
  BOOST_TEST(backend.requests.empty());
  // Also when a connection is at hand.
  BOOST_TEST((Call("/first").outcome == CallOutcome::kAnswered));
  std::optional<CallResult> result;
  interfaces::HttpRequest request;
  request.method = "GET";
  request.target = "/late";
  client.Call(backend.address(), request, {absl::Seconds(5), clock.Now()},
              [&](const CallResult& got) { result = got; });
  BOOST_TEST(!result.has_value());
  RunUntil(loop, [&] { return result.has_value(); });
  BOOST_TEST((result->outcome == CallOutcome::kNotConnected));
  BOOST_TEST(backend.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_cut_short_is_no_answer) {
  backend.on_request = [](TestSocket& socket, const std::string&) {
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    socket.Close();
  };
  BOOST_TEST((Call("/cut").outcome == CallOutcome::kNoAnswer));
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_calls_nobody_back) {
  answers = false;
  bool called = false;
  interfaces::HttpRequest request;
  request.method = "GET";
  request.target = "/";
  const HttpCallId call = client.Call(backend.address(), request, {absl::Seconds(5)},
                                      [&](const CallResult&) { called = true; });
  RunUntil(loop, [&] { return backend.requests.size() == 1; });
  client.Cancel(call);
  RunUntil(loop, [&] { return backend.connections.at(0)->ended; });
  BOOST_TEST(!called);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
