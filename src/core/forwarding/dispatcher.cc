#include "core/forwarding/dispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {
namespace {

/// Shares of the retry budget that a node uses: the counts of several nodes never agree exactly.
constexpr double kRatioInUse = 0.85;
constexpr double kSlackInUse = 0.8;
/// Longest wait for a slot or an owner of a request without a target latency.
constexpr Duration kDefaultMaxWait = absl::Milliseconds(100);
/// Share of the target latency that is assumed as service time until one is measured.
constexpr double kPriorServiceShare = 1.0 / 3;
constexpr Duration kNoConfigurationRetryAfter = absl::Milliseconds(250);
/// Short, as another node can take the request immediately.
constexpr Duration kStoppingRetryAfter = absl::Milliseconds(20);

Duration MaxWaitOf(const catalog::Route& route, const DispatcherSettings& settings) {
  if (route.target_latency == absl::InfiniteDuration()) {
    return kDefaultMaxWait;
  }
  return std::max(route.target_latency * settings.max_wait_share - settings.answer_margin,
                  absl::ZeroDuration());
}

}  // namespace

Dispatcher::Impl::Impl(const DispatcherSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      splits_(random_),
      services_(settings_),
      chosen_nodes_(settings_.node),
      cold_senders_(chosen_nodes_, settings_.cold_overshoot, settings_.cold_slack),
      rates_(chosen_nodes_),
      relay_peers_(settings_.zone, random_),
      least_wait_(settings_, cold_senders_, rates_, random_),
      owner_(ownership_, services_, cold_senders_, rates_, settings_.limit_owners),
      guarded_least_wait_(least_wait_),
      guarded_owner_(owner_) {
  suspects_.SetContacts(&paths_);
  suspects_known_ = !settings.suspects_are_stored;
  SetNodeCount(settings.node_count);
  SetRetryBudget(settings.budget_ratio, settings.budget_slack, settings.budget_window);
}

void Dispatcher::Impl::SetConfiguration(std::shared_ptr<const catalog::Configuration> configuration,
                                        Time now) {
  const auto& current = routes_.configuration();
  if (configuration == nullptr || configuration->version == 0 ||
      (current != nullptr && configuration->version <= current->version)) {
    return;
  }
  retry_limits_.started = std::min(retry_limits_.started, now);
  routes_ = RouteIndex(std::move(configuration));
  splits_.SetRoutes(routes_.configuration()->routes);
}

void Dispatcher::Impl::ChangeBackends(const catalog::BackendChanges& changes,
                                      const RegistrationUpdate& update, Time now) {
  services_.ChangeBackends(changes, update, now);
  for (const catalog::Backend& backend : changes.set) {
    paths_.SetBackend(backend.id, backend.service, backend.zone);
  }
  for (const std::string& id : changes.gone) {
    paths_.RemoveBackend(id);
  }
  ApplyRegistrations(changes, now);
  for (ServiceState* service : services_.Services()) {
    DispatchWaiting(*service, now);
  }
}

void Dispatcher::Impl::SetOwnership(std::shared_ptr<const ownership::OwnershipMap> map, Time now) {
  ownership_.SetMap(std::move(map));
  for (ServiceState* service : services_.Services()) {
    DispatchWaiting(*service, now);
  }
}

void Dispatcher::Impl::SetNodeCount(uint32_t node_count) {
  node_count_ = std::max(node_count, 1U);
  retry_limits_.slack = budget_slack_ * kSlackInUse / node_count_;
}

void Dispatcher::Impl::SetRetryBudget(double ratio, double slack, Duration window) {
  retry_limits_.ratio = ratio * kRatioInUse;
  retry_limits_.window = window;
  budget_slack_ = slack;
  SetNodeCount(node_count_);
}

const catalog::Route* Dispatcher::Impl::FindRoute(std::string_view host,
                                                  std::string_view target) const {
  return routes_.Find(host, target);
}

RequestHandle Dispatcher::Impl::Start(const IncomingRequest& incoming, Time now) {
  const RequestHandle handle = ++last_request_;
  const auto refuse = [this, handle](ResultCode code, Duration retry_after, std::string reason) {
    decisions_.push_back({handle, MakeAnswer(code, retry_after, std::move(reason))});
    return handle;
  };
  if (routes_.configuration() == nullptr) {
    return refuse(ResultCode::kConfigurationUnconfirmed, kNoConfigurationRetryAfter,
                  "no configuration is known yet");
  }
  const catalog::Route* route = routes_.Find(incoming.host, incoming.target);
  if (route == nullptr) {
    return refuse(
        ResultCode::kUnknownService, absl::ZeroDuration(),
        absl::StrCat("configuration ", routes_.configuration()->version, " has no route for ",
                     std::string(incoming.host), " ", std::string(incoming.target)));
  }
  auto made = MakeRequest(incoming, *route, now);
  Request& request = *made;
  request.handle = handle;
  if (now > last_start_ && request.answer_by > end_) {
    return refuse(ResultCode::kShuttingDown, kStoppingRetryAfter,
                  absl::StrCat(request.service->name, ": this node ends before the request might"));
  }
  request.identity = incoming.identity;
  if (std::optional<AnswerDecision> held = JudgeNew(request, now)) {
    decisions_.push_back({handle, *std::move(held)});
    return handle;
  }
  request.service->budget.AddRequest(retry_limits_, now);
  if (request.sharded) {
    if (!request.key || *request.key > ownership::kLastKey) {
      return refuse(ResultCode::kMalformedRequest, absl::ZeroDuration(),
                    absl::StrCat(request.service->name, ": the key is missing or no valid key"));
    }
    request.service->load.AddKey(*request.key);
  }
  requests_.emplace(handle, std::move(made));
  Dispatch(request, now);
  return handle;
}

std::unique_ptr<Request> Dispatcher::Impl::MakeRequest(const IncomingRequest& incoming,
                                                       const catalog::Route& route, Time now) {
  auto request = std::make_unique<Request>();
  request->configuration = routes_.configuration();
  request->route = &route;
  request->service = &services_.Service(splits_.Next(route));
  const auto& declared = request->configuration->services;
  const auto service = declared.find(request->service->name);
  request->sharded = service != declared.end() && service->second.sharded;
  request->key = incoming.key;
  request->arrival = incoming.arrival;
  request->answer_by =
      std::min(incoming.arrival + route.timeout, incoming.deadline) - settings_.answer_margin;
  request->start_by = std::min(request->answer_by,
                               incoming.arrival + route.target_latency * settings_.overload_share);
  request->wait_deadline = incoming.arrival + MaxWaitOf(route, settings_);
  if (route.target_latency != absl::InfiniteDuration()) {
    request->service->averages.SetPrior(route.target_latency * kPriorServiceShare);
  }
  retry_limits_.started = std::min(retry_limits_.started, now);
  return request;
}

std::vector<load::ServiceLoad> Dispatcher::Impl::TakeLoad() {
  std::vector<load::ServiceLoad> loads;
  for (ServiceState* service : services_.Services()) {
    if (!service->load.empty()) {
      loads.push_back(service->load.Take(service->name));
    }
  }
  return loads;
}

std::vector<BackendStateChange> Dispatcher::Impl::TakeStateChanges() {
  std::vector<BackendStateChange> changes = services_.TakeStateChanges();
  for (quarantine::SuspectNote& note : suspects_.TakeNotes()) {
    changes.push_back(
        {quarantine::Format(note.request), std::move(note.event), std::move(note.detail)});
  }
  for (const allowance::LimitNote& note : rates_.limits().TakeNotes()) {
    const std::string_view by =
        note.from_other ? "reported by another node" : "reported by the back end";
    changes.push_back({note.backend, note.rate.has_value() ? "rate_limited" : "rate_limit_ended",
                       note.rate.has_value()
                           ? absl::StrCat(*note.rate, " requests a second from all nodes, ",
                                          absl::string_view(by.data(), by.size()))
                           : std::string(by)});
  }
  return changes;
}

bool Dispatcher::Impl::OnLimitsReceived(const std::vector<allowance::LimitRecord>& records,
                                        Time now) {
  const bool changed = rates_.limits().Merge(records, now);
  if (changed) {
    for (ServiceState* service : services_.Services()) {
      DispatchWaiting(*service, now);
    }
  }
  return changed;
}

void Dispatcher::Impl::OnPermitReply(const allowance::PermitReply& reply, Time now) {
  const BackendStatePtr backend = services_.FindBackend(rates_.OnReply(reply, now));
  if (backend != nullptr) {
    DispatchWaiting(services_.Service(backend->registration.service), now);
  }
}

const Endpoint* Dispatcher::Impl::AddressOf(const std::string& backend) const {
  const BackendStatePtr state = services_.FindBackend(backend);
  return state == nullptr ? nullptr : &state->registration.address;
}

bool Dispatcher::Impl::CanServe(Time now) const {
  const auto& configuration = routes_.configuration();
  if (configuration == nullptr || stopping_) {
    return false;
  }
  absl::flat_hash_map<std::string_view, bool> seen;
  for (const catalog::Route& route : configuration->routes) {
    for (const catalog::RouteTarget& target : route.targets) {
      if (seen.emplace(target.service, true).second && !ServiceCanServe(target.service, now)) {
        return false;
      }
    }
  }
  return true;
}

double Dispatcher::Impl::RetriesLeft(Time now) {
  double least = std::numeric_limits<double>::infinity();
  for (ServiceState* service : services_.Services()) {
    least = std::min(least, service->budget.Left(retry_limits_, now));
  }
  return std::isinf(least) ? 0 : least;
}

uint64_t Dispatcher::Impl::RequestsWaiting() {
  uint64_t waiting = 0;
  for (const ServiceState* service : services_.Services()) {
    waiting += service->waiting.size();
  }
  return waiting;
}

double Dispatcher::Impl::MinAdmissionShare() {
  double least = 1;
  for (const ServiceState* service : services_.Services()) {
    least = std::min(least, service->admission.share());
  }
  return least;
}

bool Dispatcher::Impl::ServiceCanServe(const std::string& name, Time now) const {
  const auto declared = routes_.configuration()->services.find(name);
  if (declared != routes_.configuration()->services.end() && declared->second.sharded) {
    return HasUsableOwner(name, now);
  }
  const ServiceState* service = services_.FindService(name);
  return service != nullptr &&
         std::any_of(service->backends.begin(), service->backends.end(),
                     [now](const BackendStatePtr& backend) { return backend->UsableForAny(now); });
}

bool Dispatcher::Impl::HasUsableOwner(const std::string& service, Time now) const {
  const ownership::ServiceOwnership* ownership = ownership_.Find(service);
  if (ownership == nullptr || !ownership_.Confirmed(now)) {
    return false;
  }
  return std::any_of(ownership->assignments.begin(), ownership->assignments.end(),
                     [this, now](const ownership::Assignment& assignment) {
                       const BackendStatePtr owner = services_.FindBackend(assignment.owner);
                       return owner != nullptr && owner->UsableAsOwner(now);
                     });
}

Dispatcher::Dispatcher(const DispatcherSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}
Dispatcher::~Dispatcher() = default;

void Dispatcher::SetConfiguration(std::shared_ptr<const catalog::Configuration> configuration,
                                  Time now) {
  impl_->SetConfiguration(std::move(configuration), now);
}
void Dispatcher::ChangeBackends(const catalog::BackendChanges& changes,
                                const RegistrationUpdate& update, Time now) {
  impl_->ChangeBackends(changes, update, now);
}
void Dispatcher::SetOwnership(std::shared_ptr<const ownership::OwnershipMap> map, Time now) {
  impl_->SetOwnership(std::move(map), now);
}
void Dispatcher::SetMapConfirmed(Time until) { impl_->SetMapConfirmed(until); }
void Dispatcher::SetNodeCount(uint32_t node_count) { impl_->SetNodeCount(node_count); }
void Dispatcher::SetMembers(const std::vector<uint64_t>& members, Time now) {
  impl_->SetMembers(members, now);
}
void Dispatcher::SetMembersConfirmed(Time until) { impl_->SetMembersConfirmed(until); }
void Dispatcher::SetRelayPeers(std::vector<RelayPeer> peers) {
  impl_->SetRelayPeers(std::move(peers));
}
bool Dispatcher::IsExpected(AttemptHandle attempt) const { return impl_->IsExpected(attempt); }
void Dispatcher::OnSentDirectly(AttemptHandle attempt) { impl_->OnSentDirectly(attempt); }
void Dispatcher::OnConnected(AttemptHandle attempt, Time now) { impl_->OnConnected(attempt, now); }
void Dispatcher::OnPathEvent(const std::string& backend, PathEvent event, Time now) {
  impl_->OnPathEvent(backend, event, now);
}
std::vector<std::string> Dispatcher::TakePathProbes() { return impl_->TakePathProbes(); }
CarryPermission Dispatcher::MayCarry(const CarriedRequest& request, Time now) const {
  return impl_->MayCarry(request, now);
}
void Dispatcher::OnCarriedLost(const CarriedRequest& request, Time now) {
  impl_->OnCarriedLost(request, now);
}
void Dispatcher::OnCarriedUnanswered(const CarriedRequest& request, Duration elapsed, Time now) {
  impl_->OnCarriedUnanswered(request, elapsed, now);
}
bool Dispatcher::OnSuspectsReceived(const std::vector<quarantine::SuspectRecord>& records,
                                    Time now) {
  return impl_->OnSuspectsReceived(records, now);
}
std::vector<std::string> Dispatcher::TakeSuspectProbes(Time now) {
  return impl_->TakeSuspectProbes(now);
}
void Dispatcher::OnSuspectProbeFailed(const std::string& backend, bool refused, Time now) {
  impl_->OnSuspectProbeFailed(backend, refused, now);
}
void Dispatcher::OnStalled(Time now) { impl_->OnStalled(now); }
void Dispatcher::SetSuspectsKnown() { impl_->SetSuspectsKnown(); }
size_t Dispatcher::CountCutPaths() const { return impl_->CountCutPaths(); }
void Dispatcher::SetRetryBudget(double ratio, double slack, Duration window) {
  impl_->SetRetryBudget(ratio, slack, window);
}
void Dispatcher::SetStopping() { impl_->SetStopping(); }
void Dispatcher::SetEnd(Time last_start, Time end) { impl_->SetEnd(last_start, end); }
const catalog::Route* Dispatcher::FindRoute(std::string_view host, std::string_view target) const {
  return impl_->FindRoute(host, target);
}
RequestHandle Dispatcher::Start(const IncomingRequest& request, Time now) {
  return impl_->Start(request, now);
}
void Dispatcher::OnCallerDisconnected(RequestHandle request, Time now) {
  impl_->OnCallerDisconnected(request, now);
}
bool Dispatcher::MaySend(AttemptHandle attempt, Time now) const {
  return impl_->MaySend(attempt, now);
}
void Dispatcher::OnSent(AttemptHandle attempt, Time now) { impl_->OnSent(attempt, now); }
void Dispatcher::OnAttemptAnswer(AttemptHandle attempt, const AttemptAnswer& answer, Time now) {
  impl_->OnAttemptAnswer(attempt, answer, now);
}
void Dispatcher::OnAttemptFailure(AttemptHandle attempt, AttemptFailure failure, Time now) {
  impl_->OnAttemptFailure(attempt, failure, now);
}
const allowance::SharedRates& Dispatcher::rates() const { return impl_->rates(); }
bool Dispatcher::OnLimitsReceived(const std::vector<allowance::LimitRecord>& records, Time now) {
  return impl_->OnLimitsReceived(records, now);
}
bool Dispatcher::TakeLimitsChanged() { return impl_->TakeLimitsChanged(); }
std::vector<allowance::PermitQuestion> Dispatcher::TakePermitQuestions() {
  return impl_->TakePermitQuestions();
}
allowance::PermitReply Dispatcher::OnPermitQuestion(const allowance::PermitQuestion& question,
                                                    Time now) {
  return impl_->OnPermitQuestion(question, now);
}
void Dispatcher::OnPermitReply(const allowance::PermitReply& reply, Time now) {
  impl_->OnPermitReply(reply, now);
}
void Dispatcher::ExpireLimits(Time now) { impl_->ExpireLimits(now); }
quarantine::CrashSuspects& Dispatcher::suspects() { return impl_->suspects(); }
const Endpoint* Dispatcher::AddressOf(const std::string& backend) const {
  return impl_->AddressOf(backend);
}
void Dispatcher::OnTick(Time now) { impl_->OnTick(now); }
std::vector<RequestDecision> Dispatcher::TakeDecisions() { return impl_->TakeDecisions(); }
Time Dispatcher::NextWake() const { return impl_->NextWake(); }
std::vector<load::ServiceLoad> Dispatcher::TakeLoad() { return impl_->TakeLoad(); }
std::vector<BackendStateChange> Dispatcher::TakeStateChanges() { return impl_->TakeStateChanges(); }
bool Dispatcher::CanServe(Time now) const { return impl_->CanServe(now); }
double Dispatcher::RetriesLeft(Time now) { return impl_->RetriesLeft(now); }
uint64_t Dispatcher::RequestsWaiting() { return impl_->RequestsWaiting(); }
double Dispatcher::MinAdmissionShare() { return impl_->MinAdmissionShare(); }

}  // namespace ladderstream::forwarding
