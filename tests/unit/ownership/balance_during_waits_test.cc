// Checks that balancing continues while the holds of unresponsive owners are waited out.
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>

#include "coordinator_harness.h"

namespace ladderstream::ownership {
namespace {

constexpr size_t kBackends = 40;
/// More than the limit of concurrent balancing moves, and fewer than half of all back ends.
constexpr size_t kUnresponsive = 18;

BOOST_AUTO_TEST_CASE(KeysOfUnresponsiveOwnersDoNotBlockOtherMoves) {
  ModelStore store;
  Harness node(&store, 1, 1, absl::UnixEpoch());
  BOOST_REQUIRE(kUnresponsive > node.settings.partition_weights.max_moves);
  std::vector<std::string> ids;
  ids.reserve(kBackends);
  for (size_t i = 0; i < kBackends; ++i) {
    ids.push_back(absl::StrCat("b", 10 + i));
  }
  node.Settle(ids);
  // Every second one, since the published map joins neighbouring ranges that move.
  for (size_t i = 0; i < kUnresponsive; ++i) {
    node.unresponsive.insert(ids[2 * i]);
  }
  // Long enough for the owners to count as unresponsive, and well before their holds end.
  node.Run(node.settings.hold_renewal + node.settings.unresponsive_timeout +
           node.settings.partition_interval * 2);
  BOOST_REQUIRE(node.published.services.at(Harness::kService).moving.size() >=
                node.settings.partition_weights.max_moves);

  BOOST_REQUIRE(node.OwnerOf(kLastKey) == ids.back());
  partition::Script().next = {{{kLastKey, kLastKey}, ids[1]}};
  node.Run(node.settings.partition_interval * 2);

  BOOST_TEST(node.OwnerOf(kLastKey) == ids[1]);
  BOOST_TEST(!node.IsMoving(kLastKey));
}

}  // namespace
}  // namespace ladderstream::ownership
