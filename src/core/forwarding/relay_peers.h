// Chooses the nodes through which requests go to back ends that this node does not reach.
//
// A few helpers are used at a time, so that connections stay few in a fleet of any size; those that
// decline are replaced at random. Pure; knows nothing about peers but what they answered.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "wire/time.h"

namespace ladderstream::forwarding {

/// Another node.
struct RelayPeer {
  uint64_t incarnation = 0;
  std::string zone;
};

class RelayPeers {
 public:
  /// `random` must outlive this. `zone`: this node's.
  RelayPeers(std::string zone, std::mt19937_64& random) : zone_(std::move(zone)), random_(random) {}

  void SetPeers(std::vector<RelayPeer> peers);
  bool HasPeers() const { return !peers_.empty(); }

  /// Returns the incarnation of the peer for a request to a back end in `backend_zone`; 0 when none
  /// is known that may help. Peers in either zone add no transfer between zones.
  uint64_t Choose(const std::string& service, const std::string& backend_zone,
                  const std::vector<uint64_t>& declined, Time now);
  void OnSent(uint64_t peer);
  void OnEnded(uint64_t peer);
  /// The peer does not reach the back ends of the service either.
  void OnNoPath(uint64_t peer, const std::string& service, Time now);
  /// The peer has too much to do, cannot be reached, or was lost during a request.
  void OnUnavailable(uint64_t peer, Time now);

 private:
  struct Helper {
    std::string zone;
    uint32_t in_flight = 0;
    Time unavailable_until = absl::InfinitePast();
    absl::flat_hash_map<std::string, Time> no_path_until;

    bool MayHelp(const std::string& service, Time now) const;
  };

  template <typename Predicate>
  void EraseHelpers(Predicate predicate);
  /// Adds helpers drawn at random until enough may help with the service.
  void Refill(const std::string& service, Time now);

  const std::string zone_;
  std::mt19937_64& random_;
  std::vector<RelayPeer> peers_;
  /// Ordered, so that equal seeds give equal choices.
  absl::btree_map<uint64_t, Helper> helpers_;
};

}  // namespace ladderstream::forwarding
