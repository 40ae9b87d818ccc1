// One run of a node: an Authority, the timers and messages around it, and routing by its state.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "simulation/environment.h"
#include "simulation/table_service.h"

namespace ladderstream::simulation {

/// What a node calls in the rest of the simulation.
class NodePeers {
 public:
  virtual ~NodePeers() = default;
  virtual void SendFrame(HostId from, const NodeDescriptor& to, const PeerFrame& frame) = 0;
  virtual void PushGrants(HostId from, const authority::PushGrants& push) = 0;
  virtual void NoteRoutingChanged(HostId node) = 0;
};

class NodeProcess {
 public:
  NodeProcess(Environment& environment, NodePeers& peers, TableService& table, HostId host,
              const authority::AuthoritySettings& settings);

  /// `seeds` are the addresses of the settings file.
  void Start(const std::vector<NodeDescriptor>& seeds);
  void Receive(const PeerFrame& frame);
  void RequestLease(const LeaseRequest& request, std::function<void(const LeaseResponse&)> answer);
  /// Takes what the node's data path saw since the last call.
  void ObserveLoad(const authority::LoadObserved& load) { Handle(load); }
  void Propose(const Command& command, std::function<void(const ProposalResult&)> answer);
  void RunTransaction(const authority::StoreTransaction& transaction,
                      const std::function<void(const StoreResult&)>& answer);

  HostId host() const { return host_; }
  NodeId id() const { return settings_.self.id; }
  authority::RoutingState Routing() const;
  authority::AuthorityStatus Status() const;
  Time LocalNow() const { return environment_.LocalTime(host_); }

 private:
  void Handle(const authority::Event& event);
  void Tick(uint64_t number);
  void Finish(std::vector<authority::Action> actions);
  void ScheduleTick();
  void Carry(const authority::Action& action);

  Environment& environment_;
  NodePeers& peers_;
  TableService& table_;
  HostId host_;
  authority::AuthoritySettings settings_;
  std::unique_ptr<authority::Authority> authority_;
  uint64_t next_correlation_ = 1;
  uint64_t tick_number_ = 0;
  std::map<uint64_t, std::function<void(const LeaseResponse&)>> lease_answers_;
  std::map<uint64_t, std::function<void(const ProposalResult&)>> proposal_answers_;
};

}  // namespace ladderstream::simulation
