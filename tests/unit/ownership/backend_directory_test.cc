// Who may be given keys, and who may keep them, as the partitioner is told.
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
    directory.Update(backends, {"books"});
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

BOOST_AUTO_TEST_CASE(cold_back_ends_own_the_keys_when_nobody_is_warm) {
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
  BOOST_TEST(directory.Update(backends, {"books"}).any);
  BOOST_TEST(!directory.Update(backends, {"books"}).any);
  BOOST_TEST(!directory.Accepts("a"));
  backends.front().evacuated = false;
  BOOST_TEST(directory.Update(backends, {"books"}).any);
  BOOST_TEST(directory.Keeps("a"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
