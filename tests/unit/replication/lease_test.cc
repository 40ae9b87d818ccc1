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

  /// No leader believes earlier leases ended before they all have, also those that a leader gave
  /// away from its own and has forgotten since. Judged on true time.
  void CheckLeases() {
    for (const Process* process : cluster_.All()) {
      const Replica& replica = *process->replica;
      const Time local = cluster_.LocalTime(*process);
      Time& end =
          lease_end_of_term_.try_emplace(replica.term(), absl::InfinitePast()).first->second;
      const double slowest_clock = 1 - cluster_.timing.max_clock_drift / 2;
      if (replica.LeaseRemaining(local) > absl::ZeroDuration()) {
        end = std::max(end, cluster_.now() + replica.LeaseRemaining(local) / slowest_clock);
      }
    }
    for (const Process* process : cluster_.All()) {
      if (process->replica->role() == Role::kLeader) {
        CheckLeader(*process);
      }
    }
  }

  void CheckLeader(const Process& process) {
    const Duration wait = process.replica->earlier_lease_ends() - cluster_.LocalTime(process);
    const Time believed = cluster_.now() + wait / process.rate;
    for (const auto& [term, end] : lease_end_of_term_) {
      if (term < process.replica->term()) {
        BOOST_REQUIRE_MESSAGE(end <= believed,
                              "a lease of term " << term << " ends " << end - believed << " later");
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
  std::map<uint64_t, Time> lease_end_of_term_;
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
    } else if (draw < 0.35 && leader) {
      const NodeId alone = *leader;
      cluster_.network.is_cut = [=](NodeId from, NodeId to) {
        return from == alone || to == alone;
      };
    } else if (draw < 0.55) {
      cluster_.network.is_cut = [](NodeId, NodeId) { return false; };
    } else if (draw < 0.65 && leader) {
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

BOOST_AUTO_TEST_CASE(a_vote_reports_the_lease_of_a_leader_that_the_voter_never_heard) {
  const Time start = absl::UnixEpoch();
  GroupMembers members;
  members.voters.resize(3);
  for (uint64_t i = 0; i < members.voters.size(); ++i) {
    members.voters[i].id = NodeId(i + 1);
  }
  Replica voter({}, Start{GroupId(1), 1, members.voters[0], members, "", true}, 1, start,
                [] { return std::string(); });
  AppendRequest append;
  append.term = 3;
  append.earlier_lease_remaining = absl::Seconds(5);
  voter.Receive(NodeId(2), {GroupId(1), 1, append}, start);
  voter.TakeOutput();
  VoteRequest vote;
  vote.term = 4;
  vote.last_log_term = 3;
  vote.last_log_index = 9;
  voter.Receive(NodeId(3), {GroupId(1), 1, vote}, start + absl::Seconds(1));
  const Output output = voter.TakeOutput();
  BOOST_REQUIRE(output.messages.size() == 1U);
  const auto response = std::get<VoteResponse>(output.messages[0].message.body);
  BOOST_TEST(response.granted);
  BOOST_TEST((response.promise_remaining >= absl::Seconds(4)));
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
