// Calls to the metadata store: what is written, what is made of each answer, and that no answer,
// however broken, is taken for more than it says.
#include <absl/strings/escaping.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/adapter.h"

namespace ladderstream::platform {
namespace {

using interfaces::HttpRequest;
using interfaces::HttpResponse;
using interfaces::StoreCall;
using store::StoreReply;
using store::StoreStatus;

const interfaces::PlatformAdapterPtr kAdapter = MakeAdapter();

StoreReply Decode(StoreCall call, int status, const std::string& body) {
  return kAdapter->DecodeStoreReply(call, HttpResponse{status, {}, body});
}

StoreStatus StatusOf(StoreCall call, int status, const std::string& body = "") {
  return Decode(call, status, body).status;
}

/// A read's answer whose only row is `row`.
StoreReply DecodeReadOf(const std::string& row) {
  return Decode(StoreCall::kRead, 200, R"({"rows":[)" + row + R"(],"has_more":false,"ver":9})");
}

BOOST_AUTO_TEST_SUITE(store_codec)

BOOST_AUTO_TEST_CASE(a_transaction_is_written_as_the_store_expects) {
  store::Transaction transaction;
  transaction.conditions.push_back({{"my", "p7", "owner"}, 0});
  transaction.puts.push_back({{"my", "p7", "owner"}, "node-1"});
  transaction.removals.push_back({"my", "p7", "old"});
  const HttpRequest request = kAdapter->EncodeTransaction(transaction);
  BOOST_TEST(request.method == "POST");
  BOOST_TEST(request.target == "/ladderstream/rows-tx");
  BOOST_TEST_REQUIRE(request.headers.size() == 1U);
  BOOST_TEST(request.headers[0].first == "Content-Type");
  BOOST_TEST(request.headers[0].second == "application/json");
  const auto expected = nlohmann::json::parse(
      R"({"expected_rev":[{"table":"my","part":"p7","key":"owner","ver":0}],)"
      R"("put":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x"}],)"
      R"("remove":[{"table":"my","part":"p7","key":"old"}]})");
  BOOST_TEST(nlohmann::json::parse(request.body) == expected);
}

BOOST_AUTO_TEST_CASE(a_read_continues_behind_the_last_key) {
  const HttpRequest first = kAdapter->EncodeRead({"my", "p7", ""});
  BOOST_TEST(first.method == "GET");
  BOOST_TEST(first.target == "/ladderstream/rows-get?table=my&part=p7&limit=500");
  const HttpRequest next = kAdapter->EncodeRead({"my", "", std::string("a b&c\xC3\xA9\0", 8)});
  BOOST_TEST(next.target ==
             "/ladderstream/rows-get?table=my&part=&from_rev=a%20b%26c%c3%a9%00&limit=500");
}

BOOST_AUTO_TEST_CASE(a_watch_waits_no_longer_than_the_store_allows) {
  const HttpRequest watch = kAdapter->EncodeWatch({"op", 530, absl::Seconds(20)});
  BOOST_TEST(watch.target == "/ladderstream/rows-feed?table=op&after=530&wait_ms=20000");
  const HttpRequest endless = kAdapter->EncodeWatch({"op", 530, absl::InfiniteDuration()});
  BOOST_TEST(endless.target == "/ladderstream/rows-feed?table=op&after=530&wait_ms=30000");
}

BOOST_AUTO_TEST_CASE(a_transaction_that_is_done_tells_the_version) {
  const StoreReply reply = Decode(StoreCall::kTransaction, 200, R"({"ver":412,"now_s":51.23})");
  BOOST_TEST((reply.status == StoreStatus::kDone));
  BOOST_TEST(reply.version == 412U);
}

BOOST_AUTO_TEST_CASE(rows_are_read_with_values_and_versions) {
  const StoreReply reply =
      Decode(StoreCall::kRead, 200,
             R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x","ver":412}],)"
             R"("has_more":true,"ver":530,"now_s":51.23,"new_field":{}})");
  BOOST_TEST((reply.status == StoreStatus::kDone));
  BOOST_TEST(reply.more);
  BOOST_TEST(reply.version == 530U);
  BOOST_TEST_REQUIRE(reply.rows.size() == 1U);
  BOOST_TEST((reply.rows[0].key == store::RowKey{"my", "p7", "owner"}));
  BOOST_TEST(reply.rows[0].value == "node-1");
  BOOST_TEST(reply.rows[0].version == 412U);
  BOOST_TEST(!reply.rows[0].removed);
}

BOOST_AUTO_TEST_CASE(a_watch_tells_removed_rows) {
  const StoreReply reply = Decode(
      StoreCall::kWatch, 200,
      R"({"rows":[{"table":"op","part":"","key":"a","ver":533,"gone":true}],"ver":533,"now_s":1})");
  BOOST_TEST((reply.status == StoreStatus::kDone));
  BOOST_TEST_REQUIRE(reply.rows.size() == 1U);
  BOOST_TEST(reply.rows[0].removed);
  BOOST_TEST(reply.version == 533U);
}

BOOST_AUTO_TEST_CASE(a_conflict_tells_the_rows_as_they_stand) {
  const StoreReply reply = Decode(
      StoreCall::kTransaction, 412,
      R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"eA==","ver":8},)"
      R"({"table":"my","part":"p7","key":"other","value":null,"ver":0}],"ver":9,"now_s":1})");
  BOOST_TEST((reply.status == StoreStatus::kConflict));
  BOOST_TEST_REQUIRE(reply.rows.size() == 2U);
  BOOST_TEST(reply.rows[0].value == "x");
  BOOST_TEST(reply.rows[1].removed);
  BOOST_TEST(reply.rows[1].version == 0U);
}

BOOST_AUTO_TEST_CASE(a_conflict_without_its_rows_settles_nothing) {
  BOOST_TEST((StatusOf(StoreCall::kTransaction, 412, "") == StoreStatus::kUnknown));
  BOOST_TEST((StatusOf(StoreCall::kTransaction, 412, R"({"ver":3})") == StoreStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(statuses_say_whether_a_call_was_done) {
  for (const StoreCall call : {StoreCall::kTransaction, StoreCall::kRead, StoreCall::kWatch}) {
    BOOST_TEST((StatusOf(call, 429) == StoreStatus::kRefused));
    BOOST_TEST((StatusOf(call, 503) == StoreStatus::kRefused));
    BOOST_TEST((StatusOf(call, 400) == StoreStatus::kInvalid));
    BOOST_TEST((StatusOf(call, 403) == StoreStatus::kInvalid));
    BOOST_TEST((StatusOf(call, 404) == StoreStatus::kInvalid));
    BOOST_TEST((StatusOf(call, 500) == StoreStatus::kUnknown));
    BOOST_TEST((StatusOf(call, 504) == StoreStatus::kUnknown));
    BOOST_TEST((StatusOf(call, 302) == StoreStatus::kUnknown));
  }
  BOOST_TEST((StatusOf(StoreCall::kWatch, 410) == StoreStatus::kHistoryGone));
  BOOST_TEST((StatusOf(StoreCall::kRead, 410) == StoreStatus::kInvalid));
}

BOOST_AUTO_TEST_CASE(the_detail_is_one_short_line) {
  const StoreReply reply = Decode(StoreCall::kRead, 403, "no\nentry" + std::string(5000, 'x'));
  BOOST_TEST(reply.detail.rfind("status 403 no\\nentry", 0) == 0U);
  BOOST_TEST(reply.detail.size() < 200U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_answer_is_unknown_and_names_the_place) {
  const auto check = [](const std::string& row, const std::string& place) {
    const StoreReply reply = DecodeReadOf(row);
    BOOST_TEST((reply.status == StoreStatus::kUnknown), row);
    BOOST_TEST(reply.rows.empty());
    BOOST_TEST(reply.detail.find(place) != std::string::npos, reply.detail);
  };
  const std::string start = R"({"table":"my","part":"","key":)";
  check(start + R"(7,"value":"","ver":1})", "/rows/0/key: want a text");
  check(start + R"("a","value":"","ver":-1})", "/rows/0/ver: want a whole number");
  check(start + R"("a","value":"","ver":1.5})", "/rows/0/ver: want a whole number");
  check(start + R"("a","value":"","ver":18446744073709551616})", "/rows/0/ver");
  check(start + R"("a","value":"*","ver":1})", "/rows/0/value: want base64");
  check(start + R"("a","ver":1})", "/rows/0/value: want a value");
  check("[]", "/rows/0: want an object");
  for (const char* body : {"", "{", "[]", R"({"rows":7,"ver":1})", R"({"rows":[]})", "\xFF"}) {
    BOOST_TEST((StatusOf(StoreCall::kRead, 200, body) == StoreStatus::kUnknown), body);
  }
  BOOST_TEST((StatusOf(StoreCall::kTransaction, 200, "{}") == StoreStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_hostile_size_is_refused_before_it_is_parsed) {
  const std::string blanks(5U << 20U, ' ');
  const StoreReply large = Decode(StoreCall::kRead, 200, R"({"rows":[],"ver":1)" + blanks + "}");
  BOOST_TEST((large.status == StoreStatus::kUnknown));
  BOOST_TEST(large.detail.find("at most") != std::string::npos, large.detail);
  const std::string deep(1U << 20U, '[');
  BOOST_TEST((StatusOf(StoreCall::kRead, 200, deep) == StoreStatus::kUnknown));
  const std::string closed = deep + std::string(deep.size(), ']');
  BOOST_TEST((StatusOf(StoreCall::kRead, 200, closed) == StoreStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(values_of_any_bytes_come_back_as_they_were) {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes.push_back(static_cast<char>(byte));
  }
  store::Transaction transaction;
  transaction.puts.push_back({{"t", "", "k"}, bytes});
  const auto body = nlohmann::json::parse(kAdapter->EncodeTransaction(transaction).body);
  nlohmann::json row = body["put"][0];
  row["ver"] = 1;
  const StoreReply reply = DecodeReadOf(row.dump());
  BOOST_TEST_REQUIRE(reply.rows.size() == 1U);
  BOOST_TEST((reply.rows[0].value == bytes));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::platform
