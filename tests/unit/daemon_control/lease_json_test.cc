#include "daemon/control/lease_json.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace ladderstream::control {
namespace {

BOOST_AUTO_TEST_SUITE(lease_json_suite)

BOOST_AUTO_TEST_CASE(RequestIsReadWithWholeSixtyFourBitNumbers) {
  const LeaseRequest request =
      ParseLeaseRequest(BackendId("scripts-03"),
                        R"({"incarnation":"18446744073709551615","applied_version":"1.2.3"})");
  BOOST_TEST(request.backend == BackendId("scripts-03"));
  BOOST_TEST(request.incarnation.value() == UINT64_MAX);
  BOOST_TEST(request.applied_version == (GrantToken{1, 2, 3}));
  BOOST_TEST(!request.leaving);
}

BOOST_AUTO_TEST_CASE(MalformedRequestsAreRefused) {
  for (const char* const body : {"", "{}", "[]", R"({"incarnation":1,"applied_version":"1.2.3"})",
                                 R"({"incarnation":"x","applied_version":"1.2.3"})",
                                 R"({"incarnation":"1","applied_version":"1.2"})"}) {
    BOOST_CHECK_EXCEPTION(ParseLeaseRequest(BackendId("b"), body), Error, [](const Error& error) {
      return error.code() == ResultCode::kMalformedMessage;
    });
  }
}

BOOST_AUTO_TEST_CASE(ResponseIsWrittenAsTheProtocolSays) {
  LeaseResponse response;
  response.result = ResultCode::kOk;
  response.lease = absl::Milliseconds(700);
  response.grants_included = true;
  response.grants.version = GrantToken{1, 2, 9};
  response.grants.grants = {
      {ShardId{ServiceName("scripts"), RangeIndex(3), ""}, GrantToken{1, 2, 4}, {"hot"}}};
  response.home = Endpoint{"127.0.0.1", 7000};
  const auto json = nlohmann::json::parse(FormatLeaseResponse(response));
  const auto expected = nlohmann::json::parse(
      R"({"result":0,"lease_us":700000,"grants_included":true,"version":"1.2.9",
          "grants":[{"service":"scripts","range":3,"key":"","token":"1.2.4",
                     "excluded_keys":["hot"]}],
          "home":"127.0.0.1:7000"})");
  BOOST_TEST((json == expected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::control
