// Decides what happens to each request: which back end gets it, when it is sent again, and how it
// is answered when no back end's answer can be passed on.
//
// Pure: events and time in, decisions out; no I/O, no thread, no clock. The data path owns one
// Dispatcher for the node and tells it everything that happens to each attempt.
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
#include "core/load/load_counter.h"
#include "core/ownership/ownership_map.h"
#include "core/partition/partitioner.h"
#include "core/quarantine/crash_suspects.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::forwarding {

/// Names one request on this node, from Start to its final decision.
using RequestHandle = uint64_t;
/// Names one attempt of a request at one back end.
using AttemptHandle = uint64_t;

struct DispatcherSettings {
  std::string zone;
  /// In another zone, a request is taken to last longer by this share of its service time: with
  /// 0.3, bytes between zones cost half as much again; with 0.8, callers waited longer (design note
  /// 018).
  double remote_zone_cost = 0.55;
  /// The nodes among whom the retry budget is shared; kept current by SetNodeCount.
  uint32_t node_count = 1;
  /// All nodes' attempts beyond the first of each request, within `budget_window`, stay below
  /// this share of the requests plus `budget_slack`.
  double budget_ratio = 0.2;
  double budget_slack = 60;
  Duration budget_window = absl::Seconds(10);
  /// A back end gets no request later than this after the store took that it leaves, or that its
  /// zone is evacuated. The times below count from when this node heard of it, which may be much
  /// later, and end here at the latest.
  Duration drain_time = absl::Seconds(2);
  Duration evacuation_time = absl::Seconds(5);
  /// After a registration disappears or says "draining", no new work goes there after this.
  Duration drain_grace = absl::ZeroDuration();
  /// A back end that drains or whose registration disappears still gets the requests for keys that
  /// it owns by the map, for this long: moving them takes a while.
  Duration drain_serving = absl::Milliseconds(1200);
  /// A back end in an evacuated zone still gets the requests for keys that it owns for this long
  /// after this node heard of it: moving them takes a while.
  Duration evacuation_serving = absl::Seconds(2);
  /// In any second, all nodes together may send a cold back end its service's cold rate times
  /// `cold_overshoot` plus `cold_slack` requests.
  double cold_overshoot = 1;
  double cold_slack = 0;
  /// This node among the members of SetMembers.
  uint64_t node = 0;
  /// A registration that disappears while the store is troubled is believed only after this; at the
  /// latest at the end of `drain_time`, unless many went at once and so have lapsed.
  Duration expiry_grace = absl::Milliseconds(1500);
  /// How long a request may wait for a moving key or a free slot, as a share of its target latency.
  /// Refused by then, it comes back in time; a quarter, with the way here, was too late for many.
  double max_wait_share = 0.2;
  /// A request is refused at once when the queue that it would join lasts longer than this share of
  /// its target latency; longer than its deadline allows, in any case.
  double overload_share = 1000;
  /// Under overload each rank of a service is let through at least so often as all together are,
  /// times this, before the urgent get the rest. Above 0; with 1 no rank goes before another.
  double admission_floor = 0.3;
  /// What a caller's deadline is cut by, to leave time for the answer's way back.
  Duration answer_margin = absl::Milliseconds(5);
  /// How long a connection to a back end may take to come up.
  Duration connect_timeout = absl::Milliseconds(150);
  /// Whether a repeatable request whose back end is slow may be sent to a second one meanwhile.
  bool hedge = true;
  /// Whether this node limits what it has at an owner by how its requests fare there (OwnerLimit).
  bool limit_owners = true;
  /// For choices among equals; to differ from node to node.
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
  /// When the caller stops waiting; infinite when it did not say.
  Time deadline;
  /// Needed while something is known of suspects (see Dispatcher::suspects).
  std::optional<quarantine::Fingerprint> fingerprint = std::nullopt;
};

/// Why an attempt is made.
enum class SendCause {
  kFirst,
  /// The attempt before surely did not leave.
  kAfterConnectFailure,
  /// The back end before said that it did not run the request.
  kAfterRefusal,
  /// The request may run twice, and the attempt before failed.
  kAfterLoss,
  /// The attempt before is slow, and goes on.
  kHedge,
};

/// Send to this back end. `attempt` comes back in every event about it.
struct SendDecision {
  AttemptHandle attempt = 0;
  std::string backend;
  Endpoint address;
  /// Give the connection up if it is not established by then; the request has not left.
  Time connect_by;
  /// What to announce to the back end as time left, and when to give up waiting for the answer.
  Time answer_by;
  /// For the log.
  SendCause cause = SendCause::kFirst;
  /// How long it is expected to wait for a slot there.
  Duration expected_wait;
};
/// Drop this attempt: close its connection, and expect no event about it.
struct CancelDecision {
  AttemptHandle attempt = 0;
};
/// Pass the answer of this attempt on, unchanged. Final.
struct RelayDecision {
  AttemptHandle attempt = 0;
};
/// Answer from here. Final.
struct AnswerDecision {
  int status = 503;
  ResultCode code = ResultCode::kOk;
  /// When the caller should come back; zero when it should not.
  Duration retry_after;
  /// For the log: what decided it.
  std::string reason;
};
using Decision = std::variant<SendDecision, CancelDecision, RelayDecision, AnswerDecision>;

struct RequestDecision {
  RequestHandle request = 0;
  Decision decision;
};

/// Why an attempt ended without an answer that can be passed on.
enum class AttemptFailure {
  /// The connection was refused; nothing left.
  kConnectRefused,
  /// No connection was made in time; nothing left.
  kConnectTimeout,
  /// A reused connection was found closed before a byte of the request was written.
  kNotSent,
  /// The request may have left; then the connection was reset or closed, or the bytes were no
  /// answer, belonged to another request, or were cut short.
  kLost,
  /// No answer by `answer_by`.
  kTimedOut,
};

/// A back end's answer, as far as it matters for decisions.
struct AttemptAnswer {
  int status = 0;
  /// The back end says that it did not run the request.
  bool not_executed = false;
  catalog::ToldLoad load;
  /// For how long it is slow from a start, when it says so.
  std::optional<Duration> cold_left;
  /// For how long it wants no requests from this node, when it said so while turning one away.
  std::optional<Duration> backoff;
  /// It says that it is about to end.
  bool leaving = false;
  /// What it says of a limit on the requests that it takes from all nodes together.
  catalog::ToldLimit limit;
  /// It will take no more requests on this connection.
  bool closing = false;
};

/// How a list of registrations was learned.
struct RegistrationUpdate {
  /// The store was not well lately: a missing registration may have lapsed by mistake.
  bool store_troubled = false;
  /// What differs from the list before happened after this, however late it was heard.
  Time changed_after = absl::InfinitePast();
};

/// A change of what the dispatcher believes of a back end, for the log.
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
  /// What changed in the registered back ends. Also to be called after a change of the
  /// configuration.
  void ChangeBackends(const catalog::BackendChanges& changes, const RegistrationUpdate& news,
                      Time now);
  /// Null or stale (see SetMapConfirmed) maps make keyed requests fail with kNoOwner.
  void SetOwnership(std::shared_ptr<const ownership::OwnershipMap> map, Time now);
  /// The map in force is known to be the newest as of `now`; it may be used until `until`.
  void SetMapConfirmed(Time until);
  void SetNodeCount(uint32_t node_count);
  /// All nodes that take part, this one included, as the coordinator last said.
  void SetMembers(const std::vector<uint64_t>& members, Time now);
  /// The members are known to be the newest, and may be gone by until then.
  void SetMembersConfirmed(Time until);
  /// Replaces the limits on attempts beyond the first; see DispatcherSettings.
  void SetRetryBudget(double ratio, double slack, Duration window);
  /// New requests are still served; CanServe says no from now on.
  void SetStopping();
  /// The process ends at `end`: requests that come after `last_start` are refused when they might
  /// not be answered by then. Earlier ones are served as usual.
  void SetEnd(Time last_start, Time end);

  /// The route of a request; null when there is none, or when no configuration is known.
  const catalog::Route* FindRoute(std::string_view host, std::string_view target) const;

  /// A whole request was read. Decisions about it, also final ones, come from TakeDecisions.
  RequestHandle Start(const IncomingRequest& request, Time now);
  /// The caller has gone: cancels what may be cancelled, forgets the rest.
  void OnCallerDisconnected(RequestHandle request, Time now);

  /// Every attempt ends with one OnAttemptAnswer or OnAttemptFailure, unless it was cancelled; also
  /// one whose request has got its final answer already.
  ///
  /// Whether an attempt that was decided on earlier may still go to its back end, which may have
  /// left or asked for rest since.
  bool MaySend(AttemptHandle attempt, Time now) const;
  /// The connection is up and the request is about to be written to it. To be called before the
  /// first byte is handed over: until then the attempt counts as one that never left.
  void OnSent(AttemptHandle attempt, Time now);
  void OnAttemptAnswer(AttemptHandle attempt, const AttemptAnswer& answer, Time now);
  void OnAttemptFailure(AttemptHandle attempt, AttemptFailure failure, Time now);
  /// To be called before OnAttemptFailure with kLost: which request it was.
  void OnRequestLost(AttemptHandle attempt, const quarantine::Fingerprint& request, Time now);
  /// To be called at or soon after NextWake().
  void OnTick(Time now);

  std::vector<RequestDecision> TakeDecisions();
  Time NextWake() const;

  /// Requests that may crash back ends. Whoever owns the dispatcher makes the probes and exchanges
  /// what is known with the other nodes.
  quarantine::CrashSuspects& suspects();
  /// What back ends in need take from all nodes together. Whoever owns the dispatcher exchanges
  /// limits and permits with the other nodes: what changed, when TakeLimitsChanged says so, to all,
  /// and questions for permits to the node that each names.
  const allowance::SharedRates& rates() const;
  /// Gives whether any of it was news.
  bool OnLimitsReceived(const std::vector<allowance::LimitRecord>& records, Time now);
  bool TakeLimitsChanged();
  std::vector<allowance::PermitQuestion> TakePermitQuestions();
  allowance::PermitReply OnPermitQuestion(const allowance::PermitQuestion& question, Time now);
  /// TakeDecisions may give something afterwards.
  void OnPermitReply(const allowance::PermitReply& reply, Time now);
  /// To be called now and then: drops what has lapsed.
  void ExpireLimits(Time now);
  /// Where a known back end is; null when it is not known.
  const Endpoint* AddressOf(const std::string& backend) const;

  std::vector<load::ServiceLoad> TakeLoad();
  std::vector<BackendStateChange> TakeStateChanges();
  /// Whether every service that has a route has a back end or an owner to send to, and this node is
  /// not stopping.
  bool CanServe(Time now) const;
  /// Attempts beyond the first that this node may make now, for the service with the fewest; zero
  /// when no service is known.
  double RetriesLeft(Time now);
  /// Requests that wait on this node for a back end or for keys that move.
  uint64_t RequestsWaiting();
  /// The share of its requests that the most limited service is let through; 1 when none is
  /// limited.
  double MinAdmissionShare();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::forwarding
