// Leases nest in the leader's own, and nobody's shards are taken before every lease has ended.
#include "core/authority/lease_table.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::authority {
namespace {

const BackendId kBackend("first");
const BackendIncarnation kRunning(1);
constexpr Duration kWholeLease = absl::Seconds(10);

struct Fixture {
  Fixture() : leases(settings) {
    Configuration configuration;
    configuration.revision = Revision(1);
    configuration.services.emplace_back().name = ServiceName("scripts");
    BackendConfiguration backend;
    backend.id = kBackend;
    backend.service = ServiceName("scripts");
    configuration.backends.push_back(backend);
    state.Apply({1, 1, 1}, AdoptConfiguration{configuration});
    state.Apply({1, 1, 2}, AdmitBackend{kBackend, kRunning});
    leases.BeginTerm(now, absl::InfinitePast(), absl::InfinitePast());
  }

  LeaseResponse Ask(BackendIncarnation incarnation, Duration leader_lease) {
    return leases.Answer({kBackend, incarnation, {}, false}, state, leader_lease, now);
  }

  AuthoritySettings settings;
  OwnershipState state;
  LeaseTable leases;
  Time now = absl::FromUnixSeconds(1000);
};

BOOST_FIXTURE_TEST_SUITE(lease_table, Fixture)

BOOST_AUTO_TEST_CASE(lease_is_shortened_for_drift_and_never_outlasts_the_leaders) {
  const double drift = 1 + settings.replication.max_clock_drift;
  BOOST_TEST((Ask(kRunning, kWholeLease).lease * drift <= settings.backend_lease));
  const Duration left = absl::Milliseconds(100);
  const Duration lease = Ask(kRunning, left).lease;
  BOOST_TEST((lease > absl::ZeroDuration()));
  BOOST_TEST((lease * drift <= left));
  BOOST_TEST((Ask(kRunning, absl::ZeroDuration()).lease == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(shards_are_taken_only_after_the_last_lease_and_the_margin) {
  Ask(kRunning, kWholeLease);
  BOOST_TEST((leases.ExpiresAt(kBackend) >= now + settings.backend_lease + settings.expiry_margin));
}

BOOST_AUTO_TEST_CASE(leases_of_earlier_leaders_count) {
  const Time theirs = now + absl::Seconds(5);
  leases.BeginTerm(now, theirs, absl::InfinitePast());
  BOOST_TEST((leases.LeasesEnd(kBackend) > theirs));
  // Existing owners are renewed all the same.
  BOOST_TEST((Ask(kRunning, kWholeLease).lease > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(own_leases_of_an_earlier_term_count) {
  Ask(kRunning, kWholeLease);
  leases.BeginTerm(now, absl::InfinitePast(), absl::InfinitePast());
  BOOST_TEST((leases.LeasesEnd(kBackend) >= now + settings.backend_lease));
}

BOOST_AUTO_TEST_CASE(new_leader_gives_back_ends_the_time_to_find_it) {
  now += absl::Hours(1);
  leases.BeginTerm(now, absl::InfinitePast(), absl::InfinitePast());
  BOOST_TEST((leases.ExpiresAt(kBackend) >= now + settings.backend_lease));
}

BOOST_AUTO_TEST_CASE(recovered_generation_gives_no_lease_while_older_ones_last) {
  const Time earliest = now + absl::Seconds(1);
  leases.BeginTerm(now, absl::InfinitePast(), earliest);
  BOOST_TEST((Ask(kRunning, kWholeLease).lease == absl::ZeroDuration()));
  now = earliest;
  BOOST_TEST((Ask(kRunning, kWholeLease).lease > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(earlier_incarnation_is_not_renewed_once_another_asked) {
  Ask(kRunning, kWholeLease);
  BOOST_TEST((Ask(BackendIncarnation(2), kWholeLease).lease == absl::ZeroDuration()));
  BOOST_TEST((Ask(kRunning, kWholeLease).lease == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(no_lease_once_expiry_was_proposed) {
  leases.MarkExpiring(kBackend);
  BOOST_TEST((Ask(kRunning, kWholeLease).lease == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(unknown_back_end_is_told_so) {
  const LeaseResponse response =
      leases.Answer({BackendId("other"), kRunning, {}, false}, state, kWholeLease, now);
  BOOST_TEST((response.result == ResultCode::kUnknownName));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::authority
