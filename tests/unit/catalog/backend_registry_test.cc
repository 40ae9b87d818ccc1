// What the registrations, the operator's evacuations and the cold times make of a back end.
#include "core/catalog/backend_registry.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::catalog {
namespace {

struct Fixture {
  Fixture() {
    configuration.services["books"].cold_time = absl::Seconds(3);
    configuration.services["books"].cold_requests_per_second = 4;
    registration.id = "b-1";
    registration.service = "books";
    registration.zone = "east";
  }

  Backend Complete(const EvacuatedZones& evacuated = {}) {
    return registry.Complete(registration, evacuated, &configuration, now);
  }

  Time now = absl::FromUnixSeconds(1000);
  Configuration configuration;
  Backend registration;
  BackendRegistry registry;
};

BOOST_FIXTURE_TEST_SUITE(backend_registry, Fixture)

BOOST_AUTO_TEST_CASE(a_cold_time_counts_from_when_it_was_first_seen) {
  registration.cold_left = absl::Seconds(2);
  BOOST_TEST((Complete().cold_until == now + absl::Seconds(2)));
  const Time seen = now;
  now += absl::Seconds(1);
  const Backend again = Complete();
  BOOST_TEST((again.cold_until == seen + absl::Seconds(2)));
  BOOST_TEST(again.BoundedByCold(now));
  now += absl::Seconds(1);
  BOOST_TEST(!Complete().BoundedByCold(now));
}

BOOST_AUTO_TEST_CASE(a_back_end_may_turn_cold_again_in_mid_life) {
  BOOST_TEST(!Complete().BoundedByCold(now));
  now += absl::Seconds(60);
  registration.cold_left = absl::Milliseconds(2500);
  BOOST_TEST((Complete().cold_until == now + absl::Milliseconds(2500)));
  now += absl::Milliseconds(500);
  registration.cold_left = absl::ZeroDuration();
  BOOST_TEST(!Complete().BoundedByCold(now));
}

BOOST_AUTO_TEST_CASE(only_back_ends_of_an_evacuated_zone_leave) {
  BOOST_TEST(!Complete({"west"}).Leaves());
  BOOST_TEST(Complete({"west", "east"}).Leaves());
  BOOST_TEST(!Complete().Leaves());
}

BOOST_AUTO_TEST_CASE(whose_evacuation_ends_is_taken_to_be_cold) {
  Complete({"east"});
  now += absl::Seconds(8);
  BOOST_TEST((Complete().cold_until == now + absl::Seconds(3)));
  // The registration says more.
  now += absl::Seconds(1);
  registration.cold_left = absl::Milliseconds(2700);
  BOOST_TEST((Complete().cold_until == now + absl::Milliseconds(2700)));
}

BOOST_AUTO_TEST_CASE(a_service_without_a_cold_rate_has_no_bound) {
  configuration.services["books"].cold_requests_per_second = 0;
  registration.cold_left = absl::Seconds(2);
  BOOST_TEST(!Complete().BoundedByCold(now));
  const Backend alone = registry.Complete(registration, {}, nullptr, now);
  BOOST_TEST(!alone.BoundedByCold(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::catalog
