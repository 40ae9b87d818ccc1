// One run of a back end: asks for its lease, applies grant sets, serves requests under its grants.
//
// Follows docs/design/001: the lease counts from the sending of its request; a set is reported as
// applied once nothing outside of it runs any more.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "simulation/environment.h"
#include "wire/configuration.h"
#include "wire/ownership.h"

namespace ladderstream::simulation {

/// One attempt at a back end.
struct BackendRequest {
  uint64_t id = 0;
  ServiceName service;
  std::string key;
  RangeIndex range;
  GrantToken token;
};

/// What a back end calls in the rest of the simulation.
class BackendPeers {
 public:
  virtual ~BackendPeers() = default;
  /// Sends a lease request to a node; another `choice` is another node.
  virtual void AskForLease(HostId backend, uint64_t choice, const LeaseRequest& request,
                           std::function<void(const LeaseResponse&)> answer) = 0;
  virtual void NoteRun(uint64_t request_id) = 0;
};

class BackendProcess {
 public:
  BackendProcess(Environment& environment, BackendPeers& peers, HostId host, BackendId id);

  void Start();
  /// A hint of a newer set.
  void ReceivePush(const GrantSet& grants);
  /// Runs the request and then calls `done`; gives false, at once, when it surely does not run it.
  bool Serve(const BackendRequest& request, std::function<void()> done);

  const BackendId& id() const { return id_; }
  HostId host() const { return host_; }
  /// Whether its lease holds now, by its own clock.
  bool HasLease() const;
  const GrantSet& held() const { return held_; }

 private:
  void Ask();
  void OnAnswer(uint64_t attempt, Time sent, const LeaseResponse& response);
  void Apply(const GrantSet& grants);
  const Grant* FindGrant(const BackendRequest& request) const;
  /// Gives the newest set outside of which nothing runs.
  GrantToken AppliedVersion() const;
  void AskAfter(Duration delay);

  Environment& environment_;
  BackendPeers& peers_;
  HostId host_;
  BackendId id_;
  BackendIncarnation incarnation_;
  GrantSet held_;
  Time lease_until_ = absl::InfinitePast();
  /// Requests that run, by id.
  std::map<uint64_t, GrantToken> running_;
  /// The version reported before requests outside of `held_` had ended.
  GrantToken applied_;
  uint64_t node_choice_ = 0;
  /// Counts requests for the lease.
  uint64_t attempt_ = 0;
  bool awaiting_ = false;
  uint64_t ask_ = 0;
};

}  // namespace ladderstream::simulation
