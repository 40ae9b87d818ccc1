// Selects a back end for each request, decides when to retry, and builds the answer when no back
// end's answer can be relayed.
//
// Pure state machine: takes events and the current time, returns decisions; does no I/O, starts no
// threads and reads no clock. The data path owns the node's single Dispatcher and reports every
// event of each attempt to it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/allowance/shared_rates.h"
#include "core/catalog/backend_set.h"
#include "core/catalog/catalog.h"
#include "core/catalog/told_limit.h"
#include "core/catalog/told_load.h"
#include "core/forwarding/relay_peers.h"
#include "core/load/load_counter.h"
#include "core/ownership/ownership_map.h"
#include "core/partition/partitioner.h"
#include "core/quarantine/crash_suspects.h"
#include "core/quarantine/request_identity.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::forwarding {

/// Identifies one request on this node, from Start to its final decision.
using RequestHandle = uint64_t;
/// Identifies one attempt of a request at one back end.
using AttemptHandle = uint64_t;

struct DispatcherSettings {
  std::string zone;
  /// Penalty for back ends in another zone: the request is assumed to take longer by this share of
  /// its service time. 0.3 raised the cost of cross-zone traffic by half; 0.8 increased the
  /// callers' wait.
  double remote_zone_cost = 0.55;
  /// Number of nodes that share the retry budget; updated by SetNodeCount.
  uint32_t node_count = 1;
  /// Within `budget_window`, the retries and hedges of all nodes together stay below this share of
  /// the requests plus `budget_slack`.
  double budget_ratio = 0.2;
  double budget_slack = 60;
  Duration budget_window = absl::Seconds(10);
  /// Upper bounds, counted from when the store accepted that a back end is leaving or that its zone
  /// is evacuated; after them it gets no request. The periods below count from when this node
  /// learned of it, which may be much later, and are cut off at these bounds.
  Duration drain_time = absl::Seconds(2);
  Duration evacuation_time = absl::Seconds(5);
  /// How long new work may still be sent to a back end after its registration disappears or is
  /// marked as draining.
  Duration drain_grace = absl::ZeroDuration();
  /// How long a draining or deregistered back end still gets the requests for keys that it owns
  /// according to the map, since moving them takes time.
  Duration drain_serving = absl::Milliseconds(1200);
  /// How long a back end in an evacuated zone still gets the requests for keys that it owns,
  /// counted from when this node learned of the evacuation, since moving them takes time.
  Duration evacuation_serving = absl::Seconds(2);
  /// In any second, all nodes together may send a cold back end at most its service's cold rate
  /// times `cold_overshoot`, plus `cold_slack` requests.
  double cold_overshoot = 1;
  double cold_slack = 0;
  /// This node's id among the members passed to SetMembers.
  uint64_t node = 0;
  /// Delay before a registration that disappears while the store has problems is treated as
  /// removed. Ends with `drain_time` at the latest, unless many registrations disappeared at once,
  /// which indicates that they expired.
  Duration expiry_grace = absl::Milliseconds(1500);
  /// How long a request may wait for a moving key or a free slot, as a share of its target latency.
  /// Short enough that a refused request can be retried by its caller in time; with 0.25, plus the
  /// network delay, that was too late for many.
  double max_wait_share = 0.2;
  /// A request is refused immediately when the expected wait in the queue exceeds this share of its
  /// target latency, and always when it exceeds its deadline.
  double overload_share = 1000;
  /// Under overload, each rank of a service is admitted at least this fraction of the overall
  /// admission share; the remaining capacity goes to the more urgent ranks first. Above 0; 1
  /// disables the precedence between ranks.
  double admission_floor = 0.3;
  /// Subtracted from the caller's deadline to leave time for returning the answer.
  Duration answer_margin = absl::Milliseconds(5);
  /// Time limit for establishing a connection to a back end.
  Duration connect_timeout = absl::Milliseconds(150);
  /// Whether a repeatable request may be hedged, i.e. also sent to a second back end while the
  /// first is slow.
  bool hedge = true;
  /// Whether this node limits its concurrent requests at an owner by their outcomes (OwnerLimit).
  bool limit_owners = true;
  /// Whether requests are refused until SetSuspectsKnown, and held requests whose hold has lapsed
  /// until a trial is granted (CrashSuspects::OnTrialGranted).
  bool suspects_are_stored = false;
  /// Seed for choices among equally good back ends; should differ between nodes.
  uint64_t seed = 0;
};

struct IncomingRequest {
  std::string_view request_id;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  /// Sharded services only.
  std::optional<ownership::Key> key;
  Time arrival;
  /// When the caller stops waiting; infinite when it sent no deadline.
  Time deadline;
  /// By which the request is known again at any node. Without it, its losses are not followed.
  std::optional<quarantine::RequestIdentity> identity = std::nullopt;
};

/// Reason for an attempt.
enum class SendCause {
  kFirst,
  /// No byte of the previous attempt was sent.
  kAfterConnectFailure,
  /// The previous back end answered that it did not run the request.
  kAfterRefusal,
  /// The previous attempt failed after sending, and the request is repeatable.
  kAfterLoss,
  /// The previous attempt is slow and still in flight.
  kHedge,
};

/// Sends the request to this back end. `attempt` identifies it in all later events.
struct SendDecision {
  AttemptHandle attempt = 0;
  std::string backend;
  Endpoint address;
  /// Incarnation of the node through which to send; 0 to connect to the back end directly.
  uint64_t peer = 0;
  /// Use an idle connection to the back end, if there is one, instead of the peer.
  bool prefer_idle = false;
  /// Rank of the request for the peer; 0 is the most urgent.
  uint32_t priority = 0;
  /// For the peer, which applies its own knowledge of crashes and limits as well.
  std::optional<quarantine::RequestIdentity> identity = std::nullopt;
  /// The attempt consumed a permit of the back end's rate limit.
  bool permitted = false;
  /// Tries a held request once more.
  bool is_trial = false;
  /// No idle connection is used. A back end that has ended without a word accepts no new one; on an
  /// idle one, the request would wait for nothing and seem to have been at work as it ended.
  bool needs_new_connection = false;
  /// If the connection is not established by then, it is given up; nothing was sent.
  Time connect_by;
  /// Deadline for the answer; the back end is sent the remaining time.
  Time answer_by;
  /// For the log only.
  SendCause cause = SendCause::kFirst;
  /// Expected wait for a slot at the back end.
  Duration expected_wait;
};
/// Drops this attempt: its connection is to be closed, and no event is expected for it.
struct CancelDecision {
  AttemptHandle attempt = 0;
};
/// Relays the answer of this attempt unchanged. Final.
struct RelayDecision {
  AttemptHandle attempt = 0;
};
/// Answers on behalf of this node. Final.
struct AnswerDecision {
  int status = 503;
  ResultCode code = ResultCode::kOk;
  /// Delay after which the caller should retry; zero when it should not retry.
  Duration retry_after;
  /// What led to this answer; for the log.
  std::string reason;
};
using Decision = std::variant<SendDecision, CancelDecision, RelayDecision, AnswerDecision>;

struct RequestDecision {
  RequestHandle request = 0;
  Decision decision;
};

/// Why an attempt ended without an answer that can be relayed.
enum class AttemptFailure {
  /// The connection was refused; nothing was sent.
  kConnectRefused,
  /// No connection was established in time; nothing was sent.
  kConnectTimeout,
  /// A reused connection turned out to be closed before any byte of the request was written.
  kNotSent,
  /// The request may have been sent; then the connection was reset or closed, or the received bytes
  /// were malformed, truncated or belonged to another request.
  kLost,
  /// No answer by `answer_by`.
  kTimedOut,
  /// The peer did not take the request, or was not reached; nothing was sent.
  kPeerUnavailable,
  /// The peer does not reach the back end either; nothing was sent.
  kPeerHasNoPath,
  /// The peer was lost after it had been given the request.
  kPeerLost,
};

/// An event of this node's own connections to a back end, other than those of attempts.
enum class PathEvent {
  kConnected,
  /// Nothing came back in time.
  kConnectFailed,
  kRefused,
  kAnswered,
};

/// A request of another node that this one may send to a back end.
struct CarriedRequest {
  std::string backend;
  /// Not told by nodes of an earlier version.
  std::optional<quarantine::RequestIdentity> identity;
  /// The sender has a permit of the back end's rate limit.
  bool permitted = false;
  /// The sender was granted a trial of the request, which is held.
  bool is_trial = false;
};
/// Whether this node sends a request of another node to a back end.
enum class CarryPermission {
  kGranted,
  kNoPath,
  /// The back end leaves, asked for rest, or has a limit that the sender does not know of.
  kDeclined,
  /// The request is held as one that crashes back ends.
  kHeld,
};

/// The parts of a back end's answer that decisions depend on.
struct AttemptAnswer {
  int status = 0;
  /// The back end reported that it did not run the request.
  bool not_executed = false;
  catalog::ToldLoad load;
  /// Remaining duration of the back end's slow start, if it reported one.
  std::optional<Duration> cold_left;
  /// Back-off that the back end requested from this node when it rejected the request.
  std::optional<Duration> backoff;
  /// The back end announced its shutdown.
  bool leaving = false;
  /// Reported limit on the requests that it accepts from all nodes together.
  catalog::ToldLimit limit;
  /// The back end accepts no more requests on this connection.
  bool closing = false;
};

/// Origin and age of an update of the registered back ends.
struct RegistrationUpdate {
  /// The store had problems recently, so a missing registration may have expired by mistake.
  bool store_troubled = false;
  /// Lower bound on when the changes since the previous list happened, however late they arrived.
  Time changed_after = absl::InfinitePast();
};

/// A change in the dispatcher's view of a back end, for the log.
struct BackendStateChange {
  std::string backend;
  std::string event;
  std::string detail;
};

class Dispatcher {
 public:
  explicit Dispatcher(const DispatcherSettings& settings);
  ~Dispatcher();

  void SetConfiguration(std::shared_ptr<const catalog::Configuration> configuration, Time now);
  /// Applies changes of the registered back ends. Must also be called after the configuration
  /// changed.
  void ChangeBackends(const catalog::BackendChanges& changes, const RegistrationUpdate& update,
                      Time now);
  /// Sets the ownership map. While it is null or no longer confirmed (see SetMapConfirmed), keyed
  /// requests fail with kNoOwner.
  void SetOwnership(std::shared_ptr<const ownership::OwnershipMap> map, Time now);
  /// Records that the current map is the newest one; it may be used until `until`.
  void SetMapConfirmed(Time until);
  void SetNodeCount(uint32_t node_count);
  /// Sets the participating nodes, including this one, as last published by the coordinator.
  void SetMembers(const std::vector<uint64_t>& members, Time now);
  /// Records that the current members are the newest ones; they may be relied on until `until`.
  void SetMembersConfirmed(Time until);
  /// Sets the other nodes, through which requests may be sent.
  void SetRelayPeers(std::vector<RelayPeer> peers);
  /// Replaces the limits on retries and hedges; see DispatcherSettings.
  void SetRetryBudget(double ratio, double slack, Duration window);
  /// Makes CanServe return false from now on; new requests are still served.
  void SetStopping();
  /// Announces that the process ends at `end`. Requests that arrive after `last_start` and might
  /// not be answered by `end` are refused; earlier ones are served as usual.
  void SetEnd(Time last_start, Time end);

  /// Returns the route of a request; null when none matches or no configuration is known.
  const catalog::Route* FindRoute(std::string_view host, std::string_view target) const;

  /// Starts a request that was read completely. All decisions about it, including the final one,
  /// are returned by TakeDecisions.
  RequestHandle Start(const IncomingRequest& request, Time now);
  /// The caller disconnected: cancels the attempts that may be cancelled and detaches the others.
  void OnCallerDisconnected(RequestHandle request, Time now);

  /// Every attempt must end with one OnAttemptAnswer or OnAttemptFailure unless it was cancelled,
  /// even when its request already has its final answer.
  ///
  /// Returns whether an attempt that was decided on earlier may still be sent; its back end may
  /// have left or requested a back-off since.
  bool MaySend(AttemptHandle attempt, Time now) const;
  /// Whether the attempt was neither ended nor cancelled. One may be cancelled between its decision
  /// and the moment at which that is carried out.
  bool IsExpected(AttemptHandle attempt) const;
  /// The attempt, decided for a peer, goes over an idle connection of this node instead.
  void OnSentDirectly(AttemptHandle attempt);
  /// A new connection for the attempt was established.
  void OnConnected(AttemptHandle attempt, Time now);
  /// Records the result of a probe (see TakePathProbes), or an event of a request that this node
  /// carries for another one. May produce decisions.
  void OnPathEvent(const std::string& backend, PathEvent event, Time now);
  /// Returns the back ends to which to open a connection, to find out whether they are reached.
  std::vector<std::string> TakePathProbes();
  /// Returns whether a request that another node could not send itself may go to the back end.
  CarryPermission MayCarry(const CarriedRequest& request, Time now) const;
  /// The back end was lost with a request of another node, which counts like an own one.
  void OnCarriedLost(const CarriedRequest& request, Time now);
  /// The time of a request of another node is over, or it was cancelled, `elapsed` after it was
  /// sent and without an answer.
  void OnCarriedUnanswered(const CarriedRequest& request, Duration elapsed, Time now);
  /// Returns how many services, or services in one zone, this node does not reach.
  size_t CountCutPaths() const;
  /// The connection is established and the request is about to be written. Must be called before
  /// the first byte is written: until then the attempt counts as never sent.
  void OnSent(AttemptHandle attempt, Time now);
  void OnAttemptAnswer(AttemptHandle attempt, const AttemptAnswer& answer, Time now);
  void OnAttemptFailure(AttemptHandle attempt, AttemptFailure failure, Time now);
  /// Runs due timers. Must be called at or soon after NextWake().
  void OnTick(Time now);

  std::vector<RequestDecision> TakeDecisions();
  Time NextWake() const;

  /// Requests that may crash back ends. The dispatcher's owner exchanges the records with the other
  /// nodes and the store.
  quarantine::CrashSuspects& suspects();
  /// Returns the back ends to connect to, to find out whether they have ended. Report OnPathEvent
  /// with kConnected, or OnSuspectProbeFailed: crashes are no evidence of a cut path.
  std::vector<std::string> TakeSuspectProbes(Time now);
  /// What other nodes or the store know of requests that crash back ends. Gives whether anything of
  /// it was new.
  bool OnSuspectsReceived(const std::vector<quarantine::SuspectRecord>& records, Time now);
  void OnSuspectProbeFailed(const std::string& backend, bool refused, Time now);
  /// This node stood still for so long that others may have learned of requests to hold. Must be
  /// called before anything that had waited meanwhile.
  void OnStalled(Time now);
  /// The requests that are held are known from now on; see DispatcherSettings.
  void SetSuspectsKnown();
  /// Rate limits of back ends that apply to all nodes together. The dispatcher's owner exchanges
  /// limits and permits with the other nodes: when TakeLimitsChanged returns true, it publishes the
  /// limits to all nodes; permit questions go to the node that each one names.
  const allowance::SharedRates& rates() const;
  /// Merges limits received from another node. Returns whether any of them changed.
  bool OnLimitsReceived(const std::vector<allowance::LimitRecord>& records, Time now);
  bool TakeLimitsChanged();
  std::vector<allowance::PermitQuestion> TakePermitQuestions();
  allowance::PermitReply OnPermitQuestion(const allowance::PermitQuestion& question, Time now);
  /// May produce decisions; call TakeDecisions afterwards.
  void OnPermitReply(const allowance::PermitReply& reply, Time now);
  /// Drops expired limits. Must be called periodically.
  void ExpireLimits(Time now);
  /// Returns the address of a back end; null when it is not known.
  const Endpoint* AddressOf(const std::string& backend) const;

  std::vector<load::ServiceLoad> TakeLoad();
  std::vector<BackendStateChange> TakeStateChanges();
  /// Returns whether every routed service has a usable back end or owner, and this node is not
  /// stopping.
  bool CanServe(Time now) const;
  /// Returns how many retries this node may send now for the service with the fewest left; zero
  /// when no service is known.
  double RetriesLeft(Time now);
  /// Returns the number of requests waiting on this node for a back end or for moving keys.
  uint64_t RequestsWaiting();
  /// Returns the share of requests admitted for the most limited service; 1 when none is limited.
  double MinAdmissionShare();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::forwarding
