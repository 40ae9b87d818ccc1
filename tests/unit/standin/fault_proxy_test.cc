// The fault proxy passes bytes on unchanged, and injects just the faults that are asked for.
#include "standin/fault_proxy/fault_proxy.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "standin/support/http_server.h"

namespace ladderstream::standin {
namespace {

const Endpoint kAnyEndpoint{"127.0.0.1", 0};
constexpr size_t kBodyBytes = 300'000;

struct Fixture {
  Fixture() {
    server.Get("/", [this](const httplib::Request&, httplib::Response& response) {
      ++served;
      response.set_content(std::string(kBodyBytes, 'x'), "text/plain");
    });
    server.Start(kAnyEndpoint);
    listen = proxy.AddLink({"backend-1", kAnyEndpoint, server.endpoint()});
  }

  httplib::Result Get(absl::Duration timeout = absl::Seconds(10)) const {
    httplib::Client client(listen.host, listen.port);
    client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
    return client.Get("/");
  }

  void SetFaults(const LinkFaults& faults, const std::string& from = "") {
    BOOST_REQUIRE_EQUAL(proxy.SetFaults("backend", from, faults), 1);
  }

  std::atomic<int> served = 0;
  HttpServer server;
  FaultProxy proxy;
  Endpoint listen;
};

BOOST_FIXTURE_TEST_SUITE(fault_proxy, Fixture)

BOOST_AUTO_TEST_CASE(passes_whole_answers_and_delays_both_ways) {
  LinkFaults faults;
  faults.delay = absl::Milliseconds(30);
  SetFaults(faults);
  const auto begin = std::chrono::steady_clock::now();
  const auto answer = Get();
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->body.size() == kBodyBytes);
  const auto taken = std::chrono::steady_clock::now() - begin;
  BOOST_TEST((taken >= std::chrono::milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(cuts_only_the_named_source_and_heals) {
  LinkFaults cut;
  cut.cut = true;
  SetFaults(cut, "127.0.0.9");
  BOOST_TEST(static_cast<bool>(Get()));
  SetFaults(cut);
  BOOST_TEST(!Get());
  SetFaults({});
  BOOST_TEST(static_cast<bool>(Get()));
}

BOOST_AUTO_TEST_CASE(cut_answer_reaches_the_target_once) {
  LinkFaults faults;
  faults.cut_answers = 1;
  faults.cut_after_bytes = 1000;
  SetFaults(faults);
  BOOST_TEST(!Get());
  BOOST_TEST(served == 1);
  BOOST_TEST(static_cast<bool>(Get()));
}

BOOST_AUTO_TEST_CASE(held_bytes_go_on_after_healing) {
  LinkFaults faults;
  faults.hold_backward = true;
  SetFaults(faults);
  BOOST_TEST(!Get(absl::Milliseconds(50)));
  std::thread waiting([this] {
    const auto answer = Get();
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->body.size() == kBodyBytes);
  });
  while (served < 2) {
    std::this_thread::yield();
  }
  SetFaults({});
  waiting.join();
}

BOOST_AUTO_TEST_CASE(half_open_link_never_asks_the_target) {
  LinkFaults faults;
  faults.half_open = true;
  SetFaults(faults);
  BOOST_TEST(!Get(absl::Milliseconds(50)));
  BOOST_TEST(served == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::standin
