// Elections, replication, snapshots and membership of a group of replicas.
#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "wire/codec.h"
#include "wire/result_code.h"

namespace ladderstream::replication {
namespace {

bool AllApplied(Cluster& cluster, size_t count) {
  for (const Process* process : cluster.All()) {
    if (process->applied.size() != count) {
      return false;
    }
  }
  return true;
}

GroupMembers WithLearner(GroupMembers members, NodeId id) {
  NodeDescriptor node;
  node.id = id;
  members.learners.push_back(node);
  return members;
}

GroupMembers Promoted(GroupMembers members) {
  members.voters.push_back(members.learners.back());
  members.learners.pop_back();
  return members;
}

GroupMembers WithoutVoter(GroupMembers members, NodeId id) {
  std::erase_if(members.voters, [&](const NodeDescriptor& node) { return node.id == id; });
  return members;
}

/// Any voter that does not lead.
NodeId SomeFollower(Cluster& cluster, NodeId leader) {
  for (const NodeDescriptor& node : cluster.replica(leader).members().voters) {
    if (node.id != leader) {
      return node.id;
    }
  }
  throw std::logic_error("no follower");
}

BOOST_AUTO_TEST_SUITE(replica)

BOOST_AUTO_TEST_CASE(timing_that_does_not_fit_is_refused_with_every_fault) {
  Timing timing;
  CheckTiming(timing);
  timing.leader_lease = absl::Milliseconds(400);
  timing.election_timeout_min = timing.heartbeat_interval;
  const auto names_both = [](const Error& error) {
    const std::string text = error.what();
    return error.code() == ResultCode::kInconsistentSettings &&
           text.find("leader_lease") != std::string::npos &&
           text.find("election_timeout_min") != std::string::npos;
  };
  BOOST_CHECK_EXCEPTION(CheckTiming(timing), Error, names_both);
}

BOOST_AUTO_TEST_CASE(single_founder_leads_and_commits_by_itself) {
  Cluster cluster(1);
  cluster.Found(1);
  const NodeId leader = cluster.AwaitLeader();
  BOOST_TEST(cluster.Propose(leader, "a").has_value());
  BOOST_TEST(cluster.Get(leader).applied == std::vector<std::string>{"a"});
  BOOST_TEST(
      (cluster.replica(leader).LeaseRemaining(cluster.LocalNow(leader)) > absl::ZeroDuration()));
  cluster.Run(absl::Seconds(5));
  BOOST_TEST((cluster.Leader() == leader));
}

BOOST_AUTO_TEST_CASE(founders_begin_with_the_initial_state) {
  Cluster cluster(2);
  cluster.Found(3, Encode(std::vector<std::string>{"kept"}));
  const NodeId leader = cluster.AwaitLeader();
  cluster.Propose(leader, "new");
  BOOST_TEST(cluster.RunUntil([&] { return AllApplied(cluster, 2); }));
  for (const Process* process : cluster.All()) {
    BOOST_TEST(process->applied.front() == "kept");
  }
}

BOOST_AUTO_TEST_CASE(three_founders_agree_despite_loss_and_duplication) {
  Cluster cluster(3);
  cluster.network.loss = 0.2;
  cluster.network.duplication = 0.2;
  cluster.Found(3);
  size_t accepted = 0;
  while (accepted < 50) {
    accepted += cluster.Propose(cluster.AwaitLeader(), std::to_string(accepted)) ? 1 : 0;
    cluster.Run(absl::Milliseconds(20));
  }
  cluster.network.loss = 0;
  cluster.Run(absl::Seconds(2));
  const auto all = cluster.All();
  BOOST_TEST(all[0]->applied == all[1]->applied);
  BOOST_TEST(all[0]->applied == all[2]->applied);
  BOOST_TEST(all[0]->applied.size() > 0U);
}

BOOST_AUTO_TEST_CASE(another_leader_follows_a_lost_one_within_a_second) {
  Cluster cluster(4);
  cluster.Found(3);
  const NodeId first = cluster.AwaitLeader();
  cluster.Propose(first, "a");
  cluster.Run(absl::Milliseconds(50));
  cluster.Crash(first);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.Leader().has_value(); }, absl::Seconds(1)));
  BOOST_TEST(cluster.Get(*cluster.Leader()).applied == std::vector<std::string>{"a"});
}

BOOST_AUTO_TEST_CASE(a_voter_cut_off_for_a_while_does_not_depose_the_leader) {
  Cluster cluster(5);
  cluster.Found(3);
  const NodeId leader = cluster.AwaitLeader();
  const uint64_t term = cluster.replica(leader).term();
  const NodeId cut = SomeFollower(cluster, leader);
  cluster.network.is_cut = [&](NodeId from, NodeId to) { return from == cut || to == cut; };
  cluster.Run(absl::Seconds(5));
  cluster.network.is_cut = [](NodeId, NodeId) { return false; };
  cluster.Run(absl::Seconds(5));
  BOOST_TEST((cluster.Leader() == leader));
  BOOST_TEST(cluster.replica(leader).term() == term);
}

BOOST_AUTO_TEST_CASE(a_leader_that_hears_nobody_steps_down) {
  Cluster cluster(6);
  cluster.Found(3);
  const NodeId leader = cluster.AwaitLeader();
  cluster.network.is_cut = [&](NodeId, NodeId to) { return to == leader; };
  const auto replaced = [&] {
    return cluster.replica(leader).role() != Role::kLeader && cluster.Leader().has_value();
  };
  BOOST_TEST(cluster.RunUntil(replaced, absl::Seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_learner_gets_a_snapshot_and_becomes_a_voter) {
  Cluster cluster(7);
  cluster.Found(1);
  const NodeId leader = cluster.AwaitLeader();
  cluster.Propose(leader, "a");
  const NodeId joined = cluster.Join();
  BOOST_TEST(
      cluster.ProposeMembers(leader, WithLearner(cluster.replica(leader).members(), joined)));
  BOOST_TEST(cluster.RunUntil([&] { return cluster.replica(leader).IsCaughtUp(joined); }));
  const auto is_learner = [&] { return cluster.replica(joined).role() == Role::kLearner; };
  BOOST_TEST(cluster.RunUntil(is_learner));
  BOOST_TEST(cluster.Get(joined).applied == std::vector<std::string>{"a"});
  BOOST_TEST(cluster.ProposeMembers(leader, Promoted(cluster.replica(leader).members())));
  BOOST_TEST(cluster.RunUntil([&] { return !cluster.replica(leader).MembersChangeUnderWay(); }));
  BOOST_TEST((cluster.replica(joined).role() == Role::kFollower));
}

BOOST_AUTO_TEST_CASE(membership_changes_by_one_voter_and_one_at_a_time) {
  Cluster cluster(8);
  cluster.Found(3);
  const NodeId leader = cluster.AwaitLeader();
  GroupMembers members = cluster.replica(leader).members();
  GroupMembers two_less = members;
  two_less.voters.resize(1);
  BOOST_TEST(!cluster.ProposeMembers(leader, two_less));
  const NodeId removed = SomeFollower(cluster, leader);
  BOOST_TEST(!cluster.ProposeMembers(removed, WithoutVoter(members, removed)));
  BOOST_TEST(cluster.ProposeMembers(leader, WithoutVoter(members, removed)));
  BOOST_TEST(!cluster.ProposeMembers(leader, members));
  BOOST_TEST(cluster.RunUntil([&] { return !cluster.replica(leader).MembersChangeUnderWay(); }));
}

BOOST_AUTO_TEST_CASE(a_leader_that_removes_itself_leaves_when_that_is_committed) {
  Cluster cluster(9);
  cluster.Found(3);
  const NodeId leader = cluster.AwaitLeader();
  BOOST_TEST(
      cluster.ProposeMembers(leader, WithoutVoter(cluster.replica(leader).members(), leader)));
  const auto replaced = [&] { return cluster.Leader() && cluster.Leader() != leader; };
  BOOST_TEST(cluster.RunUntil(replaced));
  BOOST_TEST((cluster.replica(leader).role() == Role::kIdle));
  BOOST_TEST(cluster.replica(*cluster.Leader()).members().voters.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_voter_behind_a_truncated_log_gets_a_snapshot) {
  Timing timing;
  timing.max_log_entries = 20;
  Cluster cluster(10, timing);
  cluster.Found(3);
  const NodeId leader = cluster.AwaitLeader();
  const NodeId cut = SomeFollower(cluster, leader);
  cluster.network.is_cut = [&](NodeId from, NodeId to) { return from == cut || to == cut; };
  for (int i = 0; i < 100; ++i) {
    cluster.Propose(leader, std::to_string(i));
    cluster.Run(absl::Milliseconds(5));
  }
  cluster.network.is_cut = [](NodeId, NodeId) { return false; };
  BOOST_TEST(cluster.RunUntil([&] { return AllApplied(cluster, 100); }));
  BOOST_TEST(cluster.Get(cut).applied == cluster.Get(leader).applied);
}

BOOST_AUTO_TEST_CASE(leadership_is_handed_over_without_waiting_for_a_time_out) {
  Cluster cluster(11);
  cluster.Found(3);
  const NodeId leader = cluster.AwaitLeader();
  cluster.Run(absl::Milliseconds(200));
  BOOST_TEST(cluster.Transfer(leader));
  BOOST_TEST(!cluster.Propose(leader, "while handing over").has_value());
  const auto replaced = [&] { return cluster.Leader() && cluster.Leader() != leader; };
  BOOST_TEST(cluster.RunUntil(replaced, absl::Milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(messages_of_another_group_or_generation_change_nothing) {
  Cluster cluster(12);
  cluster.Found(3);
  const NodeId leader = cluster.AwaitLeader();
  const NodeId other = SomeFollower(cluster, leader);
  AppendRequest stranger;
  stranger.term = 99;
  cluster.Deliver(other, leader, {GroupId(2), 1, stranger});
  cluster.Deliver(other, leader, {GroupId(1), 2, stranger});
  BOOST_TEST((cluster.replica(leader).role() == Role::kLeader));
  cluster.Deliver(other, leader, {GroupId(1), 1, stranger});
  BOOST_TEST((cluster.replica(leader).role() == Role::kFollower));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::replication
