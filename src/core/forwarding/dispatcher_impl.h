// The state behind Dispatcher, and the steps of a request through it.
//
// dispatcher.cc handles configuration, state updates and new requests, dispatch.cc sends and
// finishes requests, attempt_events.cc handles the events of attempts, path_events.cc what they
// tell about the paths to back ends, loss_events.cc what they tell about requests that crash back
// ends, and deadlines.cc the timers.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/allowance/cold_senders.h"
#include "core/allowance/retry_budget.h"
#include "core/allowance/shared_rates.h"
#include "core/forwarding/backend_choice.h"
#include "core/forwarding/dispatcher.h"
#include "core/forwarding/final_answer.h"
#include "core/forwarding/owner_choice.h"
#include "core/forwarding/path_monitor.h"
#include "core/forwarding/relay_peers.h"
#include "core/forwarding/request_state.h"
#include "core/forwarding/route_index.h"
#include "core/forwarding/service_table.h"
#include "core/forwarding/traffic_split.h"

namespace ladderstream::forwarding {

class Dispatcher::Impl {
 public:
  explicit Impl(const DispatcherSettings& settings);

  void SetConfiguration(std::shared_ptr<const catalog::Configuration> configuration, Time now);
  void ChangeBackends(const catalog::BackendChanges& changes, const RegistrationUpdate& update,
                      Time now);
  void SetOwnership(std::shared_ptr<const ownership::OwnershipMap> map, Time now);
  void SetMapConfirmed(Time until) { ownership_.SetConfirmed(until); }
  void SetNodeCount(uint32_t node_count);
  void SetMembers(const std::vector<uint64_t>& members, Time now) {
    chosen_nodes_.SetMembers(members, now);
    suspects_.SetMembers(settings_.node, members);
  }
  void SetMembersConfirmed(Time until) { chosen_nodes_.SetConfirmed(until); }
  void SetRelayPeers(std::vector<RelayPeer> peers) { relay_peers_.SetPeers(std::move(peers)); }
  bool IsExpected(AttemptHandle handle) const { return attempts_.contains(handle); }
  void OnSentDirectly(AttemptHandle handle);
  void OnConnected(AttemptHandle handle, Time now);
  void OnPathEvent(const std::string& backend, PathEvent event, Time now);
  std::vector<std::string> TakePathProbes() {
    const auto probes = std::exchange(path_probes_, {});
    return {probes.begin(), probes.end()};
  }
  CarryPermission MayCarry(const CarriedRequest& request, Time now) const;
  void OnCarriedLost(const CarriedRequest& request, Time now);
  void OnCarriedUnanswered(const CarriedRequest& request, Duration elapsed, Time now);
  bool OnSuspectsReceived(const std::vector<quarantine::SuspectRecord>& records, Time now);
  std::vector<std::string> TakeSuspectProbes(Time now);
  void OnSuspectProbeFailed(const std::string& backend, bool refused, Time now) {
    if (refused) {
      suspects_.OnRefused(backend, now);
    } else {
      suspects_.OnUnanswered(backend, now);
    }
  }
  void OnStalled(Time now);
  void SetSuspectsKnown() { suspects_known_ = true; }
  size_t CountCutPaths() const { return paths_.CountCutScopes(); }
  void SetRetryBudget(double ratio, double slack, Duration window);
  void SetStopping() { stopping_ = true; }
  void SetEnd(Time last_start, Time end) {
    last_start_ = last_start;
    end_ = end;
  }
  const catalog::Route* FindRoute(std::string_view host, std::string_view target) const;

  RequestHandle Start(const IncomingRequest& incoming, Time now);
  void OnCallerDisconnected(RequestHandle handle, Time now);
  bool MaySend(AttemptHandle handle, Time now) const;
  void OnSent(AttemptHandle handle, Time now);
  void OnAttemptAnswer(AttemptHandle handle, const AttemptAnswer& answer, Time now);
  void OnAttemptFailure(AttemptHandle handle, AttemptFailure failure, Time now);
  void OnTick(Time now);
  quarantine::CrashSuspects& suspects() { return suspects_; }
  const allowance::SharedRates& rates() const { return rates_; }
  bool OnLimitsReceived(const std::vector<allowance::LimitRecord>& records, Time now);
  bool TakeLimitsChanged() { return rates_.limits().TakeNews(); }
  std::vector<allowance::PermitQuestion> TakePermitQuestions() { return rates_.TakeQuestions(); }
  allowance::PermitReply OnPermitQuestion(const allowance::PermitQuestion& question, Time now) {
    return rates_.Answer(question, now);
  }
  void OnPermitReply(const allowance::PermitReply& reply, Time now);
  void ExpireLimits(Time now) { rates_.Forget(now); }
  const Endpoint* AddressOf(const std::string& backend) const;

  std::vector<RequestDecision> TakeDecisions() { return std::exchange(decisions_, {}); }
  Time NextWake() const;
  std::vector<load::ServiceLoad> TakeLoad();
  std::vector<BackendStateChange> TakeStateChanges();
  bool CanServe(Time now) const;
  double RetriesLeft(Time now);
  uint64_t RequestsWaiting();
  double MinAdmissionShare();

 private:
  /// How an attempt gets to its back end.
  struct Way {
    /// 0 for a direct connection.
    uint64_t peer = 0;
    bool prefer_idle = false;
  };

  // dispatcher.cc
  std::unique_ptr<Request> MakeRequest(const IncomingRequest& incoming, const catalog::Route& route,
                                       Time now);
  bool ServiceCanServe(const std::string& name, Time now) const;
  bool HasUsableOwner(const std::string& service, Time now) const;

  // dispatch.cc: sends, queues or answers a request that has no attempt in flight.
  void Dispatch(Request& request, Time now);
  Choice Choose(const Request& request, Time now);
  Choice ChooseOnce(const Request& request, Time now);
  /// Whether admission control accepts the request, once a back end is available. Keyed requests
  /// are always accepted here, as owners have limits of their own.
  bool Admitted(Request& request, Time now);
  bool MayWait(const Request& request, const Choice& choice, Time now) const;
  void Wait(Request& request, const Choice& choice, Time now);
  void StopWaiting(Request& request);
  /// Sends the request, or refuses it when the back end is not reached in any way.
  void SendOrRefuse(Request& request, const Choice& choice, Time now);
  /// Waits for the end of the time after a stall.
  void WaitUntilCaughtUp(Request& request, Time now);
  /// Waits for what became of the back ends that the request was lost with, or refuses it.
  void WaitUntilSettled(Request& request, const Choice& choice, Time now);
  void Send(Request& request, const Choice& choice, const Way& way, Time now);
  void FinishUnserved(Request& request, const Choice& choice, StopCause cause, Time now);
  /// Emits the final decision and deletes the request. `request` is invalid afterwards.
  void Finish(Request& request, Decision decision, Time now);
  /// Cancels the attempts in flight that may be cancelled, and detaches the others.
  void AbandonAttempts(Request& request, Time now);
  void Forget(Request& request);
  /// Retries dispatching all requests that wait for `service`.
  void DispatchWaiting(ServiceState& service, Time now);
  void Emit(const Request& request, Decision decision);

  // attempt_events.cc
  /// Removes the attempt and its accounting at its back end and its request.
  Attempt EndAttempt(AttemptHandle handle);
  Request* FindRequest(RequestHandle handle);
  void UpdateFromAnswer(const Attempt& attempt, const AttemptAnswer& answer, Time now);
  /// Applies the signals in a back end's answer: slow start, back-off, shutdown and rate limit.
  void ApplyBackendSignals(const Attempt& attempt, const AttemptAnswer& answer, Time now);
  void UpdateFromRefusal(const Attempt& attempt, const AttemptAnswer& answer, Time now);
  /// Updates the limit of an owner from an attempt whose connection was lost.
  void UpdateFromLoss(const Attempt& attempt, Time now);
  void UpdateFromFailure(const Attempt& attempt, AttemptFailure failure, Time now);
  void RecordEjection(const BackendState& backend, const std::string& cause, Duration time);
  void OnRefused(Request& request, const Attempt& attempt, const AttemptAnswer& answer, Time now);
  void OnUnclearAnswer(Request& request, const Attempt& attempt, const AttemptAnswer& answer,
                       Time now);
  void OnNeverSent(Request& request, const Attempt& attempt, AttemptFailure failure, Time now);
  void OnLost(Request& request, const Attempt& attempt, FailureKind kind, int status, Time now);
  /// After a failed attempt: retries the request unless another attempt is in flight.
  void Continue(Request& request, SendCause cause, Time now);

  // path_events.cc
  /// Returns nothing when this node does not reach the back end and knows no peer that may.
  std::optional<Way> ChooseWay(const Request& request, const BackendState& backend, Time now);
  void UpdatePathFromFailure(const Attempt& attempt, AttemptFailure failure, Time now);
  /// Whether a failure tells nothing about the back end itself.
  bool IsPathFailure(const Attempt& attempt, AttemptFailure failure, Time now) const;
  /// Whether the owner was not reached directly, and a peer may reach it.
  bool MayReachThroughPeer(const Attempt& attempt, Time now) const;
  /// Applies what the path monitor has concluded.
  void ApplyPathChanges(Time now);
  void OnPathCut(const PathChange& change, Time now);
  /// Sends the attempts under way to these back ends another way, as far as they may be repeated.
  void RerouteAttempts(const PathChange& change, Time now);
  /// Whether a request whose only attempt is without an answer may be sent once more.
  bool MaySendAgain(const Request& request, Time now);
  void ReleasePeer(Attempt& attempt);

  // loss_events.cc
  /// Why a new request is refused as one that crashes back ends; nothing when it is not.
  std::optional<AnswerDecision> JudgeNew(Request& request, Time now);
  /// Whether the request may be sent in this way, as far as its losses go.
  bool MayBeSent(const Request& request, const std::string& backend, const Way& way,
                 Time now) const;
  bool IsHeld(const quarantine::RequestIdentity& identity, Time now) const;
  /// Held, or with so many open losses that it might be.
  bool IsHeldOrUnsettled(const quarantine::RequestIdentity& identity, Time now) const;
  /// The same for a request of another node.
  bool MayCarryHeld(const CarriedRequest& request, Time now) const;
  /// Whether the request was lost at so many back ends that it must not be sent to another one.
  bool MayCrashAnother(const Request& request, Time now) const;
  /// The attempt's connection ended, or that of the peer through which it went.
  void RecordLoss(const Attempt& attempt, Time now);
  /// The attempt ended without an answer, its connection as it was.
  void RecordUnanswered(const Attempt& attempt, Time now);
  /// The same of a request that was sent at `started`. Whether it counts as lost.
  bool RecordSilence(const CarriedRequest& request, Time started, Time now);
  /// The request ends without an answer of a back end, or its caller has left.
  void RecordAbandoned(const Request& request, Time now);
  void RecordLostWith(const Attempt& attempt);
  void RecordServed(const Request& request, const AttemptAnswer& answer, Time now);
  /// Passes a direct connection's end on as evidence of what became of the back end.
  void RecordConnectFailure(const Attempt& attempt, AttemptFailure failure, Time now);
  /// Finds out which lost back ends the changed registrations prove to have ended.
  void ApplyRegistrations(const catalog::BackendChanges& changes, Time now);
  /// The same for ends that a later process at the name or address proves. `changed`: back ends
  /// that were registered or answered.
  void FindReplaced(const std::vector<catalog::Backend>& changed, Time now);
  /// Returns the registered back ends at the addresses of deregistered ones; none while no back end
  /// is lost.
  std::vector<catalog::Backend> AtAddressesOf(const std::vector<std::string>& gone);
  /// Returns whether `other` has taken the address of `lost`: it has answered there later than
  /// `lost` did, or is registered there while `lost` no longer is. Its registration alone may be
  /// that of an earlier process, or of another writer.
  bool HasTakenAddress(const catalog::Backend& other, const BackendState& lost) const;
  /// Records that the back end itself answered a request.
  void RecordAnswerOf(BackendState& backend, Time now);

  // deadlines.cc
  void FinishTimeOver(Request& request, Time now);
  void Arm(Request& request);
  void Disarm(Request& request);
  void ArmHedge(Request& request, const Attempt& attempt, Time now);
  bool MayHedge(const Request& request) const;
  void TryHedge(Request& request, Time now);

  const DispatcherSettings settings_;
  std::mt19937_64 random_;
  allowance::RetryLimits retry_limits_;
  /// Shared by all nodes.
  double budget_slack_ = 0;
  uint32_t node_count_ = 1;
  RouteIndex routes_;
  TrafficSplit splits_;
  ServiceTable services_;
  OwnershipView ownership_;
  allowance::ChosenNodes chosen_nodes_;
  allowance::ColdSenders cold_senders_;
  allowance::SharedRates rates_;
  quarantine::CrashSuspects suspects_;
  bool suspects_known_ = false;
  Time backends_known_since_ = absl::InfiniteFuture();
  /// After a stall, nothing is sent before: what the other nodes have told meanwhile is read first.
  Time catching_up_until_ = absl::InfinitePast();
  PathMonitor paths_;
  absl::btree_set<std::string> path_probes_;
  RelayPeers relay_peers_;
  LeastWaitChoice least_wait_;
  OwnerChoice owner_;
  OverloadGuard guarded_least_wait_;
  OverloadGuard guarded_owner_;
  bool stopping_ = false;
  Time last_start_ = absl::InfiniteFuture();
  Time end_ = absl::InfiniteFuture();

  RequestHandle last_request_ = 0;
  AttemptHandle last_attempt_ = 0;
  absl::flat_hash_map<RequestHandle, std::unique_ptr<Request>> requests_;
  absl::flat_hash_map<AttemptHandle, Attempt> attempts_;
  absl::btree_set<std::pair<Time, RequestHandle>> timers_;
  std::vector<RequestDecision> decisions_;
};

}  // namespace ladderstream::forwarding
