// The leader's lease is over everywhere before a later leader believes so.
#include "core/replication/lease.h"

#include <boost/test/unit_test.hpp>

#include "cluster.h"

namespace ladderstream::replication {
namespace {

/// The condition that the whole design rests on, and Raft's own, checked after each event.
class SafetyCheck {
 public:
  explicit SafetyCheck(Cluster& cluster) : cluster_(cluster) {}

  void operator()() {
    CheckOneLeaderPerTerm();
    CheckLeases();
    CheckAppliedAgree();
  }

  uint64_t handovers() const { return leader_of_term_.size(); }

 private:
  void CheckOneLeaderPerTerm() {
    for (const Process* process : cluster_.All()) {
      if (process->replica->role() == Role::kLeader) {
        const auto [known, is_new] =
            leader_of_term_.emplace(process->replica->term(), process->node.id);
        BOOST_REQUIRE((known->second == process->node.id));
      }
    }
  }

  /// No leader past its earlier_lease_ends while one of a lower term still holds a lease.
  void CheckLeases() {
    for (const Process* later : cluster_.All()) {
      const bool may_reassign = later->replica->LeaderIsReady() &&
                                later->replica->earlier_lease_ends() <= cluster_.LocalTime(*later);
      for (const Process* earlier : cluster_.All()) {
        if (may_reassign && earlier->replica->term() < later->replica->term()) {
          BOOST_REQUIRE((earlier->replica->LeaseRemaining(cluster_.LocalTime(*earlier)) ==
                         absl::ZeroDuration()));
        }
      }
    }
  }

  void CheckAppliedAgree() {
    for (const Process* process : cluster_.All()) {
      const auto& applied = process->applied;
      const size_t common = std::min(applied.size(), longest_.size());
      if (common > 0) {
        BOOST_REQUIRE(applied[common - 1] == longest_[common - 1]);
      }
      if (applied.size() > longest_.size()) {
        longest_ = applied;
      }
    }
  }

  Cluster& cluster_;
  std::map<uint64_t, NodeId> leader_of_term_;
  std::vector<std::string> longest_;
};

/// Random faults, proposals and replacements of members.
class RandomSchedule {
 public:
  explicit RandomSchedule(Cluster& cluster) : cluster_(cluster) {}

  void Step() {
    const auto leader = cluster_.Leader();
    if (leader) {
      cluster_.Propose(*leader, std::to_string(next_payload_++));
      ChangeMembers(*leader);
    }
    const double draw = cluster_.Draw();
    if (draw < 0.1) {
      cluster_.Pause(AnyProcess(), absl::Milliseconds(2000) * cluster_.Draw());
    } else if (draw < 0.2) {
      CutSomeLinks();
    } else if (draw < 0.4) {
      cluster_.network.is_cut = [](NodeId, NodeId) { return false; };
    } else if (draw < 0.5 && leader) {
      cluster_.Transfer(*leader);
    }
    cluster_.Run(absl::Milliseconds(300) * cluster_.Draw());
  }

 private:
  NodeId AnyProcess() {
    const auto all = cluster_.All();
    return all[cluster_.random()() % all.size()]->node.id;
  }

  void CutSomeLinks() {
    std::set<std::pair<NodeId, NodeId>> cut;
    for (const Process* from : cluster_.All()) {
      for (const Process* to : cluster_.All()) {
        if (cluster_.Draw() < 0.3) {
          cut.emplace(from->node.id, to->node.id);
        }
      }
    }
    cluster_.network.is_cut = [cut](NodeId from, NodeId to) {
      return cut.contains(std::pair(from, to));
    };
  }

  /// Keeps three to five voters, and replaces one at a time by an empty newcomer.
  void ChangeMembers(NodeId leader) {
    GroupMembers members = cluster_.replica(leader).members();
    if (!members.learners.empty()) {
      if (cluster_.replica(leader).IsCaughtUp(members.learners.back().id)) {
        members.voters.push_back(members.learners.back());
        members.learners.pop_back();
        cluster_.ProposeMembers(leader, members);
      }
      return;
    }
    if (members.voters.size() > 3) {
      RemoveVoter(leader, members);
    } else if (cluster_.All().size() < 6) {
      NodeDescriptor node;
      node.id = cluster_.Join();
      members.learners.push_back(node);
      if (!cluster_.ProposeMembers(leader, members)) {
        cluster_.Crash(node.id);
      }
    }
  }

  void RemoveVoter(NodeId leader, GroupMembers members) {
    const NodeId gone = members.voters[cluster_.random()() % members.voters.size()].id;
    std::erase_if(members.voters, [&](const NodeDescriptor& node) { return node.id == gone; });
    if (cluster_.ProposeMembers(leader, members)) {
      removed_.push_back(gone);
    }
    for (const NodeId id : removed_) {
      const bool is_member = cluster_.replica(leader).MembersChangeUnderWay();
      if (!is_member && id != leader && cluster_.Draw() < 0.5) {
        cluster_.Crash(id);
      }
    }
  }

  Cluster& cluster_;
  uint64_t next_payload_ = 1;
  std::vector<NodeId> removed_;
};

BOOST_AUTO_TEST_SUITE(lease)

BOOST_AUTO_TEST_CASE(a_late_acknowledgement_counts_from_the_sending) {
  const Timing timing;
  LeaderRounds rounds(timing);
  const Time start = absl::UnixEpoch();
  const uint64_t round = rounds.Begin(start);
  rounds.Begin(start + absl::Milliseconds(500));
  BOOST_TEST((rounds.SentAt(round) == start));
  BOOST_TEST((LeaseEnd(timing, rounds.SentAt(round)) == start + timing.leader_lease * 0.99));
  BOOST_TEST((rounds.SentAt(round + 9) == absl::InfinitePast()));
}

BOOST_AUTO_TEST_CASE(a_promise_never_shrinks) {
  const Timing timing;
  LeasePromise promise(timing);
  const Time start = absl::UnixEpoch();
  promise.Renew(start, absl::Seconds(5));
  promise.Renew(start + absl::Milliseconds(1), absl::ZeroDuration());
  BOOST_TEST((promise.Remaining(start + absl::Seconds(4)) > absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(the_majority_of_an_even_group_is_more_than_half) {
  const Time start = absl::UnixEpoch();
  const auto at = [&](int ms) { return start + absl::Milliseconds(ms); };
  BOOST_TEST((ReachedByMajority({at(4), at(3), at(2), at(1)}) == at(2)));
  BOOST_TEST((ReachedByMajority({at(1), at(3), at(2)}) == at(2)));
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_the_old_ones_lease) {
  Cluster cluster(20);
  cluster.Found(3);
  const NodeId first = cluster.AwaitLeader();
  cluster.Run(absl::Milliseconds(500));
  cluster.network.is_cut = [&](NodeId from, NodeId to) { return from == first || to == first; };
  const auto replaced = [&] { return cluster.Leader() && cluster.Leader() != first; };
  BOOST_TEST(cluster.RunUntil(replaced));
  const NodeId second = *cluster.Leader();
  BOOST_TEST((cluster.replica(second).earlier_lease_ends() > cluster.LocalNow(second)));
  const auto ended = [&] {
    return cluster.replica(first).LeaseRemaining(cluster.LocalNow(first)) == absl::ZeroDuration();
  };
  BOOST_TEST(cluster.RunUntil(ended));
  BOOST_TEST((cluster.replica(second).earlier_lease_ends() > cluster.LocalNow(second)));
}

BOOST_AUTO_TEST_CASE(random_schedules_keep_leases_apart) {
  constexpr uint64_t kSeeds = 60;
  constexpr int kSteps = 150;
  uint64_t handovers = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Timing timing;
      timing.max_log_entries = 32;
      Cluster cluster(seed, timing);
      cluster.network.loss = 0.05;
      cluster.network.duplication = 0.05;
      cluster.network.delay_max = absl::Milliseconds(60);
      cluster.Found(3);
      SafetyCheck check(cluster);
      cluster.check = [&] { check(); };
      RandomSchedule schedule(cluster);
      for (int i = 0; i < kSteps; ++i) {
        schedule.Step();
      }
      handovers += check.handovers();
    }
  }
  BOOST_TEST(handovers > 2 * kSeeds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::replication
