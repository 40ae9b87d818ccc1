// What operators ask for: moves, drains, splits, new configurations, planned stops.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cluster.h"

namespace ladderstream::authority {
namespace {

const ServiceName kScripts("scripts");

ShardId Range(uint32_t range) { return {kScripts, RangeIndex(range), ""}; }

/// The index of the back end that serves the shard now.
size_t ServerOf(const Cluster& cluster, const ShardId& shard) {
  for (size_t i = 0; i < cluster.backends.size(); ++i) {
    if (cluster.backends[i].Serves(shard, cluster.now())) {
      return i;
    }
  }
  return cluster.backends.size();
}

BOOST_AUTO_TEST_SUITE(operation)

BOOST_AUTO_TEST_CASE(moved_shard_is_served_by_the_next_owner_within_a_short_gap) {
  RunningCluster cluster;
  const size_t owner = ServerOf(cluster, Range(5));
  const size_t next = owner == 0 ? 1 : 0;
  const RevokeShards move{{{Range(5), cluster.backends[next].configuration.id}}};
  BOOST_TEST((cluster.Propose(cluster.Follower(), move, absl::Seconds(1)) == ResultCode::kOk));
  BOOST_TEST(cluster.RunUntil([&] { return ServerOf(cluster, Range(5)) != owner; },
                              absl::Milliseconds(100)));
  const Time stopped = cluster.now();
  BOOST_TEST(cluster.RunUntil([&] { return ServerOf(cluster, Range(5)) == next; },
                              absl::Milliseconds(100)));
  BOOST_TEST_MESSAGE("gap of a planned move: " << absl::FormatDuration(cluster.now() - stopped));
  BOOST_TEST(cluster.two_owners == 0);
}

BOOST_AUTO_TEST_CASE(what_only_the_leader_knows_is_not_taken_from_others) {
  RunningCluster cluster;
  const SimulatedBackend& backend = cluster.backends[0];
  const ExpireBackend expire{backend.configuration.id, backend.incarnation};
  BOOST_TEST(
      (cluster.Propose(cluster.Follower(), expire, absl::Seconds(1)) == ResultCode::kMoveRefused));
  BOOST_TEST(!cluster.ServedBy(0).empty());
}

BOOST_AUTO_TEST_CASE(move_to_a_lost_owner_falls_back_to_placement) {
  RunningCluster cluster;
  const size_t owner = ServerOf(cluster, Range(5));
  const size_t lost = owner == 0 ? 1 : 0;
  cluster.backends[lost].alive = false;
  const RevokeShards move{{{Range(5), cluster.backends[lost].configuration.id}}};
  cluster.Propose(cluster.Follower(), move, absl::Seconds(1));
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllServed(); }, absl::Seconds(2)));
  BOOST_TEST(cluster.two_owners == 0);
}

BOOST_AUTO_TEST_CASE(owner_lost_in_the_middle_of_a_move) {
  RunningCluster cluster;
  const size_t owner = ServerOf(cluster, Range(5));
  const RevokeShards move{{{Range(5), cluster.backends[owner == 0 ? 1 : 0].configuration.id}}};
  cluster.backends[owner].frozen = true;
  BOOST_TEST((cluster.Propose(0, move, absl::Seconds(1)) == ResultCode::kOk));
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllServed(); }, absl::Seconds(2)));
  cluster.backends[owner].frozen = false;
  cluster.Run(absl::Seconds(2));
  BOOST_TEST(cluster.two_owners == 0);
}

BOOST_AUTO_TEST_CASE(leaving_back_end_gives_all_up_and_gets_nothing) {
  RunningCluster cluster;
  cluster.backends[1].leaving = true;
  BOOST_TEST(cluster.RunUntil([&] { return cluster.ServedBy(1).empty(); }, absl::Seconds(2)));
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllServed(); }, absl::Milliseconds(200)));
  cluster.Run(absl::Seconds(5));
  BOOST_TEST(cluster.ServedBy(1).empty());
  const auto routing = cluster.nodes[0].authority->routing_state(cluster.now());
  const auto draining = std::count_if(routing.homes.begin(), routing.homes.end(),
                                      [](const BackendHome& home) { return home.draining; });
  BOOST_TEST(draining == 1);
}

BOOST_AUTO_TEST_CASE(split_key_can_move_alone) {
  RunningCluster cluster;
  const ShardId key{kScripts, RangeIndex(5), "hot"};
  const size_t owner = ServerOf(cluster, Range(5));
  const size_t next = owner == 0 ? 1 : 0;
  BOOST_TEST((cluster.Propose(0, SplitKey{key}, absl::Seconds(1)) == ResultCode::kOk));
  BOOST_TEST(
      cluster.RunUntil([&] { return ServerOf(cluster, key) == owner; }, absl::Milliseconds(100)));
  const RevokeShards move{{{key, cluster.backends[next].configuration.id}}};
  BOOST_TEST((cluster.Propose(0, move, absl::Seconds(1)) == ResultCode::kOk));
  BOOST_TEST(
      cluster.RunUntil([&] { return ServerOf(cluster, key) == next; }, absl::Milliseconds(200)));
  BOOST_TEST(ServerOf(cluster, Range(5)) == owner);
}

BOOST_AUTO_TEST_CASE(removed_service_leaves_the_others_alone) {
  RunningCluster cluster;
  cluster.AddBackend("boards", "brest");
  cluster.Configure({KeyedService("scripts", 16), KeyedService("boards", 4)});
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllServed(); }, absl::Seconds(5)));
  const auto before = cluster.ServedBy(0);
  cluster.Configure({KeyedService("scripts", 16)});
  BOOST_TEST(cluster.RunUntil([&] { return cluster.ServedBy(4).empty(); }, absl::Seconds(5)));
  BOOST_TEST(cluster.AllServed());
  BOOST_TEST((cluster.ServedBy(0) == before));
}

BOOST_AUTO_TEST_CASE(back_ends_declared_one_after_another_share_the_first_assignment) {
  RunningCluster cluster;
  const size_t first = cluster.backends.size();
  constexpr size_t kBoards = 4;
  for (size_t i = 0; i < kBoards; ++i) {
    cluster.AddBackend("boards", "brest");
    cluster.Configure({KeyedService("scripts", 16), KeyedService("boards", 16)});
    const auto result = cluster.Propose(
        *cluster.Leader(), AdoptConfiguration{cluster.configuration}, absl::Seconds(1));
    BOOST_TEST((result == ResultCode::kOk));
    cluster.Run(absl::Milliseconds(150));
  }
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllServed(); }, absl::Seconds(3)));
  for (size_t i = first; i < first + kBoards; ++i) {
    BOOST_TEST(cluster.ServedBy(i).size() == 4U);
  }
}

BOOST_AUTO_TEST_CASE(leader_that_stops_hands_over_and_may_stop) {
  RunningCluster cluster;
  cluster.StartNode("rennes");
  cluster.Run(absl::Seconds(3));
  const size_t old = *cluster.Leader();
  cluster.Stop(old);
  int unserved = 0;
  BOOST_TEST(cluster.RunUntil(
      [&] {
        unserved += cluster.AllServed() ? 0 : 1;
        return cluster.nodes[old].may_stop;
      },
      absl::Seconds(5)));
  BOOST_TEST(unserved == 0);
  const auto leader = cluster.Leader();
  BOOST_REQUIRE(leader.has_value());
  BOOST_TEST(*leader != old);
  const auto status = cluster.nodes[*leader].authority->status(cluster.now());
  BOOST_TEST(status.members.voters.size() == 3U);
  const auto routing = cluster.nodes[*leader].authority->routing_state(cluster.now());
  const NodeId gone = cluster.nodes[old].descriptor.id;
  BOOST_TEST(std::none_of(routing.homes.begin(), routing.homes.end(),
                          [&](const BackendHome& home) { return home.home.id == gone; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::authority
