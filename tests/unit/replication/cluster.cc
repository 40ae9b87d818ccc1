#include "cluster.h"

#include <algorithm>

#include "wire/codec.h"

namespace ladderstream::replication {

Cluster::Cluster(uint64_t seed, Timing given) : timing(given), random_(seed) {}

void Cluster::Found(size_t count, const std::string& initial_state) {
  GroupMembers members;
  for (size_t i = 0; i < count; ++i) {
    NodeDescriptor node;
    node.id = NodeId(next_id_++);
    members.voters.push_back(node);
  }
  for (const NodeDescriptor& node : members.voters) {
    Begin(node, members, true, initial_state);
  }
}

NodeId Cluster::Join() {
  NodeDescriptor node;
  node.id = NodeId(next_id_++);
  Begin(node, {}, false, "");
  return node.id;
}

void Cluster::Begin(const NodeDescriptor& node, const GroupMembers& members, bool founding,
                    const std::string& initial_state) {
  constexpr double kShareOfDrift = 0.49;  // So that any two clocks keep the bound.
  auto process = std::make_unique<Process>();
  Process* raw = process.get();
  raw->node = node;
  raw->offset = absl::Hours(Draw());
  raw->rate = 1 + timing.max_clock_drift * kShareOfDrift * (2 * Draw() - 1);
  Start start{GroupId(1), 1, node, members, initial_state, founding};
  raw->replica = std::make_unique<Replica>(timing, start, random_(), LocalTime(*raw),
                                           [raw] { return Encode(raw->applied); });
  processes_[node.id] = std::move(process);
  Drain(*raw);
}

void Cluster::Crash(NodeId id) { processes_.erase(id); }

void Cluster::Pause(NodeId id, Duration duration) { Get(id).paused_until = now_ + duration; }

Time Cluster::LocalTime(const Process& process) const {
  return absl::UnixEpoch() + process.offset + (now_ - absl::UnixEpoch()) * process.rate;
}

Time Cluster::NextTickAt(const Process& process) const {
  const Duration wait = process.replica->NextTick() - LocalTime(process);
  const Time due = now_ + std::max(wait / process.rate, absl::Microseconds(1));
  return std::max(due, process.paused_until);
}

void Cluster::Run(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    Step(end);
  }
}

bool Cluster::RunUntil(const std::function<bool()>& done, Duration limit) {
  const Time end = now_ + limit;
  while (now_ < end && !done()) {
    Step(end);
  }
  return done();
}

void Cluster::Step(Time until) {
  Process* due = nullptr;
  Time due_at = until;
  for (const auto& [id, process] : processes_) {
    const Time at = NextTickAt(*process);
    if (at < due_at) {
      due = process.get();
      due_at = at;
    }
  }
  if (!deliveries_.empty() && deliveries_.top().at <= due_at) {
    const Delivery delivery = deliveries_.top();
    deliveries_.pop();
    now_ = std::max(now_, delivery.at);
    const auto target = processes_.find(delivery.to);
    if (target != processes_.end() && target->second->paused_until > now_) {
      Delivery later = delivery;
      later.at = target->second->paused_until;
      deliveries_.push(later);
    } else {
      Deliver(delivery.from, delivery.to, delivery.message);
    }
  } else {
    now_ = due_at;
    if (due != nullptr) {
      due->replica->Tick(LocalTime(*due));
      Drain(*due);
    }
  }
  check();
}

void Cluster::Deliver(NodeId from, NodeId to, const ReplicationMessage& message) {
  const auto target = processes_.find(to);
  if (target == processes_.end()) {
    return;
  }
  Process& process = *target->second;
  process.replica->Receive(from, message, LocalTime(process));
  Drain(process);
}

void Cluster::Drain(Process& process) {
  Output output = process.replica->TakeOutput();
  if (output.install_snapshot) {
    process.applied = Decode<std::vector<std::string>>(*output.install_snapshot);
  }
  for (const LogEntry& entry : output.committed) {
    process.applied.push_back(entry.payload);
  }
  for (const OutgoingMessage& message : output.messages) {
    Send(process.node.id, message);
  }
}

void Cluster::Send(NodeId from, const OutgoingMessage& message) {
  if (network.is_cut(from, message.to.id) || Draw() < network.loss) {
    return;
  }
  Queue(from, message);
  if (Draw() < network.duplication) {
    Queue(from, message);
  }
}

void Cluster::Queue(NodeId from, const OutgoingMessage& message) {
  const Duration delay = network.delay_min + (network.delay_max - network.delay_min) * Draw();
  // Through the wire's bytes, as between real processes.
  const auto copy = Decode<ReplicationMessage>(Encode(message.message));
  deliveries_.push({now_ + delay, next_order_++, from, message.to.id, copy});
}

std::vector<Process*> Cluster::All() {
  std::vector<Process*> all;
  for (const auto& [id, process] : processes_) {
    all.push_back(process.get());
  }
  return all;
}

std::optional<NodeId> Cluster::Leader() {
  const Process* leader = nullptr;
  for (const Process* process : All()) {
    const bool is_newer = leader == nullptr || process->replica->term() > leader->replica->term();
    if (process->replica->LeaderIsReady() && is_newer) {
      leader = process;
    }
  }
  return leader == nullptr ? std::nullopt : std::optional(leader->node.id);
}

NodeId Cluster::AwaitLeader() {
  RunUntil([&] { return Leader().has_value(); });
  return Leader().value();
}

std::optional<uint64_t> Cluster::Propose(NodeId id, const std::string& payload) {
  const auto index = replica(id).Propose(payload, LocalNow(id));
  Drain(Get(id));
  return index;
}

bool Cluster::ProposeMembers(NodeId id, const GroupMembers& members) {
  const bool begun = replica(id).ProposeMembers(members, LocalNow(id));
  Drain(Get(id));
  return begun;
}

bool Cluster::Transfer(NodeId id) {
  const bool begun = replica(id).TransferLeadership(LocalNow(id));
  Drain(Get(id));
  return begun;
}

}  // namespace ladderstream::replication
