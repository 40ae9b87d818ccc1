#include "node/node.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include "gateway/settings/leave_bound.h"
#include "logging/log.h"
#include "settings/setting_fault.h"
#include "wire/result_code.h"

namespace ladderstream::node {
namespace {

/// Minimum time for which a stopping node accepts connections: the platform redirects callers only
/// after two failed readiness checks, one second apart.
constexpr Duration kMinDrainTime = absl::Milliseconds(2600);

/// Part of the grace time reserved for writing the last log lines and ending the process.
constexpr Duration kStopMargin = absl::Milliseconds(400);

/// After this share of the grace time, requests that may run past its end are refused.
constexpr double kLongRequestCutoffShare = 0.5;

constexpr Duration kHousekeepingInterval = absl::Seconds(1);
/// Housekeeping turns per log line with the counts of store calls.
constexpr uint64_t kHousekeepingTurnsPerStoreCallsLine = 5;
/// Collecting what this node witnessed takes time for each suspect.
constexpr Duration kWitnessedInterval = absl::Milliseconds(100);
constexpr Duration kFinalFlushTimeout = absl::Milliseconds(50);

/// Shares of the machine's memory: of the bodies of requests and answers, and of those that this
/// node carries for others.
constexpr double kBodyMemoryShare = 0.3;
constexpr double kCarriedBodyMemoryShare = 0.15;
/// Descriptors reserved for files, listening sockets, other nodes and back ends.
constexpr uint32_t kReservedDescriptors = 900;

constexpr char kProgramVersion[] = "0.2.0";

uint64_t DrawIncarnation() {
  std::random_device device;
  // Zero means "none" on the wire, so the lowest bit is always set.
  return (uint64_t{device()} << 32U | device()) | 1U;
}

gateway::DataPathSettings DataPathSettingsOf(const gateway::NodeSettings& settings) {
  gateway::DataPathSettings data_path;
  data_path.callers.listen = settings.listen.callers;
  data_path.backends.source_host = settings.source_host;
  const uint32_t descriptors = settings.limits.descriptors;
  data_path.callers.max_connections =
      descriptors > 2 * kReservedDescriptors ? descriptors - kReservedDescriptors : descriptors / 2;
  data_path.max_held_bytes = settings.limits.MemoryShare(kBodyMemoryShare);
  return data_path;
}

forwarding::DispatcherSettings DispatcherSettingsOf(const gateway::NodeSettings& settings,
                                                    uint64_t incarnation) {
  forwarding::DispatcherSettings dispatcher = settings.forwarding;
  dispatcher.seed = incarnation;
  dispatcher.node = incarnation;
  dispatcher.suspects_are_stored = true;
  return dispatcher;
}

void DescribeLosses(const quarantine::CrashSuspects& suspects, Time now,
                    observability::NodeState* state) {
  state->requests_held = suspects.CountHeld(now);
  state->losses_open = suspects.CountOpen(now);
  for (size_t i = 0; i < suspects.settled().size(); ++i) {
    const std::string name(quarantine::NameOf(static_cast<quarantine::LossState>(i)));
    state->losses_settled[name] = suspects.settled()[i];
  }
}

/// `name` is a valid severity: the settings check rejects all other names.
void SetLogLevel(std::string_view name) {
  Severity lowest = Severity::kInfo;
  ParseSeverity(name, &lowest);
  SetUpLogging(lowest);
}

}  // namespace

Node::Node(const gateway::NodeSettings& settings, interfaces::PlatformAdapterPtr adapter,
           gateway::SettingsFile* file)
    : settings_(settings),
      adapter_(std::move(adapter)),
      file_(file),
      incarnation_(DrawIncarnation()),
      log_({settings.name, absl::StrCat(absl::Hex(incarnation_))}, &clock_),
      log_output_(&loop_, &log_, 1),
      beliefs_(&log_, &metrics_),
      request_observer_(&log_, &metrics_, &beliefs_.in_force()),
      resources_(
          new gateway::LoopResources{loop_,
                                     clock_,
                                     std::make_shared<gateway::ByteBudget>(
                                         settings.limits.MemoryShare(kCarriedBodyMemoryShare)),
                                     {}}),
      dispatcher_(DispatcherSettingsOf(settings, incarnation_)),
      data_path_(loop_, clock_, *adapter_, dispatcher_, DataPathSettingsOf(settings),
                 &request_observer_),
      request_relay_(resources_.get(), &metrics_, incarnation_),
      request_carrier_(&data_path_, &dispatcher_, &request_observer_, &metrics_,
                       [this](uint64_t connection, const membership::RelayedAnswer& answer) {
                         control_plane_.SendRelayedAnswer(connection, answer);
                       }),
      control_plane_(resources_.get(), settings, incarnation_, adapter_, &beliefs_, &metrics_,
                     this),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      housekeeping_(loop_),
      stop_timer_(loop_) {
  data_path_.SetPeerExchanges(&request_relay_);
  data_path_.SetSuspectNews([this] { PublishSuspects(/*own=*/true); });
  data_path_.SetPumped([this] {
    SyncLimits();
    SyncSuspectStore();
  });
  readiness_ = std::make_unique<gateway::ReadinessServer>(
      loop_, settings.listen.readiness, adapter_->ready_path(), [this] { return IsReady(); });
  if (settings.listen.metrics) {
    ServeMetrics(*settings.listen.metrics);
  }
}

Node::~Node() = default;

void Node::ServeMetrics(const Endpoint& listen) {
  try {
    metrics_server_ = std::make_unique<gateway::ReadinessServer>(loop_, listen, "/ready",
                                                                 [this] { return IsReady(); });
  } catch (const Error& error) {
    // Metrics are optional: requests are still served.
    Log(Part::kMetrics, Severity::kError, "Metrics are not served.", {{"reason", error.what()}});
    return;
  }
  metrics_server_->AddPage("/metrics", [this] {
    return gateway::PageAnswer{200, std::string(observability::NodeMetrics::kContentType),
                               MetricsText()};
  });
}

bool Node::Run() {
  SetLogLevel(settings_.log_level);
  beliefs_.OnStarted(kProgramVersion, settings_.listen.callers, settings_.zone);
  WaitForSignal();
  control_plane_.Start();
  OnHousekeeping();
  loop_.run();
  log_output_.FlushWithin(kFinalFlushTimeout);
  return !stop_timed_out_;
}

void Node::OnConfiguration(std::shared_ptr<const catalog::Configuration> configuration) {
  data_path_.SetConfiguration(std::move(configuration));
  LogBeliefs();
}

void Node::OnBackends(const catalog::BackendChanges& changes,
                      const forwarding::RegistrationUpdate& update) {
  data_path_.ChangeBackends(changes, update);
  LogBeliefs();
}

void Node::OnOwnership(std::shared_ptr<const ownership::OwnershipMap> map) {
  dispatcher_.SetOwnership(std::move(map), Now());
  data_path_.Pump();
  LogBeliefs();
}

void Node::OnMapConfirmed(Time until) { dispatcher_.SetMapConfirmed(until); }

void Node::OnMembers(const std::vector<membership::PeerIdentity>& members) {
  std::vector<uint64_t> incarnations;
  std::vector<membership::PeerIdentity> others;
  std::vector<forwarding::RelayPeer> relay_peers;
  for (const membership::PeerIdentity& member : members) {
    incarnations.push_back(member.incarnation);
    if (member.incarnation != incarnation_) {
      others.push_back(member);
      relay_peers.push_back({member.incarnation, member.zone});
    }
  }
  data_path_.SetNodeCount(std::max<uint32_t>(1, members.size()));
  dispatcher_.SetMembers(incarnations, Now());
  dispatcher_.SetRelayPeers(std::move(relay_peers));
  request_relay_.SetPeers(others);
}

void Node::OnRelayedRequest(uint64_t connection, membership::RelayedRequest request, Duration age) {
  request_carrier_.OnRequest(connection, std::move(request), age);
}

void Node::OnRelayCancel(uint64_t connection, const membership::RelayCancel& cancel) {
  request_carrier_.OnCancel(connection, cancel);
}

void Node::OnIncomingClosed(uint64_t connection) {
  request_carrier_.OnConnectionClosed(connection);
}

void Node::OnMembersConfirmed(Time until) { dispatcher_.SetMembersConfirmed(until); }

void Node::OnSuspects(const std::vector<quarantine::SuspectRecord>& suspects) {
  if (dispatcher_.OnSuspectsReceived(suspects, Now())) {
    PublishSuspects(/*own=*/false);
  }
  data_path_.Pump();
}

void Node::OnSuspectsInherited(const std::vector<quarantine::SuspectRecord>& suspects) {
  dispatcher_.suspects().Inherit(suspects);
  SaveWitnessed();
}

void Node::OnSuspectsKnown() {
  dispatcher_.SetSuspectsKnown();
  data_path_.Pump();
}

void Node::OnTrialGranted(const quarantine::Fingerprint& request) {
  dispatcher_.suspects().OnTrialGranted(request, Now());
  data_path_.Pump();
}

void Node::OnTrialDenied(const quarantine::Fingerprint& request) {
  dispatcher_.suspects().OnTrialDenied(request);
}

void Node::OnSuspectCleared(const quarantine::Fingerprint& request) {
  dispatcher_.suspects().Release(request, Now());
}

void Node::SyncSuspectStore() {
  quarantine::CrashSuspects& suspects = dispatcher_.suspects();
  if (suspects.HasLosses()) {
    control_plane_.SaveSuspects(suspects.TakeStoredChanges(Now()));
    control_plane_.RequestTrials(suspects.TakeTrialsWanted(Now()));
    if (Now() >= next_witnessed_) {
      SaveWitnessed();
    }
  }
}

void Node::SaveWitnessed() {
  const Time now = Now();
  next_witnessed_ = now + kWitnessedInterval;
  control_plane_.SaveWitnessed(dispatcher_.suspects().Witnessed(now));
}

void Node::PublishSuspects(bool own) {
  control_plane_.PublishSuspects(dispatcher_.suspects().Shared(Now()), own);
  LogBeliefs();
}

void Node::OnLimits(const std::vector<allowance::LimitRecord>& limits) {
  if (dispatcher_.OnLimitsReceived(limits, Now())) {
    PublishLimits(/*own=*/false);
    data_path_.Pump();
  }
}

std::map<std::string, double> Node::LimitsInForce() {
  std::map<std::string, double> limits;
  for (const allowance::LimitRecord& record : dispatcher_.rates().limits().InForce()) {
    limits[record.backend] = record.rate.value_or(0);
  }
  return limits;
}

allowance::PermitReply Node::OnPermitQuestion(const allowance::PermitQuestion& question) {
  return dispatcher_.OnPermitQuestion(question, Now());
}

void Node::OnPermitReply(const allowance::PermitReply& reply) {
  dispatcher_.OnPermitReply(reply, Now());
  data_path_.Pump();
}

void Node::SyncLimits() {
  if (dispatcher_.TakeLimitsChanged()) {
    PublishLimits(/*own=*/true);
  }
  const std::vector<allowance::PermitQuestion> questions = dispatcher_.TakePermitQuestions();
  if (!questions.empty()) {
    control_plane_.RequestPermits(questions);
  }
}

void Node::PublishLimits(bool own) {
  const allowance::ToldLimits& limits = dispatcher_.rates().limits();
  control_plane_.PublishLimits(limits.Changed(/*own_only=*/true, Now()),
                               limits.Changed(/*own_only=*/false, Now()), own);
  LogBeliefs();
}

std::vector<load::ServiceLoad> Node::TakeLoad() {
  LogBeliefs();
  return dispatcher_.TakeLoad();
}

void Node::LogBeliefs() { beliefs_.OnBackendBeliefs(dispatcher_.TakeStateChanges()); }

bool Node::IsReady() {
  const bool serves = control_plane_.HasConfiguration() && control_plane_.KnowsSuspects() &&
                      dispatcher_.CanServe(Now());
  const bool ready = !stopping_ && serves;
  std::string_view reason = "serving";
  if (stopping_) {
    reason = "stopping";
  } else if (!control_plane_.HasConfiguration()) {
    reason = "no configuration";
  } else if (!control_plane_.KnowsSuspects()) {
    reason = "held requests not read";
  } else if (!serves) {
    reason = "nothing to send to";
  }
  beliefs_.OnReady(ready, reason);
  return ready;
}

std::string Node::MetricsText() {
  observability::NodeState state;
  state.ready = IsReady();
  state.retry_budget_left = dispatcher_.RetriesLeft(Now());
  state.requests_queued = dispatcher_.RequestsWaiting();
  state.least_admission_share = dispatcher_.MinAdmissionShare();
  DescribeLosses(dispatcher_.suspects(), Now(), &state);
  for (const auto& [backend, rate] : LimitsInForce()) {
    ++state.backends_limited;
    state.limits_per_second += rate;
  }
  state.permits_granted = dispatcher_.rates().issuer().granted();
  state.permits_denied = dispatcher_.rates().issuer().denied();
  state.loop_lag = data_path_.loop_lag();
  state.requests_in_flight = data_path_.requests_in_flight();
  state.requests_carried = request_carrier_.in_flight();
  state.paths_cut = dispatcher_.CountCutPaths();
  state.caller_connections = data_path_.caller_connection_count();
  state.backend_connections = data_path_.backend_connection_count();
  state.leave_bound =
      gateway::LeaveBoundOf(settings_.membership.relay, settings_.forwarding.connect_timeout)
          .Total();
  control_plane_.Describe(&state);
  return metrics_.Text(state, log_.budget());
}

void Node::OnHousekeeping() {
  dispatcher_.suspects().Forget(Now());
  SaveWitnessed();
  dispatcher_.ExpireLimits(Now());
  LogBeliefs();
  control_plane_.LogConfigurationAge();
  log_.OnTick(Now());
  if (++housekeeping_turns_ % kHousekeepingTurnsPerStoreCallsLine == 0) {
    beliefs_.OnStoreCalls(control_plane_.StoreCalls());
  }
  if (file_->HasChanged()) {
    Reload("file");
  }
  housekeeping_.expires_after(absl::ToChronoNanoseconds(kHousekeepingInterval));
  housekeeping_.async_wait([this](const gateway::ErrorCode& error) {
    if (!error) {
      OnHousekeeping();
    }
  });
}

void Node::WaitForSignal() {
  signals_.async_wait([this](const gateway::ErrorCode& error, int signal) {
    if (error) {
      return;
    }
    WaitForSignal();
    OnSignal(signal);
  });
}

void Node::OnSignal(int signal) {
  if (signal == SIGHUP) {
    Reload("SIGHUP");
    return;
  }
  BeginStop(signal == SIGTERM ? "SIGTERM" : "SIGINT");
}

void Node::Reload(std::string_view cause) {
  try {
    const gateway::NodeSettings fresh = file_->Load();
    beliefs_.OnSettingsReloaded(cause, Describe(CompareSettings(settings_, fresh)));
    Apply(fresh);
  } catch (const settings::SettingsError& error) {
    beliefs_.OnSettingsRejected(cause, error.what());
  }
}

void Node::Apply(const gateway::NodeSettings& fresh) {
  SetLogLevel(fresh.log_level);
  settings_.bounds.stop_grace = fresh.bounds.stop_grace;
  dispatcher_.SetRetryBudget(fresh.bounds.retry_budget_ratio, fresh.bounds.retry_budget_slack,
                             fresh.bounds.retry_budget_window);
  control_plane_.Apply(fresh);
  if (fresh.released_request.has_value() && fresh.released_request != settings_.released_request) {
    dispatcher_.suspects().Release(*fresh.released_request, Now());
    data_path_.Pump();
  }
  settings_.released_request = fresh.released_request;
  settings_.written = fresh.written;
}

void Node::BeginStop(std::string_view cause) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_began_ = Now();
  stop_cause_ = std::string(cause);
  beliefs_.OnStopping(cause, RequestsInFlight());
  IsReady();
  control_plane_.Resign();
  dispatcher_.SetStopping();
  dispatcher_.SetEnd(stop_began_ + kLongRequestCutoffShare * settings_.bounds.stop_grace,
                     StopDeadline());
  data_path_.BeginDrain([this] { TryStop(); });
  TryStop();
}

size_t Node::RequestsInFlight() const {
  return data_path_.requests_in_flight() + request_carrier_.in_flight();
}

Time Node::StopDeadline() const { return stop_began_ + settings_.bounds.stop_grace - kStopMargin; }

void Node::TryStop() {
  const Time now = Now();
  const Time deadline = StopDeadline();
  if (now >= deadline) {
    EndStop(RequestsInFlight() > 0 || !data_path_.IsQuiet());
    return;
  }
  const Time min_drain_end = std::min(stop_began_ + kMinDrainTime, deadline);
  // An answer that is still being written ends with the process, so its caller is waited for.
  if (now >= min_drain_end && RequestsInFlight() == 0 && data_path_.IsQuiet()) {
    EndStop(false);
    return;
  }
  const Time next =
      now < min_drain_end ? min_drain_end : std::min(now + absl::Milliseconds(50), deadline);
  stop_timer_.expires_after(absl::ToChronoNanoseconds(next - now));
  stop_timer_.async_wait([this](const gateway::ErrorCode& error) {
    if (!error) {
      TryStop();
    }
  });
}

void Node::EndStop(bool timed_out) {
  stop_timed_out_ = timed_out;
  beliefs_.OnStopped(stop_cause_, RequestsInFlight(), Now() - stop_began_);
  loop_.stop();
}

}  // namespace ladderstream::node
