// Each change makes exactly its own difference, or is refused with its code.
#include "core/configuration/change.h"

#include <boost/test/unit_test.hpp>

#include "sample_configuration.h"

namespace ladderstream::configuration {
namespace {

auto HasCode(ResultCode code) {
  return [code](const ConfigurationError& error) { return error.code() == code; };
}

BOOST_AUTO_TEST_SUITE(change)

BOOST_AUTO_TEST_CASE(create_raises_the_revision_by_one) {
  const Configuration before = SampleConfiguration();
  const Configuration after = ApplyChange(before, CreateService{SampleService("books", "book/")});
  BOOST_TEST(after.revision == Revision(8));
  BOOST_TEST(FindService(after, ServiceName("books")) != nullptr);
  BOOST_TEST(after.services.size() == before.services.size() + 1);
}

BOOST_AUTO_TEST_CASE(creating_twice_already_exists) {
  BOOST_CHECK_EXCEPTION(
      ApplyChange(SampleConfiguration(), RegisterBackend{SampleBackend("cards-1", "cards", 9050)}),
      ConfigurationError, HasCode(ResultCode::kAlreadyExists));
}

BOOST_AUTO_TEST_CASE(overlapping_keys_have_their_own_code) {
  BOOST_CHECK_EXCEPTION(
      ApplyChange(SampleConfiguration(), CreateService{SampleService("vip", "card/vip")}),
      ConfigurationError, HasCode(ResultCode::kKeysOverlap));
}

BOOST_AUTO_TEST_CASE(update_keeps_what_is_fixed) {
  ServiceConfiguration service = SampleService("scripts", "script/");
  service.range_count = 8;
  service.routing = RoutingKind::kByLoad;
  try {
    ApplyChange(SampleConfiguration(), UpdateService{service});
    BOOST_FAIL("accepted");
  } catch (const ConfigurationError& error) {
    BOOST_TEST_REQUIRE(error.faults().size() == 2U);
    BOOST_TEST(error.faults()[0].field == "services[scripts].routing");
    BOOST_TEST(error.faults()[1].allowed == "4, fixed at creation");
  }
  BackendConfiguration backend = SampleBackend("cards-1", "scripts", 9002);
  BOOST_CHECK_EXCEPTION(ApplyChange(SampleConfiguration(), UpdateBackend{backend}),
                        ConfigurationError, HasCode(ResultCode::kInvalidConfiguration));
}

BOOST_AUTO_TEST_CASE(update_replaces_the_rest) {
  ServiceConfiguration service = SampleService("scripts", "script/");
  service.weights.churn = 5;
  const Configuration after = ApplyChange(SampleConfiguration(), UpdateService{service});
  BOOST_TEST((*FindService(after, ServiceName("scripts")) == service));
}

BOOST_AUTO_TEST_CASE(a_service_with_backends_is_still_in_use) {
  BOOST_CHECK_EXCEPTION(ApplyChange(SampleConfiguration(), DeleteService{ServiceName("cards")}),
                        ConfigurationError, HasCode(ResultCode::kStillInUse));
  const Configuration emptied =
      ApplyChange(SampleConfiguration(), RemoveBackend{BackendId("cards-1")});
  const Configuration after = ApplyChange(emptied, DeleteService{ServiceName("cards")});
  BOOST_TEST(FindService(after, ServiceName("cards")) == nullptr);
  BOOST_TEST(after.revision == Revision(9));
}

BOOST_AUTO_TEST_CASE(unknown_names_are_named) {
  const Configuration sample = SampleConfiguration();
  const std::vector<Change> changes = {
      UpdateService{SampleService("none", "none/")}, DeleteService{ServiceName("none")},
      UpdateBackend{SampleBackend("none", "cards", 9050)}, RemoveBackend{BackendId("none")}};
  for (const Change& change : changes) {
    BOOST_CHECK_EXCEPTION(ApplyChange(sample, change), ConfigurationError,
                          HasCode(ResultCode::kUnknownName));
  }
}

BOOST_AUTO_TEST_CASE(digests_tell_changes_apart) {
  const Change create = CreateService{SampleService("books", "book/")};
  BOOST_TEST(DigestOf(create) == DigestOf(CreateService{SampleService("books", "book/")}));
  BOOST_TEST(DigestOf(create) != DigestOf(UpdateService{SampleService("books", "book/")}));
  BOOST_TEST(DigestOf(create) != DigestOf(CreateService{SampleService("books", "book")}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::configuration
