// Orders to back ends and their answers, told loads, and headers whatever their case.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "platform/adapter.h"

namespace ladderstream::platform {
namespace {

using interfaces::HttpRequest;
using interfaces::HttpResponse;
using interfaces::Understood;
using ownership::OrderStatus;

const interfaces::PlatformAdapterPtr kAdapter = MakeAdapter();

OrderStatus StatusOf(int status, const interfaces::HttpHeaders& headers = {}) {
  return kAdapter->DecodeOrderReply({status, headers, ""}).status;
}

ownership::GrantAction ExampleGrant() {
  ownership::GrantAction grant;
  grant.backend = "i-7f3a91c2";
  grant.range = {4096, 8191};
  grant.fence = 12;
  grant.hold = absl::Milliseconds(4500);
  return grant;
}

BOOST_AUTO_TEST_SUITE(grant_codec)

BOOST_AUTO_TEST_CASE(a_grant_is_written_for_one_incarnation_alone) {
  ownership::GrantAction grant = ExampleGrant();
  grant.handover = "5c0e7a21d94b36f8";
  const HttpRequest request = kAdapter->EncodeGrant(grant);
  BOOST_TEST(request.method == "POST");
  BOOST_TEST(request.target == "/ladderstream/grant");
  const interfaces::HttpHeaders expected_headers = {
      {"Content-Type", "application/json"}, {"X-Ladderstream-Expected-Instance", "i-7f3a91c2"}};
  BOOST_TEST((request.headers == expected_headers));
  BOOST_TEST(nlohmann::json::parse(request.body) ==
             nlohmann::json::parse(R"({"from_rev":4096,"target_version":8191,"fence":12,)"
                                   R"("hold_s":4.5,"handover":"5c0e7a21d94b36f8"})"));
}

BOOST_AUTO_TEST_CASE(a_grant_without_a_handover_names_none) {
  const auto body = nlohmann::json::parse(kAdapter->EncodeGrant(ExampleGrant()).body);
  BOOST_TEST(!body.contains("handover"));
}

BOOST_AUTO_TEST_CASE(a_handover_that_is_not_text_does_not_stop_the_grant) {
  ownership::GrantAction grant = ExampleGrant();
  grant.handover = "\xFF\xFE";
  BOOST_TEST(nlohmann::json::accept(kAdapter->EncodeGrant(grant).body));
}

BOOST_AUTO_TEST_CASE(a_release_is_written_with_its_fence) {
  ownership::ReleaseAction release;
  release.backend = "i-7f3a91c2";
  release.range = {4096, 8191};
  release.fence = 5'000'012;
  const HttpRequest request = kAdapter->EncodeRelease(release);
  BOOST_TEST(request.target == "/ladderstream/release");
  BOOST_TEST(nlohmann::json::parse(request.body) ==
             nlohmann::json::parse(R"({"from_rev":4096,"target_version":8191,"fence":5000012})"));
}

BOOST_AUTO_TEST_CASE(an_answer_says_whether_the_order_was_carried_out) {
  const auto reply =
      kAdapter->DecodeOrderReply({200, {{"x-ladderstream-handover", "5c0e7a21d94b36f8"}}, ""});
  BOOST_TEST((reply.status == OrderStatus::kDone));
  BOOST_TEST(reply.handover == "5c0e7a21d94b36f8");
  BOOST_TEST((StatusOf(409) == OrderStatus::kFenced));
  BOOST_TEST((StatusOf(421) == OrderStatus::kOtherInstance));
  BOOST_TEST((StatusOf(400) == OrderStatus::kRefused));
  BOOST_TEST((StatusOf(429) == OrderStatus::kRefused));
  BOOST_TEST((StatusOf(503) == OrderStatus::kRefused));
}

BOOST_AUTO_TEST_CASE(a_failure_that_promises_nothing_is_no_answer) {
  BOOST_TEST((StatusOf(500) == OrderStatus::kNoAnswer));
  BOOST_TEST((StatusOf(504) == OrderStatus::kNoAnswer));
  BOOST_TEST((StatusOf(500, {{"X-Ladderstream-Not-Executed", "1"}}) == OrderStatus::kRefused));
}

BOOST_AUTO_TEST_CASE(a_told_load_is_three_numbers_and_may_say_how_slow_the_machine_is) {
  interfaces::ToldLoad load;
  BOOST_TEST((kAdapter->ParseToldLoad("3,0,8", &load) == Understood::kWhole));
  BOOST_TEST(load.running == 3U);
  BOOST_TEST(load.waiting == 0U);
  BOOST_TEST(load.slots == 8U);
  BOOST_TEST(load.slowdown == 0.0);
  BOOST_TEST((kAdapter->ParseToldLoad("2,5,3,310", &load) == Understood::kWhole));
  BOOST_TEST(load.waiting == 5U);
  BOOST_TEST(load.slots == 3U);
  BOOST_TEST(load.slowdown == 3.1);
}

// A fourth figure that was not known made the nodes deaf to the load of every back end.
BOOST_AUTO_TEST_CASE(what_follows_a_told_load_does_not_lose_it) {
  for (const char* text : {"3,0,8,100,7", "3,0,8,fast", "3,0,8,", "3,0,8,0", "3, 0, 8, -1"}) {
    interfaces::ToldLoad load;
    BOOST_TEST((kAdapter->ParseToldLoad(text, &load) == Understood::kPartly), text);
    BOOST_TEST(load.running == 3U, text);
    BOOST_TEST(load.slots == 8U, text);
  }
}

// Rest and leaving were asked for with headers that nobody read, and nothing told of it.
BOOST_AUTO_TEST_CASE(a_header_of_the_platform_that_nobody_reads_is_unheard) {
  for (const char* name : {"X-Ladderstream-Server-Mood", "server-mood"}) {
    BOOST_TEST(kAdapter->IsUnheardHeader(name), name);
  }
  for (const char* name :
       {"X-Ladderstream-Server-Load", "x-ladderstream-request-id", "Server-Leaving",
        "X-Ladderstream-Server-Leaving", "Server-Limit", "x-ladderstream-server-limit",
        "X-Ladderstream-Handover", "X-Mood", "Server", "Date"}) {
    BOOST_TEST(!kAdapter->IsUnheardHeader(name), name);
  }
}

BOOST_AUTO_TEST_CASE(what_is_no_load_changes_nothing) {
  interfaces::ToldLoad load{1, 2, 3, 4};
  for (const char* text :
       {"", "3", "3,0", "3,0,", ",0,8", "-3,0,8", "3,0,8x", "3;0;8", "3,0,99999999999", "a,b,c"}) {
    BOOST_TEST((kAdapter->ParseToldLoad(text, &load) == Understood::kNot), text);
  }
  BOOST_TEST(load.slots == 3U);
  BOOST_TEST(load.slowdown == 4.0);
}

BOOST_AUTO_TEST_CASE(the_first_header_of_a_name_counts) {
  const HttpResponse response{200, {{"A", "1"}, {"x-b", "2"}, {"X-B", "3"}}, ""};
  BOOST_TEST(response.Header("X-b") == "2");
  BOOST_TEST(response.Header("X-C").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::platform
