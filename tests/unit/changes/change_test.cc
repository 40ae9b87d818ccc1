// Each kind of change modifies only its own part of the configuration, or is rejected with the
// matching result code.
#include "core/changes/change.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "sample_configuration.h"

namespace ladderstream::changes {
namespace {

auto HasCode(ResultCode code) {
  return [code](const ConfigurationError& error) { return error.code() == code; };
}

BOOST_AUTO_TEST_SUITE(change)

BOOST_AUTO_TEST_CASE(create_raises_the_revision_by_one) {
  const catalog::Configuration after =
      ApplyChange(SampleConfiguration(), CreateService{SampleService("books")});
  BOOST_TEST(after.version == 8U);
  BOOST_TEST(after.services.contains("books"));
  BOOST_TEST(after.services.size() == 3U);
}

BOOST_AUTO_TEST_CASE(creating_an_existing_name_is_refused) {
  const std::vector<Change> changes = {CreateService{SampleService("cards")},
                                       CreateRoute{SampleRoute("pay", "scripts")}};
  for (const Change& change : changes) {
    BOOST_CHECK_EXCEPTION(ApplyChange(SampleConfiguration(), change), ConfigurationError,
                          HasCode(ResultCode::kAlreadyExists));
  }
}

BOOST_AUTO_TEST_CASE(sharded_is_fixed_at_creation) {
  try {
    ApplyChange(SampleConfiguration(), UpdateService{SampleService("scripts")});
    BOOST_FAIL("accepted");
  } catch (const ConfigurationError& error) {
    BOOST_TEST_REQUIRE(error.faults().size() == 1U);
    BOOST_TEST(error.faults()[0].field == "services[scripts].sharded");
    BOOST_TEST(error.faults()[0].allowed == "true, fixed at creation");
  }
}

BOOST_AUTO_TEST_CASE(update_replaces_the_entry) {
  catalog::Route route = SampleRoute("read", "cards");
  route.timeout = absl::Seconds(2);
  const catalog::Configuration after = ApplyChange(SampleConfiguration(), UpdateRoute{route});
  BOOST_TEST((after.routes.front() == route));
  catalog::Limits limits;
  limits.max_body_bytes = 4096;
  const catalog::Configuration limited = ApplyChange(after, UpdateLimits{limits});
  BOOST_TEST((limited.limits == limits));
  BOOST_TEST(limited.version == 9U);
}

BOOST_AUTO_TEST_CASE(a_service_with_a_route_is_still_in_use) {
  BOOST_CHECK_EXCEPTION(ApplyChange(SampleConfiguration(), DeleteService{"cards"}),
                        ConfigurationError, HasCode(ResultCode::kStillInUse));
  const catalog::Configuration emptied = ApplyChange(SampleConfiguration(), DeleteRoute{"pay"});
  const catalog::Configuration after = ApplyChange(emptied, DeleteService{"cards"});
  BOOST_TEST(!after.services.contains("cards"));
}

BOOST_AUTO_TEST_CASE(unknown_names_are_refused) {
  const std::vector<Change> changes = {UpdateService{SampleService("none")}, DeleteService{"none"},
                                       UpdateRoute{SampleRoute("none", "cards")},
                                       DeleteRoute{"none"},
                                       CreateRoute{SampleRoute("new", "none")}};
  for (const Change& change : changes) {
    BOOST_CHECK_EXCEPTION(ApplyChange(SampleConfiguration(), change), ConfigurationError,
                          HasCode(ResultCode::kUnknownName));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::changes
