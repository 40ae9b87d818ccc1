#include "gateway/store/store_client.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "gateway/store/call_allowance.h"

namespace ladderstream::gateway {
namespace {

using interfaces::ExchangeResult;
using interfaces::ExchangeStatus;
using store::StoreReply;
using store::StoreStatus;

const Time kStart = absl::UnixEpoch() + absl::Hours(1);

class FakeClock : public TimeSource {
 public:
  Time Now() const override { return now; }
  Time now = kStart;
};

/// Keeps the exchanges until the test ends them.
class FakeExchanger : public interfaces::HttpExchanger {
 public:
  interfaces::ExchangeId Exchange(const Endpoint& /*to*/, const interfaces::HttpRequest& request,
                                  Duration /*timeout*/, Callback callback) override {
    requests.push_back(request.method);
    open.emplace(requests.size(), std::move(callback));
    return requests.size();
  }
  void Cancel(interfaces::ExchangeId exchange) override { open.erase(exchange); }

  void End(interfaces::ExchangeId exchange, ExchangeStatus status) {
    const auto node = open.extract(exchange);
    BOOST_REQUIRE(!node.empty());
    node.mapped()({status, {}});
  }

  std::vector<std::string> requests;
  std::map<interfaces::ExchangeId, Callback> open;
};

/// Names the kind of each call as its method.
class FakeAdapter : public interfaces::PlatformAdapter {
 public:
  interfaces::HttpRequest EncodeTransaction(const store::Transaction& /*t*/) const override {
    return {"write", {}, {}, {}};
  }
  interfaces::HttpRequest EncodeRead(const store::ReadQuery& /*query*/) const override {
    return {"read", {}, {}, {}};
  }
  interfaces::HttpRequest EncodeWatch(const store::WatchQuery& /*query*/) const override {
    return {"watch", {}, {}, {}};
  }
  StoreReply DecodeStoreReply(interfaces::StoreCall /*call*/,
                              const interfaces::HttpResponse& /*response*/) const override {
    StoreReply reply;
    reply.status = StoreStatus::kDone;
    return reply;
  }

  const interfaces::HeaderNames& headers() const override { return names_; }
  bool IsUnheardHeader(std::string_view) const override { return false; }
  std::string_view ready_path() const override { return {}; }
  interfaces::Understood ParseToldLoad(std::string_view /*text*/,
                                       interfaces::ToldLoad* /*load*/) const override {
    return interfaces::Understood::kNot;
  }
  interfaces::HttpRequest EncodeGrant(const ownership::GrantAction& /*grant*/) const override {
    return {};
  }
  interfaces::HttpRequest EncodeRelease(const ownership::ReleaseAction& /*r*/) const override {
    return {};
  }
  ownership::OrderReply DecodeOrderReply(
      const interfaces::HttpResponse& /*response*/) const override {
    return {};
  }
  std::string_view configuration_table() const override { return {}; }
  std::string_view configuration_key() const override { return {}; }
  std::string_view backend_table() const override { return {}; }
  catalog::Configuration DecodeConfiguration(std::string_view /*value*/) const override {
    return {};
  }
  std::string EncodeConfiguration(const catalog::Configuration& /*configuration*/,
                                  std::string_view /*previous*/) const override {
    return {};
  }
  std::optional<std::string> EvacuatedZoneOf(std::string_view /*key*/) const override { return {}; }
  catalog::Backend DecodeBackend(std::string_view /*id*/, std::string_view /*value*/,
                                 interfaces::ReadingNotes* /*notes*/) const override {
    return {};
  }

 private:
  interfaces::HeaderNames names_;
};

struct Fixture {
  Fixture() : client(&resources, &exchanger, std::make_shared<FakeAdapter>(), {}) {}

  StoreClient::Callback Keep() {
    return [this](const StoreReply& reply) { replies.push_back(reply.status); };
  }
  void Watch(uint64_t call) {
    client.Run({call, store::WatchQuery{"table", 1, absl::Seconds(20)}, absl::Seconds(21)}, Keep());
  }

  EventLoop loop;
  FakeClock clock;
  LoopResources resources{loop, clock, std::make_shared<ByteBudget>(0), {}};
  FakeExchanger exchanger;
  StoreClient client;
  std::vector<StoreStatus> replies;
};

BOOST_FIXTURE_TEST_CASE(OnlyAMissingAnswerLeavesTheOutcomeOpen, Fixture) {
  client.Execute({}, absl::Seconds(1), Keep());
  exchanger.End(1, ExchangeStatus::kNoAnswer);
  client.Execute({}, absl::Seconds(1), Keep());
  exchanger.End(2, ExchangeStatus::kRefused);
  client.Execute({}, absl::Seconds(1), Keep());
  exchanger.End(3, ExchangeStatus::kAnswered);
  BOOST_TEST(
      (replies == std::vector{StoreStatus::kUnknown, StoreStatus::kRefused, StoreStatus::kDone}));
}

BOOST_FIXTURE_TEST_CASE(ANewCallOfAFollowerEndsItsFormerOne, Fixture) {
  Watch(1);
  Watch(2);
  BOOST_TEST(exchanger.open.size() == 1);
  BOOST_TEST(exchanger.open.contains(2));
  client.Run({3, store::ReadQuery{"table", "", ""}, absl::Seconds(1)}, Keep());
  BOOST_TEST(exchanger.open.size() == 1);
  client.Run({4, store::ReadQuery{"other", "", ""}, absl::Seconds(1)}, Keep());
  BOOST_TEST(exchanger.open.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(CancelledCallsCountNoLongerAsOutstanding, Fixture) {
  for (int i = 0; i < 20; ++i) {
    clock.now += absl::Seconds(1);
    client.Run({1, store::ReadQuery{"table", "", ""}, absl::Seconds(1)}, Keep());
  }
  loop.run();
  BOOST_TEST(replies.empty());
}

BOOST_FIXTURE_TEST_CASE(TooManyShortCallsAreRefusedHere, Fixture) {
  for (int i = 0; i < 5; ++i) {
    client.Read({}, absl::Seconds(1), Keep());
  }
  BOOST_TEST(exchanger.requests.size() == 4);
  BOOST_TEST(replies.empty());  // never from inside a call
  loop.run();
  BOOST_TEST((replies == std::vector{StoreStatus::kRefused}));
}

BOOST_FIXTURE_TEST_CASE(AFloodStaysWithinTheNodesShare, Fixture) {
  client.SetShare(400, false);
  for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
    clock.now += absl::Milliseconds(1);
    Watch(1);
    client.Execute({}, absl::Seconds(1), Keep());
    if (!exchanger.open.empty() && exchanger.requests.back() == "write") {
      exchanger.End(exchanger.requests.size(), ExchangeStatus::kAnswered);
    }
  }
  // 0.4 of 2,000 reads and of 400 writes a second, over 400 nodes, and the burst at the start.
  BOOST_TEST(client.traffic().watches <= 20 + 6);
  BOOST_TEST(client.traffic().watches >= 20);
  BOOST_TEST(client.traffic().transactions <= 4 + 6);
  client.SetShare(400, true);
  clock.now += absl::Seconds(1);
  const uint64_t before = client.traffic().transactions;
  for (int i = 0; i < 100; ++i) {
    client.Execute({}, absl::Seconds(1), Keep());
    if (!exchanger.open.empty() && exchanger.requests.back() == "write" &&
        exchanger.open.contains(exchanger.requests.size())) {
      exchanger.End(exchanger.requests.size(), ExchangeStatus::kAnswered);
    }
  }
  BOOST_TEST(client.traffic().transactions - before == 60);
}

BOOST_FIXTURE_TEST_CASE(ChangedRatesKeepTheNodesShare, Fixture) {
  client.SetShare(300, false);
  client.SetRates(40, 200);
  BOOST_TEST(client.PauseBetweenReads(1) == absl::Milliseconds(3750));
}

BOOST_FIXTURE_TEST_CASE(FollowersThatPauseAreNeverRefused, Fixture) {
  client.SetShare(300, false);
  const Duration pause = client.PauseBetweenReads(1);
  BOOST_TEST(pause == absl::Milliseconds(375));
  for (int i = 0; i < 100; ++i) {
    clock.now += pause;
    Watch(1);
  }
  BOOST_TEST(client.traffic().refused_locally == 0);
}

BOOST_AUTO_TEST_CASE(AnAllowanceNeverSavesUpMoreThanItsBurst) {
  CallAllowance allowance(10, 4);
  int taken = 0;
  for (Time now : {kStart, kStart + absl::Hours(1)}) {
    while (allowance.TryTake(now)) {
      ++taken;
    }
  }
  BOOST_TEST(taken == 20);
  BOOST_TEST(!allowance.TryTake(kStart));  // time does not go back
}

}  // namespace
}  // namespace ladderstream::gateway
