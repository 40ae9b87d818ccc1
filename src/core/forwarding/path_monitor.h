// Tells a network path that is cut at this node from back ends that are ill.
//
// A back end that accepts no connection may have failed, or this node may not reach it although
// other nodes do. Evidence is kept by back end and by scope: a service, and a service in one zone.
// A scope is cut when connections to several of its back ends fail within a second and none comes
// up. It is restored by the first connection that comes up; while it is cut, probes try that as
// long as requests come.
//
// Pure state machine. The owner makes the probes and reports their results.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/quarantine/contacts.h"
#include "wire/time.h"

namespace ladderstream::forwarding {

enum class Path {
  kDirect,
  /// Open connections still work, and new ones do not come up.
  kIdleOrPeer,
  kPeer,
};

struct PathChange {
  /// A service, or a service and a zone.
  std::string scope;
  bool cut = false;
  std::string detail;
  std::vector<std::string> backends;
  /// Nothing comes back on open connections either.
  bool silent = false;
};

class PathMonitor : public quarantine::Contacts {
 public:
  void SetBackend(const std::string& backend, const std::string& service, const std::string& zone);
  void RemoveBackend(const std::string& backend);

  /// A request was sent directly. When several back ends of the service are to answer and none of
  /// the service does for `patience`, probes are made.
  void OnSent(const std::string& backend, Duration patience, Time now);
  /// An answer arrived on a direct connection.
  void OnAnswered(const std::string& backend, Time now);
  /// A direct connection came up.
  void OnConnected(const std::string& backend, Time now);
  /// A direct connection was refused or did not come up in time.
  void OnConnectFailed(const std::string& backend, Time now);
  /// A peer reached the back end, or did not.
  void OnRelayed(const std::string& backend, bool reached, Time now);

  /// A request wants to go to the back end, which is not reached directly.
  void OnWanted(const std::string& backend, Time now);
  /// `has_substitute`: another back end can take the request, so a single one that fails is not
  /// tried through a peer.
  Path PathTo(const std::string& backend, bool has_substitute, Time now) const;
  /// Whether a scope of the back end is cut.
  bool IsCut(const std::string& backend) const;

  /// Returns the back ends to connect to now; report OnConnected or OnConnectFailed.
  std::vector<std::string> TakeProbes(Time now);
  Time NextWake() const;
  std::vector<PathChange> TakeChanges() { return std::exchange(changes_, {}); }
  size_t CountCutScopes() const;

  // quarantine::Contacts
  bool HasControls(const std::string& backend) const override;
  bool ReachesAround(const std::string& backend, Time since) const override;
  bool ReachesAny(const std::string& backend, Time since) const override;
  std::vector<std::string> TakeControls(const std::string& backend) override;

 private:
  struct Scope {
    std::string name;
    absl::btree_set<std::string> backends;
    /// Back ends with failed connections, by the time of the last one.
    absl::btree_map<std::string, Time> failed;
    Time connected_at = absl::InfinitePast();
    Time heard_at = absl::InfinitePast();
    /// Back ends of a service that were sent requests since the last answer of any.
    absl::btree_set<std::string> awaited;
    /// When nothing was heard for too long; infinite while too few answers are due.
    Time silence_due = absl::InfiniteFuture();
    bool cut = false;
    /// When the first connection failed.
    Time failing_since = absl::InfinitePast();
    /// Infinite while no request wants one.
    Time next_probe = absl::InfiniteFuture();
    Time probed_at = absl::InfinitePast();
    /// The back end probed last, and the one that was last used as a control.
    std::string last_probed;
    std::string last_control;
    /// Of a service in a zone.
    std::string zone;
  };
  struct BackendPath {
    Scope* service = nullptr;
    Scope* zone = nullptr;
    bool failing = false;
    /// When a peer last reached it, and when one last did not.
    Time reached_by_peer_at = absl::InfinitePast();
    Time unreached_by_peer_at = absl::InfinitePast();
    Time next_probe = absl::InfiniteFuture();
    Time probed_at = absl::InfinitePast();
  };

  Scope& ScopeNamed(const std::string& name);
  /// The scopes of other services in the same zone.
  std::vector<Scope*> OthersInZone(const Scope& zone) const;
  static bool HasOthers(const Scope& scope) { return scope.backends.size() > 1; }
  /// How many back ends must fail for the scope to be cut.
  static size_t CountNeeded(const Scope& scope, bool is_zone);
  static bool HearsOnOpenConnections(const Scope& scope, Time now);
  static void EndSilence(Scope& scope);
  void Cut(Scope& scope, Time now);
  void Restore(Scope& scope, const std::string& backend);
  void RecordFailure(Scope& scope, bool is_zone, const std::string& backend, Time now);
  /// Adds the next `count` back ends of the scope in turn.
  static void AddProbes(Scope& scope, size_t count, absl::btree_set<std::string>* probes);

  absl::flat_hash_map<std::string, std::unique_ptr<Scope>> scopes_;
  absl::flat_hash_map<std::string, BackendPath> backends_;
  Time connected_at_ = absl::InfinitePast();
  /// Back ends that fail although their scopes are not cut, and that peers reach.
  absl::btree_set<std::string> relayed_;
  std::vector<PathChange> changes_;
};

}  // namespace ladderstream::forwarding
