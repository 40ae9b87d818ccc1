// A whole service names limits: nobody has room for the others' keys, and moving them would only
// cost. Its back ends say so within half a second of each other, in which those that have not yet
// said so look as if they had room: plays of such a service moved 0.7 to 0.9 times all keys, where
// 0.15 had been moved without limits.
#include <boost/test/unit_test.hpp>

#include "core/ownership/backend_directory.h"
#include "service_fixture.h"

namespace ladderstream::partition {
namespace {

constexpr uint32_t kBackends = 14;
constexpr double kAskedPerSecond = 170;
constexpr double kLimit = 4.7;
/// In which all back ends have come to name their limits.
constexpr Duration kStagger = absl::Milliseconds(600);
constexpr Duration kStep = ServiceFixture::kInterval;

struct LimitedService : ServiceFixture {
  LimitedService() : ServiceFixture(kBackends), directory(ownership::CoordinatorSettings()) {
    std::vector<catalog::Backend> registered;
    for (const PartitionBackend& backend : backends) {
      catalog::Backend row;
      row.id = backend.id;
      row.service = "scripts";
      row.slots = backend.slots;
      row.address = {"10.0.0.1", static_cast<uint16_t>(1000 + registered.size())};
      registered.push_back(row);
    }
    directory.Update({registered, {}}, {"scripts"}, absl::UnixEpoch());
  }

  /// Plays `steps`; back end after back end has a limit, or none, from `first` on. The share of all
  /// keys that moved.
  double Play(int steps, double limit, size_t limited) {
    double moved = 0;
    for (int step = 0; step < steps; ++step) {
      const double share = absl::FDivDuration(kStep * (step + 1), kStagger);
      const auto changed = std::min<size_t>(kBackends, static_cast<size_t>(share * kBackends));
      std::map<std::string, double> limits;
      for (size_t i = 0; i < kBackends; ++i) {
        if ((i < changed) == (limited == kBackends) && limit > 0) {
          limits[backends[i].id] = limit;
        }
      }
      directory.SetRateLimits(limits, now);
      backends = directory.ForPartitioner("scripts", {}, now);
      moved += KeysOf(Run(Even(kAskedPerSecond), kStep)) / (ownership::kLastKey + 1);
    }
    return moved;
  }

  ownership::BackendDirectory directory;
};

constexpr int kSettling = 40;
constexpr int kEpisode = 40;

BOOST_FIXTURE_TEST_SUITE(limited_partition, LimitedService)

BOOST_AUTO_TEST_CASE(a_service_that_names_limits_as_a_whole_keeps_its_keys) {
  Play(kSettling, 0, 0);
  const double calm = Play(kEpisode, 0, 0);
  BOOST_TEST_MESSAGE("calm " << calm);
  // It begins, and ends.
  const double begun = Play(kEpisode, kLimit, kBackends);
  const double ended = Play(kEpisode, kLimit, 0);
  BOOST_TEST_MESSAGE("begun " << begun << ", ended " << ended);
  BOOST_TEST(begun <= calm + 0.02);
  BOOST_TEST(ended <= calm + 0.02);
}

BOOST_AUTO_TEST_CASE(one_that_goes_on_naming_its_limit_gives_keys_away) {
  Play(kSettling, 0, 0);
  const std::string id = backends.front().id;
  for (int step = 0; step < kEpisode; ++step) {
    directory.SetRateLimits({{id, kLimit}}, now);
    backends = directory.ForPartitioner("scripts", {}, now);
    Run(Even(kAskedPerSecond), kStep);
  }
  BOOST_TEST(Loads(Even(kAskedPerSecond))[id] < kLimit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::partition
