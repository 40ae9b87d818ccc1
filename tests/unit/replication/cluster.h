// Replicas on simulated time, clocks and network.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/replication/replica.h"

namespace ladderstream::replication {

/// One replica with its clock and what was applied at it.
struct Process {
  NodeDescriptor node;
  /// This clock shows offset + true time * rate.
  Duration offset = absl::ZeroDuration();
  double rate = 1;
  std::unique_ptr<Replica> replica;
  /// The payloads applied, in order; the snapshot holds them all.
  std::vector<std::string> applied;
  /// Until then nothing at this process runs, messages wait.
  Time paused_until = absl::InfinitePast();
};

struct Network {
  Duration delay_min = absl::Milliseconds(1);
  Duration delay_max = absl::Milliseconds(3);
  double loss = 0;
  double duplication = 0;
  /// Says whether a message from one node to another is dropped.
  std::function<bool(NodeId, NodeId)> is_cut = [](NodeId, NodeId) { return false; };
};

class Cluster {
 public:
  explicit Cluster(uint64_t seed, Timing timing = {});

  Network network;
  Timing timing;
  /// Called after each event.
  std::function<void()> check = [] {};

  /// Founds a group of `count` voters with ids 1 to count.
  void Found(size_t count, const std::string& initial_state = "");
  /// Starts an empty process that waits to be made a member.
  NodeId Join();
  void Crash(NodeId id);
  void Pause(NodeId id, Duration duration);

  void Run(Duration duration);
  /// Runs until `done`; false when it took longer than `limit`.
  bool RunUntil(const std::function<bool()>& done, Duration limit = absl::Seconds(10));

  Process& Get(NodeId id) { return *processes_.at(id); }
  Replica& replica(NodeId id) { return *Get(id).replica; }
  std::vector<Process*> All();
  /// The ready leader of the highest term.
  std::optional<NodeId> Leader();
  /// Runs until there is a ready leader.
  NodeId AwaitLeader();
  std::optional<uint64_t> Propose(NodeId id, const std::string& payload);
  bool ProposeMembers(NodeId id, const GroupMembers& members);
  bool Transfer(NodeId id);
  /// Hands a message to a replica at once.
  void Deliver(NodeId from, NodeId to, const ReplicationMessage& message);

  Time now() const { return now_; }
  Time LocalTime(const Process& process) const;
  Time LocalNow(NodeId id) { return LocalTime(Get(id)); }
  std::mt19937_64& random() { return random_; }
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

 private:
  struct Delivery {
    Time at;
    uint64_t order = 0;
    NodeId from;
    NodeId to;
    ReplicationMessage message;
    bool operator>(const Delivery& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void Begin(const NodeDescriptor& node, const GroupMembers& members, bool founding,
             const std::string& initial_state);
  Time NextTickAt(const Process& process) const;
  void Step(Time until);
  void Drain(Process& process);
  void Send(NodeId from, const OutgoingMessage& message);
  void Queue(NodeId from, const OutgoingMessage& message);

  Time now_ = absl::UnixEpoch();
  std::mt19937_64 random_;
  uint64_t next_id_ = 1;
  uint64_t next_order_ = 1;
  std::map<NodeId, std::unique_ptr<Process>> processes_;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries_;
};

}  // namespace ladderstream::replication
