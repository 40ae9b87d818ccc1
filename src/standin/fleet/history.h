// What back ends saw and what callers were told: the evidence that the judge weighs.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/ownership/ownership_map.h"
#include "standin/fleet/http_client.h"
#include "wire/time.h"

namespace ladderstream::fleet {

/// Of a back end that names no limit.
inline constexpr double kNoLimit = -1;

/// A request that reached a back end; orders and health checks are none.
struct Arrival {
  std::string request_id;
  /// The incarnation's id.
  std::string backend;
  std::string service;
  /// The IP address that it came from.
  std::string source;
  std::optional<ownership::Key> key;
  Time at;
  /// It lay at a frozen back end before.
  bool held_up = false;
  /// Time left as the node announced it.
  std::optional<Duration> announced;
  /// Of method, target and body.
  size_t digest = 0;
  /// The status with which it was refused; 0 when it ran or its connection ended first.
  int refused = 0;
  /// For how long the refusal asked its node for rest.
  Duration rest = absl::ZeroDuration();
  /// Its answer said that the back end leaves.
  bool said_leaving = false;
  /// The requests a second from all nodes that its answer named.
  double named_limit = kNoLimit;
  /// When it began to run; infinite when it did not.
  Time begun = absl::InfiniteFuture();
  Time ended = absl::InfiniteFuture();
  /// The status of the answer of a run; 0 when it was dropped.
  int status = 0;
  std::string stamp;
  size_t body_bytes = 0;

  bool ran() const { return begun < absl::InfiniteFuture(); }
};

struct HoldEvent {
  enum class Kind { kGrant, kRelease, kEnd };
  Kind kind = Kind::kGrant;
  std::string backend;
  std::string service;
  ownership::KeyRange range;
  ownership::Fence fence = 0;
  Time at;
  /// Of a grant: when it runs out by the back end's own clock.
  Time until;
  /// The order arrived earlier and was taken only now.
  bool taken_late = false;
  /// The order lay at a frozen back end before; it does not count as a grant.
  bool held_up = false;
  /// The IP address that the order came from; empty when the back end ended.
  std::string source = {};
};

/// The store took a back end's announcement that it leaves, or dropped its row.
struct LeaveEvent {
  std::string backend;
  Time at;
  /// When it registered again, as one that was only cut off does.
  Time until = absl::InfiniteFuture();
};

/// A back end ended under a request that ends whatever runs it.
struct EndedByRequest {
  std::string backend;
  Time at;
  /// Of the request.
  size_t digest = 0;
};

/// A version that the operator wrote.
struct ConfigurationEvent {
  catalog::Configuration configuration;
  /// When the store took it.
  Time acknowledged;
};

/// How a disturbance affects the time in which a change of the configuration has to be in force.
enum class DisturbanceKind {
  /// A node, its connections or its access to the store.
  kNode,
  /// The store is down, slow or loses answers: no bound of time holds.
  kStoreFailing,
  /// The store is disturbed in another way: the bound is longer.
  kStoreUnstable,
  /// A node does not reach the back ends.
  kBackendPath,
};

/// A time during which nodes or the store were disturbed, so that bounds of time do not bind.
struct Disturbance {
  Time from;
  Time until = absl::InfiniteFuture();
  /// Only this node was; empty: the store, or all nodes.
  std::optional<size_t> node = std::nullopt;
  DisturbanceKind kind = DisturbanceKind::kNode;
};

/// A time during which nodes did not reach any back end, while callers, the store and the other
/// nodes reached them.
struct PathCut {
  std::set<size_t> nodes;
  Time from;
  Time until = absl::InfiniteFuture();
};

/// A process of a node started.
struct NodeStart {
  size_t node = 0;
  Time at;
};

/// One try of a call, under a request id of its own.
struct Attempt {
  /// Numbers the call that it is a try of.
  uint64_t call = 0;
  std::string request_class;
  std::string request_id;
  std::string host;
  std::string target;
  size_t node = 0;
  size_t digest = 0;
  Time sent;
  Time ended = absl::InfiniteFuture();
  Duration deadline;
  CallEnd end = CallEnd::kTimedOut;
  int status = 0;
  /// Of a node's own answer; 0 when it has none.
  uint32_t result_code = 0;
  std::string stamp;
  size_t body_bytes = 0;
  /// The body is the one that goes with the stamp.
  bool body_matches = false;
  /// The answer carries this attempt's id, or none.
  bool id_matches = false;
};

/// One call of a caller, with all its tries.
struct CallRecord {
  std::string request_class;
  Time sent;
  Time ended = absl::InfiniteFuture();
  bool served = false;
};

struct History {
  std::deque<Arrival> arrivals;
  std::vector<HoldEvent> holds;
  std::vector<LeaveEvent> leaves;
  std::vector<EndedByRequest> ended_by_requests;
  std::vector<ConfigurationEvent> configurations;
  std::vector<Disturbance> disturbances;
  std::vector<PathCut> path_cuts;
  std::vector<NodeStart> starts;
  std::deque<Attempt> attempts;
  std::deque<CallRecord> calls;
  /// Bytes that came to a caller while no request waited.
  uint64_t unasked_answers = 0;
};

/// The requests of callers and the runs of back ends that have begun and have not ended.
size_t CountUnfinished(const History& history);

/// Compares what was sent with what arrived.
size_t DigestOf(const std::string& method, const std::string& target, const std::string& body);

/// The body of `bytes` bytes that goes with a stamp.
std::string BodyOf(const std::string& stamp, size_t bytes);

}  // namespace ladderstream::fleet
