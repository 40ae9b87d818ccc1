#include "gateway/http/data_path.h"

#include <absl/time/time.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "gateway/http/refusal.h"
#include "gateway/http/request_identity.h"

namespace ladderstream::gateway {

using forwarding::AttemptFailure;
using forwarding::AttemptHandle;
using forwarding::RequestHandle;

namespace {

/// Of an attempt that is cancelled; longer than most requests wait and run at a back end.
constexpr Duration kSilence = absl::Milliseconds(500);
/// The timer is never set shorter, so that the loop cannot spin on a time-out that stays due.
constexpr Duration kShortestTimer = absl::Milliseconds(1);
/// Neither accepted nor refused by then: the back end is cut off or silent, which is no crash.
constexpr Duration kSuspectProbeTimeout = absl::Milliseconds(300);
constexpr Duration kPathProbeTimeout = absl::Milliseconds(150);
/// A loop that stood still for so long may not know of requests that are held since.
constexpr Duration kStall = absl::Seconds(1);
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

forwarding::PathEvent PathEventOf(BackendProbes::Result result) {
  switch (result) {
    case BackendProbes::Result::kConnected:
      return forwarding::PathEvent::kConnected;
    case BackendProbes::Result::kRefused:
      return forwarding::PathEvent::kRefused;
    case BackendProbes::Result::kTimedOut:
      break;
  }
  return forwarding::PathEvent::kConnectFailed;
}

bool HasNoBody(int status) { return status == kNoContent || status == kNotModified; }

}  // namespace

DataPath::DataPath(EventLoop& loop, const TimeSource& clock,
                   const interfaces::PlatformAdapter& adapter, forwarding::Dispatcher& dispatcher,
                   const DataPathSettings& settings, DataPathObserver* observer)
    : resources_{loop, clock, std::make_shared<ByteBudget>(settings.max_held_bytes), {}},
      dispatcher_(dispatcher),
      settings_(settings),
      observer_(observer != nullptr ? observer : &no_observer_),
      request_id_header_(adapter.headers().request_id),
      timer_(loop.get_executor()),
      next_sweep_(clock.Now() + settings.sweep_interval),
      probes_(loop, kSuspectProbeTimeout, settings.backends.source_host,
              [this](const std::string& backend, BackendProbes::Result result) {
                OnSuspectProbe(backend, result);
              }),
      path_probes_(loop, kPathProbeTimeout, settings.backends.source_host,
                   [this](const std::string& backend, BackendProbes::Result result) {
                     dispatcher_.OnPathEvent(backend, PathEventOf(result), resources_.clock.Now());
                     Pump();
                   }),
      backends_(resources_, adapter, settings.backends, observer),
      callers_(resources_, adapter.headers(), settings.callers, *this) {
  Arm();
}

DataPath::~DataPath() = default;

void DataPath::SetConfiguration(std::shared_ptr<const catalog::Configuration> configuration) {
  configuration_ = std::move(configuration);
  callers_.SetLimits(configuration_->limits);
  ApplyConnectionLimits();
  dispatcher_.SetConfiguration(configuration_, resources_.clock.Now());
  Pump();
}

void DataPath::ChangeBackends(const catalog::BackendChanges& changes,
                              const forwarding::RegistrationUpdate& news) {
  for (const catalog::Backend& backend : changes.set) {
    services_[backend.id] = backend.service;
    backends_.SetConnectionLimit(backend.id, ConnectionLimitOf(backend.service));
  }
  for (const std::string& id : changes.gone) {
    services_.erase(id);
    backends_.Unlist(id);
  }
  dispatcher_.ChangeBackends(changes, news, resources_.clock.Now());
  Pump();
}

void DataPath::SetNodeCount(uint32_t node_count) {
  backends_.SetNodeCount(node_count);
  dispatcher_.SetNodeCount(node_count);
}

void DataPath::ApplyConnectionLimits() {
  for (const auto& [backend, service] : services_) {
    backends_.SetConnectionLimit(backend, ConnectionLimitOf(service));
  }
}

uint32_t DataPath::ConnectionLimitOf(const std::string& service) const {
  if (configuration_ == nullptr) {
    return 0;
  }
  const auto declared = configuration_->services.find(service);
  return declared == configuration_->services.end() ? 0 : declared->second.max_connections;
}

void DataPath::BeginDrain(std::function<void()> drained) {
  drained_ = std::move(drained);
  dispatcher_.SetStopping();
  callers_.BeginDrain();
}

void DataPath::OnQuiet() {
  if (!drained_ || std::exchange(quiet_posted_, true)) {
    return;
  }
  boost::asio::post(resources_.loop, [this, alive = std::weak_ptr<char>(alive_)] {
    if (alive.expired()) {
      return;
    }
    quiet_posted_ = false;
    if (IsQuiet()) {
      drained_();
    }
  });
}

void DataPath::Pump() {
  if (std::exchange(pumping_, true)) {
    return;
  }
  for (;;) {
    const std::vector<forwarding::RequestDecision> decisions = dispatcher_.TakeDecisions();
    if (decisions.empty()) {
      break;
    }
    for (const forwarding::RequestDecision& decided : decisions) {
      std::visit([this, &decided](const auto& decision) { Carry(decided.request, decision); },
                 decided.decision);
    }
  }
  pumping_ = false;
  FollowSuspects();
  ProbePaths();
  pumped_();
  Arm();
}

void DataPath::FollowSuspects() {
  quarantine::CrashSuspects& suspects = dispatcher_.suspects();
  const Time now = resources_.clock.Now();
  if (suspects.NextProbe() <= now) {
    for (const std::string& backend : dispatcher_.TakeSuspectProbes(now)) {
      const Endpoint* const address = dispatcher_.AddressOf(backend);
      if (address != nullptr) {
        probes_.Start(backend, *address);
      }
    }
  }
  if (suspects.TakeNews()) {
    suspect_news_();
  }
}

void DataPath::OnSuspectProbe(const std::string& backend, BackendProbes::Result result) {
  const Time now = resources_.clock.Now();
  switch (result) {
    case BackendProbes::Result::kConnected:
      dispatcher_.OnPathEvent(backend, forwarding::PathEvent::kConnected, now);
      break;
    case BackendProbes::Result::kRefused:
      dispatcher_.OnSuspectProbeFailed(backend, /*refused=*/true, now);
      break;
    case BackendProbes::Result::kTimedOut:
      dispatcher_.OnSuspectProbeFailed(backend, /*refused=*/false, now);
      break;
  }
  Pump();
}

void DataPath::ProbePaths() {
  for (const std::string& backend : dispatcher_.TakePathProbes()) {
    const Endpoint* const address = dispatcher_.AddressOf(backend);
    if (address != nullptr) {
      path_probes_.Start(backend, *address);
    }
  }
}

void DataPath::CheckStall(Time now) {
  if (resources_.lag.At(now) > kStall && now > stalled_at_ + kStall) {
    stalled_at_ = now;
    dispatcher_.OnStalled(now);
  }
}

void DataPath::OnRequest(const CallerConnectionPtr& connection, CallerRequest incoming) {
  const Time now = resources_.clock.Now();
  CheckStall(now);
  const auto message = std::make_shared<const CallerRequest>(std::move(incoming));
  const Time deadline = message->time_left.has_value() ? message->arrival + *message->time_left
                                                       : absl::InfiniteFuture();
  Request request;
  request.caller = connection;
  request.message = message;
  const catalog::Route* route = dispatcher_.FindRoute(message->host, message->target);
  if (route != nullptr) {
    request.route = route->name;
    request.repeatable = route->repeatability == catalog::Repeatability::kRepeatable;
  }
  observer_->OnRequestStarted(message->request_id, request.route);
  forwarding::IncomingRequest described;
  described.request_id = message->request_id;
  described.host = message->host;
  described.target = message->target;
  described.key = message->key;
  described.arrival = message->arrival;
  described.deadline = deadline;
  described.identity = IdentityOf(*message, request_id_header_);
  observer_->OnRequestDescribed(described);
  const RequestHandle handle = dispatcher_.Start(described, now);
  connection->set_request_handle(handle);
  requests_.emplace(handle, std::move(request));
  Pump();
}

void DataPath::OnCallerGone(CallerConnection& connection) {
  const RequestHandle handle = connection.request_handle();
  const auto found = requests_.find(handle);
  if (found == requests_.end()) {
    return;
  }
  const Time now = resources_.clock.Now();
  observer_->OnCallerGone(found->second.message->request_id, now - found->second.message->arrival);
  dispatcher_.OnCallerDisconnected(handle, now);
  Pump();
  if (requests_.contains(handle)) {
    Forget(handle);
  }
}

void DataPath::OnRefused(const ReadFault& fault) {
  observer_->OnMalformed(fault.code, fault.detail);
}

void DataPath::OnCallerGoneUnread(const CallerRequest& request) {
  observer_->OnCallerGone(request.request_id, resources_.clock.Now() - request.arrival);
}

bool DataPath::CallerIsThere(RequestHandle handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) {
    return false;
  }
  const CallerConnectionPtr caller = found->second.caller;
  caller->CloseIfCallerLeft();
  return requests_.contains(handle);
}

void DataPath::OnConnected(AttemptHandle attempt) {
  dispatcher_.OnConnected(attempt, resources_.clock.Now());
  Pump();
}

bool DataPath::IsRepeatable(RequestHandle handle) const {
  const auto found = requests_.find(handle);
  return found != requests_.end() && found->second.repeatable;
}

bool DataPath::MaySend(AttemptHandle attempt) {
  CheckStall(resources_.clock.Now());
  const auto found = attempts_.find(attempt);
  return found != attempts_.end() && CallerIsThere(found->second.request) &&
         dispatcher_.MaySend(attempt, resources_.clock.Now());
}

void DataPath::OnSent(AttemptHandle handle) {
  const auto found = attempts_.find(handle);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.sent = resources_.clock.Now();
  dispatcher_.OnSent(handle, attempt.sent);
  observer_->OnAttemptSent(attempt.message->request_id, attempt.backend);
  Arm();
}

void DataPath::OnAnswer(AttemptHandle handle, BackendAnswer answer) {
  const auto found = attempts_.find(handle);
  if (found == attempts_.end()) {
    return;
  }
  const Time now = resources_.clock.Now();
  Attempt& attempt = found->second;
  if (!answer.not_understood.empty()) {
    observer_->OnNotUnderstood(answer.not_understood, attempt.backend);
  }
  forwarding::AttemptAnswer told;
  told.status = answer.status;
  told.not_executed = answer.not_executed;
  told.load = answer.load;
  told.cold_left = answer.cold_left;
  told.backoff = answer.rest;
  told.leaving = answer.leaving;
  told.limit = answer.limit;
  told.closing = !answer.keeps_open;
  attempt.connection = nullptr;
  attempt.at_peer = false;
  attempt.duration = now - attempt.sent;
  observer_->OnAttemptAnswered(attempt.message->request_id, attempt.backend, told,
                               attempt.duration);
  if (requests_.contains(attempt.request)) {
    attempt.answer = std::move(answer);
  } else {
    attempts_.erase(found);
  }
  dispatcher_.OnAttemptAnswer(handle, told, now);
  Pump();
}

void DataPath::OnFailure(AttemptHandle handle, AttemptFailure failure, std::string_view cause) {
  const auto found = attempts_.find(handle);
  if (found == attempts_.end()) {
    return;
  }
  observer_->OnAttemptFailed(found->second.message->request_id, found->second.backend, failure,
                             cause);
  attempts_.erase(found);
  const Time now = resources_.clock.Now();
  dispatcher_.OnAttemptFailure(handle, failure, now);
  Pump();
}

void DataPath::Carry(RequestHandle handle, const forwarding::SendDecision& send) {
  // A cancelled attempt that still went out could run beside the one that replaces it.
  if (!CallerIsThere(handle) || !dispatcher_.IsExpected(send.attempt)) {
    return;
  }
  Request& request = requests_.at(handle);
  ++request.sends;
  request.attempts.push_back(send.attempt);
  const CallerRequestPtr message = request.message;
  Attempt attempt;
  attempt.request = handle;
  attempt.message = message;
  attempt.backend = send.backend;
  attempt.connect_by = send.connect_by;
  attempt.answer_by = send.answer_by;
  attempts_.emplace(send.attempt, std::move(attempt));
  observer_->OnAttemptDecided(message->request_id, send);
  if (const std::optional<StartFailure> failed = StartAttempt(send, message)) {
    OnFailure(send.attempt, failed->failure, failed->cause);
  }
}

std::optional<DataPath::StartFailure> DataPath::StartAttempt(const forwarding::SendDecision& send,
                                                             const CallerRequestPtr& message) {
  const bool on_idle = send.prefer_idle && !send.needs_new_connection &&
                       backends_.HasIdle(send.backend, send.address, message->request_id);
  if (send.peer != 0 && !on_idle) {
    return StartAtPeer(send, message);
  }
  if (send.peer != 0) {
    dispatcher_.OnSentDirectly(send.attempt);
  }
  const Exchange exchange{send.attempt, message, send.answer_by, this, send.needs_new_connection};
  BackendConnectionPtr connection;
  try {
    connection = backends_.Start(send.backend, send.address, exchange);
  } catch (const Error& /*error*/) {
    return StartFailure{AttemptFailure::kConnectRefused, "its address is no IP address"};
  }
  if (connection == nullptr) {
    return StartFailure{AttemptFailure::kNotSent, "enough connections to this back end"};
  }
  FollowAttempt(send, std::move(connection));
  return std::nullopt;
}

std::optional<DataPath::StartFailure> DataPath::StartAtPeer(const forwarding::SendDecision& send,
                                                            const CallerRequestPtr& message) {
  Attempt& attempt = attempts_.at(send.attempt);
  if (peers_ == nullptr || !peers_->Start(send, IsRepeatable(attempt.request), message, this)) {
    return StartFailure{AttemptFailure::kPeerUnavailable, "not handed to the peer"};
  }
  attempt.at_peer = true;
  timeouts_.push({send.answer_by, send.attempt});
  OnSent(send.attempt);
  return std::nullopt;
}

void DataPath::FollowAttempt(const forwarding::SendDecision& send,
                             BackendConnectionPtr connection) {
  const auto started = attempts_.find(send.attempt);
  if (started != attempts_.end()) {
    const Time due =
        connection->is_connecting() ? std::min(send.connect_by, send.answer_by) : send.answer_by;
    timeouts_.push({due, send.attempt});
    started->second.connection = std::move(connection);
  }
}

void DataPath::Carry(RequestHandle /*handle*/, const forwarding::CancelDecision& cancel) {
  const auto found = attempts_.find(cancel.attempt);
  if (found == attempts_.end()) {
    return;
  }
  observer_->OnAttemptCancelled(found->second.message->request_id, found->second.backend);
  const BackendConnectionPtr connection = std::move(found->second.connection);
  if (found->second.at_peer) {
    peers_->Cancel(cancel.attempt);
  }
  if (resources_.clock.Now() - found->second.sent >= kSilence) {
    CloseSilent(found->second);
  }
  attempts_.erase(found);
  if (connection != nullptr) {
    connection->Close("the attempt was cancelled");
  }
}

void DataPath::Carry(RequestHandle handle, const forwarding::RelayDecision& relay) {
  const auto source = attempts_.find(relay.attempt);
  if (!requests_.contains(handle) || source == attempts_.end() ||
      !source->second.answer.has_value()) {
    return;
  }
  Attempt attempt = std::move(source->second);
  attempts_.erase(source);
  const Request request = Forget(handle);
  BackendAnswer& relayed = *attempt.answer;
  CallerAnswer answer;
  answer.head = std::move(relayed.head);
  answer.body = std::move(relayed.body);
  answer.reservation = std::move(relayed.reservation);
  answer.tells_length = !request.message->is_head_method && !HasNoBody(relayed.status);
  AnsweredRequest answered;
  answered.status = relayed.status;
  answered.backend = attempt.backend;
  answered.at_backend = attempt.duration;
  const auto service = services_.find(attempt.backend);
  if (service != services_.end()) {
    answered.service = service->second;
  }
  Tell(request, answered);
  request.caller->Answer(std::move(answer));
}

void DataPath::Carry(RequestHandle handle, const forwarding::AnswerDecision& answer) {
  if (requests_.contains(handle)) {
    Refuse(Forget(handle), answer);
  }
}

void DataPath::Refuse(const Request& request, const forwarding::AnswerDecision& decision) {
  AnsweredRequest answered;
  answered.status = decision.status;
  answered.code = decision.code;
  answered.reason = decision.reason;
  Tell(request, answered);
  CallerAnswer answer =
      MakeRefusal(decision.status, decision.code, decision.reason, decision.retry_after);
  answer.omits_body = request.message->is_head_method;
  request.caller->Answer(std::move(answer));
}

void DataPath::Tell(const Request& request, AnsweredRequest answered) {
  answered.request_id = request.message->request_id;
  answered.route = request.route;
  answered.total = resources_.clock.Now() - request.message->arrival;
  answered.attempts = request.sends;
  observer_->OnAnswered(answered);
}

DataPath::Request DataPath::Forget(RequestHandle handle) {
  Request request = std::move(requests_.extract(handle).mapped());
  for (const AttemptHandle attempt : request.attempts) {
    const auto ended = attempts_.find(attempt);
    if (ended != attempts_.end() && !IsRunning(attempt)) {
      attempts_.erase(ended);
    }
  }
  return request;
}

void DataPath::Arm() {
  while (!timeouts_.empty() && !IsRunning(timeouts_.top().attempt)) {
    timeouts_.pop();
  }
  Time next = std::min(dispatcher_.NextWake(), next_sweep_);
  if (!timeouts_.empty()) {
    next = std::min(next, timeouts_.top().due);
  }
  if (next >= armed_for_) {
    return;
  }
  armed_for_ = next;
  resources_.lag.OnTimerArmed(next);
  const Duration wait = std::max(next - resources_.clock.Now(), kShortestTimer);
  timer_.expires_after(absl::ToChronoNanoseconds(wait));
  timer_.async_wait([this, alive = std::weak_ptr<char>(alive_)](const ErrorCode& error) {
    if (!error && !alive.expired()) {
      OnTimer();
    }
  });
}

bool DataPath::IsRunning(AttemptHandle handle) const {
  const auto found = attempts_.find(handle);
  return found != attempts_.end() && (found->second.connection != nullptr || found->second.at_peer);
}

void DataPath::OnTimer() {
  armed_for_ = absl::InfiniteFuture();
  const Time now = resources_.clock.Now();
  CheckStall(now);
  resources_.lag.OnTimer(now);
  if (dispatcher_.NextWake() <= now) {
    dispatcher_.OnTick(now);
    Pump();
  }
  EndLateAttempts(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + settings_.sweep_interval;
    callers_.Sweep(now);
    backends_.Sweep(now);
  }
  Arm();
}

void DataPath::CloseSilent(const Attempt& attempt) {
  if (attempt.sent != absl::InfiniteFuture() && !attempt.at_peer) {
    // What silenced its connection may have silenced these, each of which would cost another
    // request its whole time.
    backends_.CloseIdleSince(attempt.backend, attempt.sent);
  }
}

void DataPath::EndLateAttempts(Time now) {
  while (!timeouts_.empty() && timeouts_.top().due <= now) {
    const AttemptHandle handle = timeouts_.top().attempt;
    timeouts_.pop();
    if (!IsRunning(handle)) {
      continue;
    }
    const Attempt& attempt = attempts_.at(handle);
    if (attempt.at_peer) {
      peers_->Cancel(handle);
      OnFailure(handle, AttemptFailure::kTimedOut, "time-out at the peer");
      continue;
    }
    const bool connecting = attempt.connection->is_connecting();
    if (now < attempt.answer_by && !(connecting && now >= attempt.connect_by)) {
      timeouts_.push({attempt.answer_by, handle});
      continue;
    }
    const BackendConnectionPtr connection = attempt.connection;
    CloseSilent(attempt);
    connection->Close("no answer in time");
    OnFailure(handle, connecting ? AttemptFailure::kConnectTimeout : AttemptFailure::kTimedOut,
              "time-out");
  }
}

}  // namespace ladderstream::gateway
