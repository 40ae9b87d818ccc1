// The store keeps its promises, and breaks off where it is told to.
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "asking.h"
#include "standin/fleet/store_server.h"
#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

using nlohmann::json;

constexpr Duration kShort = absl::Milliseconds(100);

struct Fixture {
  CallResult Put(const std::string& key, const std::string& value, uint64_t expected,
                 size_t entrance = 0) {
    const json body = {
        {"expected_rev", {{{"table", "t"}, {"part", "p"}, {"key", key}, {"ver", expected}}}},
        {"put",
         {{{"table", "t"}, {"part", "p"}, {"key", key}, {"value", absl::Base64Escape(value)}}}},
        {"remove", json::array()}};
    return Post(body, entrance);
  }

  CallResult Post(const json& body, size_t entrance = 0) {
    return Ask(
        &loop, store.endpoint(entrance),
        {.method = "POST", .target = wire::kTransactionPath, .headers = {}, .body = body.dump()},
        kShort);
  }

  CallResult Get(const std::string& target, Duration patience = absl::Seconds(2)) {
    return Ask(&loop, store.endpoint(0),
               {.method = "GET", .target = target, .headers = {}, .body = ""}, patience);
  }

  std::string ValueOf(const std::string& key) {
    const store::Row* row = store.rows().Find({"t", "p", key});
    return row == nullptr ? "" : row->value;
  }

  EventLoop loop;
  StoreServer store{&loop, {.entrances = {{"127.0.0.1", 0}, {"127.0.0.1", 0}}}};
};

json BodyOfAnswer(const CallResult& result) { return json::parse(result.response.body); }

BOOST_FIXTURE_TEST_SUITE(metadata_store, Fixture)

BOOST_AUTO_TEST_CASE(condition_that_fails_changes_nothing_and_tells_the_row) {
  BOOST_TEST(Put("k", "one", 0).response.status == 200);
  const CallResult second = Put("k", "two", 0);
  BOOST_TEST(second.response.status == 412);
  BOOST_TEST(BodyOfAnswer(second).at("rows").at(0).at("key") == "k");
  BOOST_TEST(ValueOf("k") == "one");
}

BOOST_AUTO_TEST_CASE(rows_are_read_in_pages) {
  for (const char* key : {"b", "a", "c"}) {
    Put(key, "v", 0);
  }
  const json page = BodyOfAnswer(Get("/ladderstream/rows-get?table=t&part=p&limit=2"));
  BOOST_TEST(page.at("rows").size() == 2U);
  BOOST_TEST(page.at("rows").at(0).at("key") == "a");
  BOOST_TEST(page.at("has_more") == true);
  const json rest = BodyOfAnswer(Get("/ladderstream/rows-get?table=t&part=p&from_rev=b%00"));
  BOOST_TEST(rest.at("rows").at(0).at("key") == "c");
}

BOOST_AUTO_TEST_CASE(feed_waits_for_a_change_and_tells_of_dropped_rows) {
  Put("k", "one", 0);
  const uint64_t version = store.rows().version();
  loop.After(kShort, [&] {
    store::Transaction transaction;
    transaction.removals.push_back({"t", "p", "k"});
    TransactionResult result;
    store.Transact(transaction, &result);
  });
  const json feed = BodyOfAnswer(
      Get(absl::StrCat("/ladderstream/rows-feed?table=t&wait_ms=5000&after=", version)));
  BOOST_TEST(feed.at("rows").at(0).at("gone") == true);
  BOOST_TEST(feed.at("ver") == version + 1);
}

BOOST_AUTO_TEST_CASE(feed_from_before_the_known_history_is_refused) {
  const uint64_t version = store.rows().version();
  Put("k", "one", 0);
  store.ForgetHistory();
  const CallResult feed =
      Get(absl::StrCat("/ladderstream/rows-feed?table=t&wait_ms=1&after=", version));
  BOOST_TEST(feed.response.status == 410);
}

BOOST_AUTO_TEST_CASE(lost_answer_comes_after_the_write) {
  store.SetFaults({.lost_answers = 1});
  BOOST_TEST((Put("k", "one", 0).end == CallEnd::kTimedOut));
  BOOST_TEST(ValueOf("k") == "one");
}

BOOST_AUTO_TEST_CASE(late_write_is_done_only_if_its_condition_still_holds) {
  store.SetFaults({.late_writes = 1, .late_by = kShort * 3});
  BOOST_TEST((Put("k", "late", 0).end == CallEnd::kTimedOut));
  BOOST_TEST((Put("other", "late", 0).end == CallEnd::kTimedOut));
  store.Heal();
  BOOST_TEST(ValueOf("k").empty());
  Put("k", "newer", 0);
  BOOST_TEST(loop.RunUntil([&] { return ValueOf("other") == "late"; }, absl::Seconds(5)));
  BOOST_TEST(ValueOf("k") == "newer");
}

BOOST_AUTO_TEST_CASE(entrance_can_be_shut_alone) {
  store.SetFaultsAt(1, {.outage = StoreOutage::kUnavailable});
  BOOST_TEST(Put("k", "one", 0, 1).response.status == 503);
  BOOST_TEST(Put("k", "one", 0, 0).response.status == 200);
  store.SetFaultsAt(1, {.outage = StoreOutage::kReset});
  BOOST_TEST((Put("k", "one", 0, 1).end == CallEnd::kClosed));
  store.SetFaultsAt(1, {.outage = StoreOutage::kSilent});
  BOOST_TEST((Put("k", "one", 0, 1).end == CallEnd::kTimedOut));
}

BOOST_AUTO_TEST_CASE(calls_beyond_the_rate_are_refused) {
  StoreServer small(&loop, {.writes_per_second = 1});
  const interfaces::HttpRequest write{
      .method = "POST", .target = wire::kTransactionPath, .headers = {}, .body = "{}"};
  BOOST_TEST(Ask(&loop, small.endpoint(0), write).response.status == 200);
  BOOST_TEST(Ask(&loop, small.endpoint(0), write).response.status == 429);
}

BOOST_AUTO_TEST_CASE(what_the_store_does_not_take_is_refused) {
  BOOST_TEST(
      Post({{"put", {{{"table", "servers"}, {"key", "i-1"}, {"value", ""}}}}}).response.status ==
      403);
  BOOST_TEST(Post({{"puts", json::array()}}).response.status == 400);
  const json across = {{"put",
                        {{{"table", "t"}, {"part", "p"}, {"key", "k"}, {"value", ""}},
                         {{"table", "t"}, {"part", "q"}, {"key", "k"}, {"value", ""}}}}};
  BOOST_TEST(Post(across).response.status == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
