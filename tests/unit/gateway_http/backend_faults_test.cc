// What a faulty back end does must not reach a caller as an answer.
#include <string>

#include "gateway/http/request_identity.h"
#include "support.h"

namespace ladderstream::gateway {
namespace {

bool IsLost(const std::string& answer) { return answer.starts_with("HTTP/1.1 502 "); }

/// The answer that a caller gets on a route that may not be repeated, when the back end does this.
std::string AnswerWhen(const TestBackend::Script& script) {
  Node node;
  node.backend.on_request = script;
  return node.Ask(node.Connect(), "1", "/order/x");
}

BOOST_AUTO_TEST_SUITE(backend_faults)

BOOST_AUTO_TEST_CASE(an_answer_cut_short_is_no_answer) {
  BOOST_TEST(IsLost(AnswerWhen([](TestSocket& socket, const std::string& request) {
    const std::string answer = AnswerTo(request, "abcdef");
    socket.Send(answer.substr(0, answer.size() - 1));
    socket.Close();
  })));
  BOOST_TEST(IsLost(AnswerWhen([](TestSocket& socket, const std::string& request) {
    socket.Send(
        "HTTP/1.1 200 OK\r\nT-Stamp: s\r\nT-Request-Id: " + HeaderOf(request, "T-Request-Id") +
        "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    socket.Close();
  })));
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_whole_only_when_closed_in_order) {
  Node node;
  TestSocket* peer = nullptr;
  node.backend.on_request = [&](TestSocket& socket, const std::string& request) {
    socket.Send("HTTP/1.1 200 OK\r\nT-Stamp: s\r\nT-Request-Id: " +
                HeaderOf(request, "T-Request-Id") + "\r\n\r\nabc");
    peer = &socket;
  };
  const auto caller = node.Connect();
  caller->Send(Node::Get("1", "/order/x"));
  node.WaitUntil([&] { return peer != nullptr; });
  peer->Reset();
  BOOST_TEST(IsLost(node.WaitForAnswer(caller)));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_sound_answer_are_refused) {
  const auto answers_with = [](const std::string& status, const std::string& fields) {
    return AnswerWhen([status, fields](TestSocket& socket, const std::string&) {
      socket.Send("HTTP/1.1 " + status + "\r\n" + fields + "\r\nabc");
    });
  };
  const std::string id = "T-Request-Id: 1\r\n";
  const std::string sound = id + "T-Stamp: s\r\nContent-Length: 3\r\n";
  BOOST_TEST(!IsLost(answers_with("200 OK", sound)));
  BOOST_TEST(IsLost(answers_with("200 OK", "T-Stamp: s\r\nContent-Length: 3\r\n")));
  BOOST_TEST(IsLost(answers_with("200 OK", sound + id)));
  BOOST_TEST(IsLost(answers_with("200 OK", id + "Content-Length: 3\r\n")));
  BOOST_TEST(IsLost(answers_with("200 OK", sound + "Content-Encoding: gzip\r\n")));
  BOOST_TEST(IsLost(answers_with("200 OK", sound + "Content-Length: 3\r\n")));
  BOOST_TEST(IsLost(answers_with("200 OK", sound + "Transfer-Encoding: chunked\r\n")));
  BOOST_TEST(IsLost(answers_with("200 OK", sound + "X: a\r\n b\r\n")));
  BOOST_TEST(IsLost(answers_with("101 Switching", sound)));
  BOOST_TEST(IsLost(answers_with("999 Odd", sound)));
  BOOST_TEST(IsLost(AnswerWhen([](TestSocket& socket, const std::string&) {
    socket.Send(std::string(200, '\x07') + "\r\n\r\n");
  })));
}

BOOST_AUTO_TEST_CASE(surplus_bytes_retire_the_connection) {
  Node node;
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send(AnswerTo(request, "right") + AnswerTo(request, "surplus"));
  };
  const auto caller = node.Connect();
  for (const char* id : {"1", "2", "3"}) {
    BOOST_TEST(BodyOf(node.Ask(caller, id)) == "right");
  }
  BOOST_TEST(node.backend.connections.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_late_second_answer_reaches_no_other_caller) {
  Node node;
  std::string earlier;
  node.backend.on_request = [&](TestSocket& socket, const std::string& request) {
    // On a reused connection the second answer to the request before arrives first.
    if (!earlier.empty() && node.backend.connections.size() == 1) {
      socket.Send(AnswerTo(earlier, "surplus"));
    }
    earlier = request;
    socket.Send(AnswerTo(request, "right"));
  };
  const auto caller = node.Connect();
  for (const char* id : {"1", "2", "3"}) {
    const std::string answer = node.Ask(caller, id, "/order/x");
    BOOST_TEST(HeaderOf(answer, "T-Request-Id") == id);
    BOOST_TEST(BodyOf(answer) == "right");
  }
  // The connection that carried a late answer is not used again.
  BOOST_TEST(node.backend.connections.size() == 2U);
  BOOST_TEST(node.backend.requests.size() == 3U);
}

// Guards against the late copy of a refusal that passes for the refusal of the next send.
BOOST_AUTO_TEST_CASE(a_refused_request_is_not_sent_again_on_its_connection) {
  Node node;
  const auto refuse = [](TestSocket& socket, const std::string& request) {
    socket.Send("HTTP/1.1 503 Full\r\nT-Request-Id: " + HeaderOf(request, "T-Request-Id") +
                "\r\nT-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  };
  // Enough for the retry budget.
  const auto caller = node.Connect();
  for (int i = 0; i < 40; ++i) {
    node.Ask(caller, "before-" + std::to_string(i), "/order/x");
  }
  const size_t before = node.backend.requests.size();
  TestSocket* refused_on = nullptr;
  node.backend.on_request = [&](TestSocket& socket, const std::string& request) {
    if (refused_on == nullptr || refused_on == &socket) {
      // The second time, the copy of the first refusal comes in the place of the answer.
      refuse(socket, request);
      refused_on = &socket;
      return;
    }
    socket.Send(AnswerTo(request, "right"));
  };
  const std::string answer = node.Ask(caller, "1", "/order/x");
  BOOST_TEST(node.backend.requests.size() == before + 2);
  BOOST_TEST(BodyOf(answer) == "right");
}

BOOST_AUTO_TEST_CASE(an_attempt_that_is_given_up_resets_its_connection) {
  Node node;
  node.backend.on_request = [](TestSocket&, const std::string&) {};
  const auto caller = node.Connect();
  caller->Send(Node::Get("1"));
  node.WaitUntil([&] { return node.backend.requests.size() == 1; });
  caller->Close();
  node.WaitUntil([&] { return node.backend.connections.at(0)->ended; });
  BOOST_TEST(node.backend.connections.at(0)->was_reset);
}

/// Notes the attempts that are carried out, and whether each was still expected.
struct CarriedAttempts : DataPathObserver {
  void OnAttemptDecided(std::string_view /*request_id*/,
                        const forwarding::SendDecision& send) override {
    unexpected += dispatcher->IsExpected(send.attempt) ? 0 : 1;
  }

  forwarding::Dispatcher* dispatcher = nullptr;
  int unexpected = 0;
};

// Guards against an attempt that is cancelled after it was decided, and sent all the same.
BOOST_AUTO_TEST_CASE(an_attempt_cancelled_before_it_is_carried_out_is_not_sent) {
  CarriedAttempts carried;
  Node node(DataPathSettings{}, &carried);
  carried.dispatcher = &node.dispatcher;
  TestBackend other(node.loop);
  catalog::Backend second;
  second.id = "backend-2";
  second.service = "service";
  second.address = other.address();
  second.slots = 4;
  second.zone = "a";
  catalog::Backend third = second;
  third.id = "backend-3";
  node.data_path.ChangeBackends({{second, third}, {}}, {});
  node.dispatcher.SetRelayPeers({{/*incarnation=*/11, "a"}});
  // A second attempt is due after half of this, long after this test has ended.
  node.target_latency = absl::Seconds(8);
  node.Configure(catalog::Limits());
  const auto caller = node.Connect();
  // Enough answers to know how long one takes.
  for (int i = 0; i < 40; ++i) {
    node.Ask(caller, std::to_string(i));
  }
  const auto say_nothing = [](TestSocket&, const std::string&) {};
  node.backend.on_request = say_nothing;
  other.on_request = say_nothing;
  const size_t before = node.backend.requests.size() + other.requests.size();
  caller->Send(Node::Get("slow"));
  node.WaitUntil([&] { return node.backend.requests.size() + other.requests.size() > before; });
  const Time later = node.clock.Now() + absl::Milliseconds(4500);
  // Decides a second attempt.
  node.dispatcher.OnTick(later);
  // Cancels it, as neither back end is reached.
  for (const char* backend : {"backend-2", "backend-3"}) {
    node.dispatcher.OnPathEvent(backend, forwarding::PathEvent::kConnectFailed, later);
  }
  node.data_path.Pump();
  BOOST_TEST(carried.unexpected == 0);
}

BOOST_AUTO_TEST_CASE(bytes_on_an_idle_connection_retire_it_at_once) {
  Node node;
  const auto caller = node.Connect();
  node.Ask(caller, "1");
  BOOST_TEST(node.data_path.backend_connection_count() == 1U);
  node.backend.connections.at(0)->Send("HTTP/1.1 200 OK\r\n");
  const Time begin = node.clock.Now();
  node.WaitUntil([&] { return node.data_path.backend_connection_count() == 0; });
  // Long before its age would end it.
  BOOST_TEST((node.clock.Now() - begin < absl::Seconds(2)));
  BOOST_TEST(BodyOf(node.Ask(caller, "2")) == "done");
}

BOOST_AUTO_TEST_CASE(a_back_end_gets_no_more_connections_than_its_share) {
  DataPathSettings settings;
  settings.backends.min_connections = 1;
  Node node(settings);
  node.Configure(catalog::Limits(), /*max_connections=*/10);
  node.data_path.SetNodeCount(4);
  node.backend.on_request = [](TestSocket&, const std::string&) {};
  const auto first = node.Connect();
  const auto second = node.Connect();
  const auto third = node.Connect();
  first->Send(Node::Get("1"));
  second->Send(Node::Get("2"));
  node.WaitUntil([&] { return node.backend.requests.size() == 2; });
  // 10 x 0.8 / 4: the third would be one too many, and is told that it has not run.
  BOOST_TEST(node.Ask(third, "3").starts_with("HTTP/1.1 503 "));
  BOOST_TEST(node.backend.connections.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_connection_that_comes_up_after_its_back_end_left_carries_no_request) {
  Node node;
  const TestSocketPtr caller = node.Connect();
  caller->Send(Node::Get("1"));
  node.WaitUntil([&] { return node.data_path.backend_connection_count() == 1; });
  node.data_path.ChangeBackends({{}, {"backend-1"}}, {});
  BOOST_TEST(node.WaitForAnswer(caller).starts_with("HTTP/1.1 503 "));
  BOOST_TEST(node.backend.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_connection_closed_while_idle_costs_no_request) {
  Node node;
  const auto caller = node.Connect();
  node.Ask(caller, "1", "/order/x");
  // The caller's next request and the back end's close wait for the same turn of the loop.
  caller->Send(Node::Get("2", "/order/x"));
  node.backend.connections.at(0)->Close();
  BOOST_TEST(BodyOf(node.WaitForAnswer(caller)) == "done");
  BOOST_TEST(node.backend.connections.size() == 2U);
}

// Guards against requests that wait out their time one after the other on connections that have all
// gone silent.
BOOST_AUTO_TEST_CASE(only_the_first_request_waits_on_connections_gone_silent) {
  Node node;
  std::vector<TestSocketPtr> callers;
  for (const char* id : {"1", "2", "3"}) {
    callers.push_back(node.Connect());
    callers.back()->Send(Node::Get(id));
  }
  // All three are with the back end at once, on a connection each.
  const auto answer = node.backend.on_request;
  std::vector<std::pair<TestSocket*, std::string>> held;
  node.backend.on_request = [&held](TestSocket& socket, const std::string& request) {
    held.emplace_back(&socket, request);
  };
  node.WaitUntil([&held] { return held.size() == 3; });
  for (const auto& [socket, request] : held) {
    answer(*socket, request);
  }
  for (const TestSocketPtr& caller : callers) {
    node.WaitForAnswer(caller);
  }
  BOOST_TEST(node.data_path.backend_connection_count() == 3U);
  node.backend.on_request = [&](TestSocket& socket, const std::string& request) {
    const bool silent = std::any_of(held.begin(), held.end(),
                                    [&socket](const auto& one) { return one.first == &socket; });
    if (!silent) {
      answer(socket, request);
    }
  };
  const std::string deadline = "T-Deadline-Ms: 200\r\n";
  BOOST_TEST(node.Ask(callers[0], "4", "/order/x", deadline).starts_with("HTTP/1.1 504 "));
  BOOST_TEST(BodyOf(node.Ask(callers[1], "5", "/order/x", deadline)) == "done");
  BOOST_TEST(node.backend.connections.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_lost_request_runs_again_only_where_it_may) {
  Node node;
  int resets = 0;
  node.backend.on_request = [&](TestSocket& socket, const std::string&) {
    ++resets;
    socket.Reset();
  };
  const auto caller = node.Connect();
  BOOST_TEST(IsLost(node.Ask(caller, "1", "/order/x")));
  BOOST_TEST(resets == 1);
}

BOOST_AUTO_TEST_CASE(an_answer_before_the_whole_request_is_read_ends_the_connection) {
  Node node;
  catalog::Limits limits;
  limits.max_body_bytes = 64U << 20U;
  node.Configure(limits);
  // Answers as soon as a head is there, and reads no further.
  TestSocketPtr backend_end;
  const auto caller = node.Connect();
  const size_t size = 24U << 20U;
  caller->Send("POST /order/x HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\nContent-Length: " +
               std::to_string(size) + "\r\n\r\n");
  const std::string block(65536, 'b');
  size_t sent = 0;
  node.WaitUntil([&] {
    if (sent < size) {
      sent += caller->SendSome(block.substr(0, std::min(block.size(), size - sent)));
    }
    if (!node.backend.connections.empty() && backend_end == nullptr &&
        node.backend.connections[0]->received.find("\r\n\r\n") != std::string::npos) {
      backend_end = node.backend.connections[0];
      backend_end->StopReading();
      backend_end->Send(AnswerTo("\r\nT-Request-Id: 1\r\n", "early"));
    }
    return caller->received.ends_with("early");
  });
  BOOST_TEST(node.data_path.backend_connection_count() == 0U);
}

BOOST_AUTO_TEST_CASE(connection_close_and_told_idle_times_are_heeded) {
  Node node;
  std::string fields = "Connection: close\r\n";
  node.backend.on_request = [&](TestSocket& socket, const std::string& request) {
    socket.Send(AnswerTo(request, "done", fields));
  };
  const auto caller = node.Connect();
  node.Ask(caller, "1");
  BOOST_TEST(node.data_path.backend_connection_count() == 0U);
  fields = "Keep-Alive: timeout=1\r\n";
  node.Ask(caller, "2");
  BOOST_TEST(node.data_path.backend_connection_count() == 1U);
  const Time begin = node.clock.Now();
  node.WaitUntil([&] { return node.data_path.backend_connection_count() == 0; });
  BOOST_TEST((node.clock.Now() - begin < absl::Seconds(1)));
}

// What quarantine_test shows of the decisions, over real sockets: a back end that goes down under a
// request and stays down is found to have crashed, and one that only loses the answer is not.
BOOST_AUTO_TEST_CASE(a_crash_is_told_from_a_lost_answer) {
  Node crashing;
  crashing.backend.on_request = [&](TestSocket& socket, const std::string&) {
    crashing.backend.StopListening();
    socket.Reset();
  };
  bool told = false;
  crashing.data_path.SetSuspectNews([&told] { told = true; });
  BOOST_TEST(IsLost(crashing.Ask(crashing.Connect(), "1", "/order/x")));
  crashing.WaitUntil([&told] { return told; });
  BOOST_TEST(crashing.dispatcher.suspects().Shared(crashing.clock.Now()).size() == 1U);

  Node losing;
  losing.backend.on_request = [](TestSocket& socket, const std::string&) { socket.Reset(); };
  BOOST_TEST(IsLost(losing.Ask(losing.Connect(), "1", "/order/x")));
  losing.WaitUntil(
      [&losing] { return losing.dispatcher.suspects().NextProbe() == absl::InfiniteFuture(); });
  BOOST_TEST(losing.dispatcher.suspects().empty());
}

BOOST_AUTO_TEST_CASE(a_request_is_known_again_by_what_it_asks) {
  const auto make = [] {
    CallerRequest request;
    request.head =
        "GET /work/x?b=1&a=%7e HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\nCookie: 5\r\n"
        "Accept: */*\r\ntraceparent: 00-1\r\n";
    request.host = "a.example";
    request.target = "/work/x?b=1&a=%7e";
    request.body = "abc";
    return request;
  };
  const auto identity = [](const CallerRequest& request) {
    return IdentityOf(request, "T-Request-Id");
  };
  const quarantine::RequestIdentity first = identity(make());
  CallerRequest again = make();
  // Another try, spelled in another way.
  again.head =
      "GET /work/x?a=~&b=1 HTTP/1.1\r\naccept: */*\r\nt-request-id: 2\r\ntraceparent: 00-2\r\n"
      "Host: A.Example\r\ncookie: 5\r\n";
  again.request_id = "2";
  again.host = "A.Example.";
  again.target = "/work/x?a=~&b=1";
  BOOST_TEST((identity(again) == first));
  // A field that back ends are sent makes another variant of the same content.
  CallerRequest variant = make();
  variant.head += "X-Mode: 2\r\n";
  BOOST_TEST((identity(variant).content == first.content));
  BOOST_TEST((identity(variant).variant != first.variant));
  const auto differs = [&](const std::function<void(CallerRequest&)>& change) {
    CallerRequest other = make();
    change(other);
    return identity(other).content != first.content && identity(other).variant != first.variant;
  };
  BOOST_TEST(differs([](CallerRequest& other) { other.head.replace(0, 3, "PUT"); }));
  BOOST_TEST(differs([](CallerRequest& other) { other.host = "b.example"; }));
  BOOST_TEST(differs([](CallerRequest& other) { other.target = "/work/y"; }));
  BOOST_TEST(differs([](CallerRequest& other) { other.target = "/work/x?b=1&a=%2f"; }));
  BOOST_TEST(differs([](CallerRequest& other) { other.key = 7; }));
  BOOST_TEST(differs([](CallerRequest& other) { other.body = "abd"; }));
  // No two lists of parts run together to the same.
  BOOST_TEST(differs([](CallerRequest& other) {
    other.host = "a.example/";
    other.target = "work/x";
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
