#include "rehearsal/load_generator.h"

#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "rehearsal/ports.h"

namespace ladderstream::rehearsal {
namespace {

constexpr absl::Duration kPatience = absl::Seconds(20);

// A node that gives whatever answer the test wants.
class FakeNode {
 public:
  using Answer = std::function<void(const httplib::Request&, httplib::Response&)>;

  explicit FakeNode(Answer answer) : answer_(std::move(answer)) {
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
      const absl::MutexLock lock(&mutex_);
      ++seen_[request.get_header_value("Ladderstream-Request-Id")];
      answer_(request, response);
    };
    server_.Get("/v1/services/([^/]+)/requests/([^/]+)", handler);
    server_.Post("/v1/services/([^/]+)/requests/([^/]+)", handler);
    endpoint_ = {.host = "127.0.0.1",
                 .port = static_cast<uint16_t>(server_.bind_to_any_port("127.0.0.1"))};
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    WaitUntil([this] { return server_.is_running(); }, kPatience);
  }
  ~FakeNode() {
    server_.stop();
    thread_.join();
  }

  Endpoint endpoint() const { return endpoint_; }
  std::map<std::string, int> seen() {
    const absl::MutexLock lock(&mutex_);
    return seen_;
  }

 private:
  httplib::Server server_;
  Endpoint endpoint_;
  absl::Mutex mutex_;
  std::map<std::string, int> seen_;
  Answer answer_;
  std::thread thread_;
};

void AnswerWhole(const httplib::Request& request, httplib::Response& response) {
  response.set_header("Ladderstream-Result", "0");
  response.set_header("Ladderstream-Outcome", "answered");
  const nlohmann::json body = {{"service", std::string(request.matches[1])},
                               {"request", std::string(request.matches[2])},
                               {"key", request.get_param_value("key")},
                               {"caller_id", request.get_header_value("Ladderstream-Request-Id")}};
  response.set_content(body.dump(), "application/json");
}

void Refuse(httplib::Response& response, const char* outcome, const char* code) {
  response.status = 503;
  response.set_header("Ladderstream-Result", code);
  response.set_header("Ladderstream-Outcome", outcome);
  response.set_header("Ladderstream-Retry-After-Ms", "1");
}

LoadSettings OneKind(const Endpoint& node, bool repeatable) {
  RequestKind kind;
  kind.service = "callbacks";
  kind.request = "book";
  kind.repeatable = repeatable;
  kind.key_prefix = "customer-";
  kind.deadline = absl::Seconds(2);
  LoadSettings settings;
  settings.nodes = {node};
  settings.kinds = {kind};
  settings.callers = 2;
  return settings;
}

// Runs the load until `enough` attempts were logged.
CallerLog RunUntil(const LoadSettings& settings, uint64_t enough) {
  LoadGenerator load(settings);
  uint64_t attempts = 0;
  BOOST_TEST(WaitUntil(
      [&] {
        attempts += load.TakeProgress().attempts;
        return attempts >= enough;
      },
      kPatience));
  return load.Stop();
}

BOOST_AUTO_TEST_SUITE(load_generator)

BOOST_AUTO_TEST_CASE(logs_every_answer_once) {
  FakeNode node(AnswerWhole);
  const CallerLog log = RunUntil(OneKind(node.endpoint(), false), 50);
  std::set<std::string> ids;
  for (const CallAttempt& attempt : log) {
    BOOST_TEST((attempt.outcome == Outcome::kAnswered));
    BOOST_TEST(attempt.answer_matches);
    BOOST_TEST((attempt.Latency() > absl::ZeroDuration()));
    ids.insert(AttemptId(attempt));
  }
  BOOST_TEST(ids.size() == log.size());
  BOOST_TEST(ids.size() == node.seen().size());
}

BOOST_AUTO_TEST_CASE(comes_back_under_a_new_attempt_when_told_that_it_did_not_run) {
  FakeNode node([](const httplib::Request& request, httplib::Response& response) {
    if (request.get_header_value("Ladderstream-Request-Id").ends_with(".1")) {
      Refuse(response, "did-not-run", "1001");
    } else {
      AnswerWhole(request, response);
    }
  });
  const CallerLog log = RunUntil(OneKind(node.endpoint(), false), 20);
  BOOST_REQUIRE(log.size() >= 20);
  for (const CallAttempt& attempt : log) {
    const bool first = attempt.attempt == 1;
    BOOST_TEST((attempt.outcome == (first ? Outcome::kDidNotRun : Outcome::kAnswered)));
    BOOST_TEST(attempt.code == (first ? 1001 : 0));
  }
}

BOOST_AUTO_TEST_CASE(never_repeats_a_booking_of_unknown_outcome) {
  FakeNode node([](const httplib::Request&, httplib::Response& response) {
    Refuse(response, "unknown", "2001");
  });
  for (const CallAttempt& attempt : RunUntil(OneKind(node.endpoint(), false), 20)) {
    BOOST_TEST((attempt.outcome == Outcome::kUnknown));
    BOOST_TEST(attempt.attempt == 1);
  }
  const CallerLog reads = RunUntil(OneKind(node.endpoint(), true), 20);
  BOOST_TEST(std::any_of(reads.begin(), reads.end(),
                         [](const CallAttempt& attempt) { return attempt.attempt > 1; }));
}

BOOST_AUTO_TEST_CASE(sees_answers_that_belong_to_another_request) {
  FakeNode node([](const httplib::Request&, httplib::Response& response) {
    response.set_header("Ladderstream-Outcome", "answered");
    response.set_content(R"({"service":"callbacks","request":"book","key":"x","caller_id":"y"})",
                         "application/json");
  });
  for (const CallAttempt& attempt : RunUntil(OneKind(node.endpoint(), false), 5)) {
    BOOST_TEST(!attempt.answer_matches);
  }
}

BOOST_AUTO_TEST_CASE(goes_on_to_the_next_node_when_one_refuses_connections) {
  FakeNode node(AnswerWhole);
  LoadSettings settings = OneKind(FreeEndpoint(), false);
  settings.nodes.push_back(node.endpoint());
  const CallerLog log = RunUntil(settings, 10);
  BOOST_TEST(std::any_of(log.begin(), log.end(), [](const CallAttempt& attempt) {
    return attempt.outcome == Outcome::kAnswered;
  }));
  for (const CallAttempt& attempt : log) {
    BOOST_TEST((attempt.outcome != Outcome::kUnknown));
  }
}

BOOST_AUTO_TEST_CASE(paces_an_open_loop) {
  FakeNode node(AnswerWhole);
  LoadSettings settings = OneKind(node.endpoint(), true);
  constexpr double kRate = 200;
  constexpr uint64_t kCalls = 100;
  settings.rate = kRate;
  const CallerLog log = RunUntil(settings, kCalls);
  absl::Time last = absl::InfinitePast();
  absl::Time first = absl::InfiniteFuture();
  for (const CallAttempt& attempt : log) {
    last = std::max(last, attempt.due);
    first = std::min(first, attempt.due);
  }
  // 100 exponential intervals of 5 ms come to 500 ms give or take 50.
  BOOST_TEST((last - first > absl::Milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(probes_named_keys) {
  FakeNode node(AnswerWhole);
  LoadSettings settings = OneKind(node.endpoint(), true);
  settings.callers = 0;
  settings.probe_interval = absl::Milliseconds(1);
  settings.probes = {{"scripts", "read", "scripts-1"}};
  for (const CallAttempt& attempt : RunUntil(settings, 5)) {
    BOOST_TEST(attempt.probe);
    BOOST_TEST(attempt.key == "scripts-1");
  }
}

BOOST_AUTO_TEST_CASE(draws_hot_keys_more_often_and_lets_them_change) {
  RequestKind kind;
  kind.key_prefix = "k";
  kind.key_count = 100;
  KeyPicker picker(kind);
  std::mt19937_64 random(1);
  std::map<std::string, int> counts;
  constexpr int kDraws = 10000;
  for (int i = 0; i < kDraws; ++i) {
    ++counts[picker.Pick(random, 0)];
  }
  BOOST_TEST(counts[picker.KeyAt(0, 0)] > 5 * counts[picker.KeyAt(20, 0)]);
  BOOST_TEST(picker.KeyAt(0, 0) != picker.KeyAt(0, 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::rehearsal
