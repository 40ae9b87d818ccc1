// Carries requests between callers and back ends as a Dispatcher decides. One thread: everything
// happens in the event loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/forwarding/dispatcher.h"
#include "gateway/http/backend_pool.h"
#include "gateway/http/backend_probes.h"
#include "gateway/http/caller_server.h"
#include "gateway/http/data_path_observer.h"
#include "gateway/http/data_path_settings.h"
#include "gateway/http/event_loop.h"
#include "gateway/http/peer_exchanges.h"
#include "interfaces/platform_adapter.h"

namespace ladderstream::gateway {

class DataPath : private RequestHandler, private ExchangeListener {
 public:
  /// Listens at once; throws Error(kInvalidSetting) when it cannot. All must outlive the data path;
  /// `observer` may be null. The event loop may run on after it is gone.
  DataPath(EventLoop& loop, const TimeSource& clock, const interfaces::PlatformAdapter& adapter,
           forwarding::Dispatcher& dispatcher, const DataPathSettings& settings,
           DataPathObserver* observer);
  ~DataPath() override;

  /// These also tell the dispatcher.
  void SetConfiguration(std::shared_ptr<const catalog::Configuration> configuration);
  void ChangeBackends(const catalog::BackendChanges& changes,
                      const forwarding::RegistrationUpdate& news);
  void SetNodeCount(uint32_t node_count);

  /// Where attempts through other nodes go; without it they fail. Must outlive the data path.
  void SetPeerExchanges(PeerExchanges* peers) { peers_ = peers; }
  /// The connections to back ends, also for requests that this node carries for others.
  BackendPool& backends() { return backends_; }
  LoopResources& resources() { return resources_; }

  /// Carries out what the dispatcher has decided. To be called after anybody else has told the
  /// dispatcher something.
  void Pump();

  /// `heard` is called, from the event loop, when something was learned here of requests that crash
  /// back ends (Dispatcher::suspects).
  void SetSuspectNews(std::function<void()> heard) { suspect_news_ = std::move(heard); }

  /// `pumped` is called, from the event loop, whenever the dispatcher's decisions have been carried
  /// out. It must not call Pump().
  void SetPumped(std::function<void()> pumped) { pumped_ = std::move(pumped); }

  /// Takes no new connections.
  void StopAccepting() { callers_.StopAccepting(); }
  /// Serves on, but sends callers elsewhere: closes idle connections, and every other one after the
  /// answers it waits for. `drained` is called, from the event loop, whenever IsQuiet holds.
  void BeginDrain(std::function<void()> drained);

  Tcp::endpoint local_endpoint() const { return callers_.local_endpoint(); }
  size_t caller_connection_count() const { return callers_.connection_count(); }
  /// How far the event loop is behind.
  Duration loop_lag() const { return resources_.lag.At(resources_.clock.Now()); }
  size_t backend_connection_count() const { return backends_.connection_count(); }
  size_t requests_in_flight() const { return requests_.size(); }
  /// Whether no caller waits for an answer or for the rest of one.
  bool IsQuiet() const { return requests_.empty() && callers_.IsQuiet(); }
  size_t held_bytes() const { return resources_.budget->used(); }

 private:
  struct Request {
    CallerConnectionPtr caller;
    CallerRequestPtr message;
    std::string route;
    bool repeatable = false;
    std::vector<forwarding::AttemptHandle> attempts;
    uint32_t sends = 0;
  };
  struct Attempt {
    forwarding::RequestHandle request = 0;
    CallerRequestPtr message;
    std::string backend;
    /// Null once it has ended, and for one that goes through a peer.
    BackendConnectionPtr connection;
    /// It goes through a peer and has not ended.
    bool at_peer = false;
    Time connect_by;
    Time answer_by;
    Time sent = absl::InfiniteFuture();
    std::optional<BackendAnswer> answer;
    Duration duration;
  };
  struct AttemptTimeout {
    Time due;
    forwarding::AttemptHandle attempt = 0;
    bool operator>(const AttemptTimeout& other) const { return due > other.due; }
  };

  // RequestHandler
  void OnRequest(const CallerConnectionPtr& connection, CallerRequest request) override;
  void OnCallerGone(CallerConnection& connection) override;
  void OnCallerGoneUnread(const CallerRequest& request) override;
  void OnRefused(const ReadFault& fault) override;
  void OnQuiet() override;

  // ExchangeListener
  void OnConnected(forwarding::AttemptHandle attempt) override;
  bool MaySend(forwarding::AttemptHandle attempt) override;
  void OnSent(forwarding::AttemptHandle attempt) override;
  void OnAnswer(forwarding::AttemptHandle attempt, BackendAnswer answer) override;
  void OnFailure(forwarding::AttemptHandle attempt, forwarding::AttemptFailure failure,
                 std::string_view cause) override;

  void Carry(forwarding::RequestHandle handle, const forwarding::SendDecision& send);
  /// Starts the attempt on a connection or through a peer, as decided. Returns the failure when
  /// neither was possible; the attempt may have ended otherwise when this returns.
  struct StartFailure {
    forwarding::AttemptFailure failure;
    std::string_view cause;
  };
  std::optional<StartFailure> StartAttempt(const forwarding::SendDecision& send,
                                           const CallerRequestPtr& message);
  std::optional<StartFailure> StartAtPeer(const forwarding::SendDecision& send,
                                          const CallerRequestPtr& message);
  /// Sets the time-out of an attempt whose connection is `connection`.
  void FollowAttempt(const forwarding::SendDecision& send, BackendConnectionPtr connection);
  bool IsRepeatable(forwarding::RequestHandle handle) const;
  void Carry(forwarding::RequestHandle handle, const forwarding::CancelDecision& cancel);
  void Carry(forwarding::RequestHandle handle, const forwarding::RelayDecision& relay);
  void Carry(forwarding::RequestHandle handle, const forwarding::AnswerDecision& answer);
  /// Whether the caller of a request that is about to be sent is still there, as far as is known.
  bool CallerIsThere(forwarding::RequestHandle handle);
  /// Answers from here.
  void Refuse(const Request& request, const forwarding::AnswerDecision& decision);
  /// Forgets a request that is answered or whose caller is gone. Attempts that the dispatcher did
  /// not cancel go on unheard.
  Request Forget(forwarding::RequestHandle handle);
  void Tell(const Request& request, AnsweredRequest answered);
  void ApplyConnectionLimits();
  /// 0 when there is none.
  uint32_t ConnectionLimitOf(const std::string& service) const;
  /// Whether the attempt has not ended.
  bool IsRunning(forwarding::AttemptHandle handle) const;
  /// Tells the dispatcher when the event loop has stood still.
  void CheckStall(Time now);
  void Arm();
  void OnTimer();
  void EndLateAttempts(Time now);
  /// Closes the idle connections to the back end that left the attempt without an answer.
  void CloseSilent(const Attempt& attempt);
  /// Makes the probes that are due, and tells what was learned of suspects.
  void FollowSuspects();
  void ProbePaths();
  void OnSuspectProbe(const std::string& backend, BackendProbes::Result result);

  LoopResources resources_;
  forwarding::Dispatcher& dispatcher_;
  const DataPathSettings settings_;
  DataPathObserver no_observer_;
  DataPathObserver* observer_;
  /// Of each registered back end.
  std::unordered_map<std::string, std::string> services_;
  std::shared_ptr<const catalog::Configuration> configuration_;
  std::unordered_map<forwarding::RequestHandle, Request> requests_;
  std::unordered_map<forwarding::AttemptHandle, Attempt> attempts_;
  std::priority_queue<AttemptTimeout, std::vector<AttemptTimeout>, std::greater<>> timeouts_;
  bool pumping_ = false;
  const std::string request_id_header_;
  Timer timer_;
  /// When the timer goes off; infinite when it is not set.
  Time armed_for_ = absl::InfiniteFuture();
  Time next_sweep_;
  Time stalled_at_ = absl::InfinitePast();
  std::function<void()> drained_;
  bool quiet_posted_ = false;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
  std::function<void()> suspect_news_ = [] {};
  std::function<void()> pumped_ = [] {};
  BackendProbes probes_;
  BackendProbes path_probes_;
  PeerExchanges* peers_ = nullptr;
  BackendPool backends_;
  CallerServer callers_;
};

}  // namespace ladderstream::gateway
