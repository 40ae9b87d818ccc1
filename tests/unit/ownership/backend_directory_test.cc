// Which back ends may be assigned keys and which may keep them, as reported to the partitioner.
#include "core/ownership/backend_directory.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::ownership {
namespace {

struct DirectoryFixture {
  DirectoryFixture() : directory(CoordinatorSettings()) {}

  void Add(const std::string& id, Duration cold, bool evacuated = false) {
    catalog::Backend backend;
    backend.id = id;
    backend.service = "books";
    backend.address = {id, 1};
    backend.cold_until = now + cold;
    backend.cold_requests_per_second = 4;
    backend.evacuated = evacuated;
    backends.push_back(backend);
    directory.Update(registered.Replace(backends), {"books"}, now);
  }
  partition::PartitionBackend Find(const std::string& id) const {
    for (const partition::PartitionBackend& backend : directory.ForPartitioner("books", {}, now)) {
      if (backend.id == id) {
        return backend;
      }
    }
    return {};
  }

  Time now = absl::FromUnixSeconds(1000);
  std::vector<catalog::Backend> backends;
  catalog::BackendSet registered;
  BackendDirectory directory;
};

BOOST_FIXTURE_TEST_SUITE(backend_directory, DirectoryFixture)

BOOST_AUTO_TEST_CASE(a_cold_back_end_gets_no_keys_while_a_warm_one_may) {
  Add("warm", absl::ZeroDuration());
  Add("cold", absl::Seconds(3));
  BOOST_TEST(Find("warm").accepts);
  BOOST_TEST(!Find("cold").accepts);
  BOOST_TEST(!Find("cold").keeps);
  now += absl::Seconds(3);
  BOOST_TEST(Find("cold").accepts);
}

BOOST_AUTO_TEST_CASE(cold_back_ends_own_the_keys_when_none_is_warm) {
  Add("cold", absl::Seconds(3));
  Add("left", absl::ZeroDuration(), true);
  BOOST_TEST(Find("cold").accepts);
  BOOST_TEST(Find("cold").keeps);
  BOOST_TEST(!Find("left").accepts);
  BOOST_TEST(!Find("left").keeps);
}

BOOST_AUTO_TEST_CASE(an_evacuation_is_a_change_of_the_back_ends) {
  Add("a", absl::ZeroDuration());
  backends.front().evacuated = true;
  BOOST_TEST(directory.Update(registered.Replace(backends), {"books"}, now).any);
  BOOST_TEST(!directory.Update(registered.Replace(backends), {"books"}, now).any);
  BOOST_TEST(!directory.Accepts("a"));
  backends.front().evacuated = false;
  BOOST_TEST(directory.Update(registered.Replace(backends), {"books"}, now).any);
  BOOST_TEST(directory.Keeps("a"));
}

/// Two of three back ends leave their orders unanswered for `time`.
void FailTwo(DirectoryFixture* fixture, Duration time) {
  const Time end = fixture->now + time;
  for (; fixture->now < end; fixture->now += absl::Milliseconds(400)) {
    fixture->directory.RecordFailure("a", false, fixture->now, fixture->now);
    fixture->directory.RecordFailure("b", false, fixture->now, fixture->now);
  }
}

// Guards against a coordinator that is cut off and takes every owner's keys away.
BOOST_AUTO_TEST_CASE(nobody_is_unresponsive_while_no_owner_answers) {
  for (const char* id : {"a", "b", "c"}) {
    Add(id, absl::ZeroDuration());
  }
  FailTwo(this, absl::Seconds(8));
  BOOST_TEST(directory.TakeNewlyUnresponsive(now).empty());
  BOOST_TEST(directory.TakeUnreachedServices().size() == 1U);
  BOOST_TEST((directory.NextUnresponsiveCheck(now) == absl::InfiniteFuture()));
  // An answer of a third one shows that the path is not cut.
  directory.RecordAnswer("c", {"c", 1}, now);
  BOOST_TEST(directory.TakeNewlyUnresponsive(now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(single_silent_owner_is_unresponsive_without_another_answer) {
  Add("a", absl::ZeroDuration());
  Add("b", absl::ZeroDuration());
  for (int i = 0; i < 4; ++i, now += absl::Milliseconds(400)) {
    directory.RecordFailure("a", false, now, now);
  }
  BOOST_TEST(directory.TakeNewlyUnresponsive(now).size() == 1U);
}

// Guards against owners that reject every request with free slots and keep their keys. With the
// owners of a third of all reads doing so for nine seconds, 0.044 of the requests were refused;
// 0.012 with the keys moved.
struct DecliningOwners {
  explicit DecliningOwners(int count) : directory(CoordinatorSettings{}) {
    for (int i = 0; i < count; ++i) {
      catalog::Backend backend;
      backend.id = "b-" + std::to_string(i);
      backend.service = "books";
      backend.address = {"10.0.0.1", static_cast<uint16_t>(100 + i)};
      backends.push_back(backend);
    }
    directory.Update({backends, {}}, {"books"}, now);
  }
  bool Decline(const std::string& id) {
    return directory.RecordDeclined(id, absl::Seconds(3), now);
  }
  bool Keeps(const std::string& id) const {
    for (const partition::PartitionBackend& backend : directory.ForPartitioner("books", {}, now)) {
      if (backend.id == id) {
        return backend.keeps && backend.accepts;
      }
    }
    return false;
  }

  Time now = absl::FromUnixSeconds(1000);
  BackendDirectory directory;
  std::vector<catalog::Backend> backends;
};

BOOST_AUTO_TEST_CASE(an_owner_that_declines_with_free_slots_loses_its_keys) {
  DecliningOwners owners(6);
  BOOST_TEST(!owners.Decline("b-0"));
  BOOST_TEST(owners.Keeps("b-0"));
  BOOST_TEST(owners.Decline("b-0"));
  BOOST_TEST(!owners.Keeps("b-0"));
  BOOST_TEST(owners.Keeps("b-1"));
  // Reported only once.
  BOOST_TEST(!owners.Decline("b-0"));
  owners.now += absl::Seconds(5);
  BOOST_TEST(owners.Keeps("b-0"));
}

BOOST_AUTO_TEST_CASE(repeated_declines_double_the_avoidance_time) {
  DecliningOwners owners(6);
  owners.Decline("b-0");
  owners.Decline("b-0");
  owners.now += absl::Seconds(6);
  owners.Decline("b-0");
  owners.Decline("b-0");
  owners.now += absl::Seconds(9);
  BOOST_TEST(!owners.Keeps("b-0"));
  owners.now += absl::Seconds(2);
  BOOST_TEST(owners.Keeps("b-0"));
}

BOOST_AUTO_TEST_CASE(an_owner_that_serves_most_requests_keeps_its_keys) {
  DecliningOwners owners(6);
  owners.directory.RecordServed("b-0", 40, owners.now);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!owners.Decline("b-0"));
  }
  BOOST_TEST(owners.Keeps("b-0"));
}

// If most back ends of a service decline, moving keys only moves the overload.
BOOST_AUTO_TEST_CASE(at_most_a_third_of_a_service_loses_keys) {
  DecliningOwners owners(6);
  for (const char* id : {"b-0", "b-1"}) {
    owners.Decline(id);
    owners.Decline(id);
    BOOST_TEST(!owners.Keeps(id));
  }
  owners.Decline("b-2");
  owners.Decline("b-2");
  for (const char* id : {"b-0", "b-1", "b-2"}) {
    BOOST_TEST(owners.Keeps(id));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
