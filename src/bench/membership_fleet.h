// Many membership cores, one of which coordinates, over a simulated network, store and clock.
//
// Single-threaded. Messages go through the codec; bytes and the processor time of decisions and
// codec are counted for each node. Sockets, the kernel and the data path are not part of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/event_queue.h"
#include "bench/fleet_store.h"
#include "core/membership/membership.h"
#include "core/store/table_follower.h"
#include "wire/time.h"

namespace ladderstream::bench {

struct FleetSettings {
  size_t nodes = 11;
  size_t zones = 3;
  size_t regions = 1;
  /// One way.
  Duration zone_delay = absl::Microseconds(250);
  Duration region_delay = absl::Milliseconds(1);
  Duration far_delay = absl::Milliseconds(10);
  Duration store_delay = absl::Milliseconds(4);
  /// Distinct keys, and back ends with service times, in each report.
  size_t report_keys = 8;
  size_t report_backends = 8;
  size_t map_ranges = 100;
  size_t registered_backends = 100;
  uint64_t seed = 1;
};

/// What one node spent since the counts were last cleared.
struct NodeCosts {
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  /// With 40 bytes of headers for each message.
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t store_calls = 0;
  Duration processor_time;
};

class MembershipFleet {
 public:
  explicit MembershipFleet(const FleetSettings& settings);
  ~MembershipFleet();
  MembershipFleet(const MembershipFleet&) = delete;
  MembershipFleet& operator=(const MembershipFleet&) = delete;

  Time now() const { return events_.now(); }
  void Run(Duration duration) { events_.Run(duration); }
  /// Until `holds` for every live node, looked at each millisecond; gives the time that took, or
  /// `most`.
  Duration RunUntil(const std::function<bool(const membership::Membership&, size_t node)>& holds,
                    Duration most);

  void ForEachLive(
      const std::function<void(const membership::Membership&, size_t node)>& look) const;

  /// Writes a row of the configuration; gives the store's version.
  uint64_t ChangeConfiguration();
  bool HoldsConfiguration(size_t node, uint64_t version) const;
  /// The coordinator commits a map in which one range has another owner.
  ownership::MapVersion ChangeMap();
  /// These processes end. `refused`: their machines live on and refuse connections.
  void Kill(const std::vector<size_t>& nodes, bool refused);

  size_t coordinator() const { return coordinator_; }
  /// The nodes of the zone that this node is in.
  std::vector<size_t> ZoneOf(size_t node) const;
  void ClearCosts();
  const NodeCosts& CostsOf(size_t node) const;

 private:
  struct Node;
  /// Runs `work` at the node, counts its time, and then carries out what it asked for.
  void Visit(size_t node, const std::function<void()>& work);
  void CarryActions(size_t node);
  void PollStore(size_t node);
  void Call(size_t node, store::TableFollower* follower, const store::FollowerCall& call);
  void Send(size_t from, const membership::SendAction& send);
  void Deliver(size_t from, size_t to, const std::shared_ptr<const std::string>& bytes);
  void Wake(size_t node);
  void RenewLease();
  /// The node wins the lease, unless another one has it.
  void TakeLease(size_t node, uint64_t ended);
  Duration DelayBetween(size_t one, size_t other) const;
  membership::LoadReport MakeLoad();
  ownership::LeaseView Lease() const;

  FleetSettings settings_;
  EventQueue events_;
  std::unique_ptr<FleetStore> store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<Endpoint, size_t> by_address_;
  std::mt19937_64 random_;
  ownership::OwnershipMap map_;
  size_t coordinator_ = 0;
  uint64_t epoch_ = 1;
  bool lease_lost_ = false;
};

}  // namespace ladderstream::bench
