#include "node/control_plane.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "core/ownership/belief_events.h"
#include "node/load_exchange.h"
#include "wire/result_code.h"

namespace ladderstream::node {
namespace {

/// Interval at which the coordinator reads the load of its own data path.
constexpr Duration kOwnLoadInterval = absl::Milliseconds(300);

/// A back end answers a release only after the work on its keys has ended.
constexpr Duration kReleaseTimeout = absl::Seconds(3);

/// The coordinator's minimum batch pause: changes of a table within it are batched into one call.
constexpr Duration kMinCoordinatorBatchPause = absl::Milliseconds(50);
/// Other nodes normally receive changes from the coordinator. When they have to watch the tables
/// themselves, all may do so at once, for example at fleet start, before any node knows the fleet
/// size. Their pause between calls therefore grows with the number of known nodes, within bounds.
/// The upper bound is a third of the shortest time in which all nodes must learn of a draining back
/// end.
constexpr Duration kBatchPausePerNode = absl::Milliseconds(10);
constexpr Duration kMinFollowerBatchPause = absl::Milliseconds(250);
constexpr Duration kMaxFollowerBatchPause = absl::Milliseconds(700);
constexpr uint32_t kFollowedTables = 2;
/// With the watch grace, shorter than the time in which a node must use a new configuration after
/// its connections were disturbed. Longer only where the node's share of store calls requires it.
constexpr Duration kMinWatchWait = absl::Milliseconds(1500);
/// After its start, a node that is not the coordinator delays its own watches by this time. A
/// starting fleet of 295 nodes has a coordinator after 1.2 s; the tightest known bound is 2 s.
constexpr Duration kFirstWatchPause = absl::Milliseconds(1500);

/// More turns than any chain of events needs; bounds a loop that would otherwise not end.
constexpr int kMaxPumpTurns = 64;

/// Returns the result of an order as a metric label.
std::string_view NameOf(ownership::OrderStatus status) {
  switch (status) {
    case ownership::OrderStatus::kDone:
      return "done";
    case ownership::OrderStatus::kFenced:
      return "fenced";
    case ownership::OrderStatus::kRefused:
      return "refused";
    case ownership::OrderStatus::kOtherInstance:
      return "other_instance";
    case ownership::OrderStatus::kUnreachable:
      return "unreachable";
    case ownership::OrderStatus::kNotSent:
      return "not_sent";
    case ownership::OrderStatus::kNoAnswer:
      break;
  }
  return "no_answer";
}

/// Offsets added to the incarnation, so that each component has its own jitter seed.
enum SeedPurpose : uint64_t {
  kConfigurationSeed = 1,
  kBackendSeed,
  kMembershipSeed,
  kPeerSeed,
  kSuspectSeed
};

quarantine::SuspectStoreSettings SuspectStoreSettingsOf(const std::string& node, uint64_t seed) {
  quarantine::SuspectStoreSettings settings;
  settings.node = node;
  settings.seed = seed;
  return settings;
}

store::FollowerSettings FollowerSettingsOf(std::string_view table, uint64_t seed) {
  store::FollowerSettings settings;
  settings.table = std::string(table);
  settings.seed = seed;
  settings.first_watch_pause = kFirstWatchPause;
  return settings;
}

/// All rows written by nodes are in one store partition, whose limit may be below the store's.
double WritesPerSecond(const gateway::StoreSettings& store) {
  return std::min(store.writes_per_second, store.partition_writes_per_second);
}

gateway::StoreClientSettings StoreSettingsOf(const gateway::NodeSettings& settings) {
  gateway::StoreClientSettings store;
  store.address = settings.store.address;
  store.writes_per_second = WritesPerSecond(settings.store);
  store.reads_per_second = settings.store.reads_per_second;
  return store;
}

gateway::PeerSettings PeerSettingsOf(const gateway::NodeSettings& settings, uint64_t seed) {
  gateway::PeerSettings peers;
  peers.listen = settings.listen.peers;
  peers.seed = seed;
  return peers;
}

/// Share of the machine's memory for the bodies of answers to this node's own calls.
constexpr double kCallBodyMemoryShare = 0.15;

gateway::HttpClientSettings HttpClientSettingsOf(const gateway::NodeSettings& settings) {
  gateway::HttpClientSettings client;
  client.source_host = settings.source_host;
  client.max_held_bytes = settings.limits.MemoryShare(kCallBodyMemoryShare);
  return client;
}

membership::MembershipSettings MembershipSettingsOf(const gateway::NodeSettings& settings,
                                                    uint64_t seed) {
  membership::MembershipSettings membership = settings.membership;
  membership.seed = seed;
  return membership;
}

membership::PeerIdentity IdentityOf(const gateway::NodeSettings& settings, uint64_t incarnation) {
  return {incarnation, settings.name, settings.zone, settings.listen.own_peer_address()};
}

ownership::NodeIdentity CoordinatorIdentityOf(const gateway::NodeSettings& settings,
                                              uint64_t incarnation) {
  return {incarnation, settings.name, settings.listen.own_peer_address()};
}

/// Returns whether the store itself reported the outcome of the call.
bool WasAnswered(const store::StoreReply& reply) {
  return reply.status != store::StoreStatus::kUnknown &&
         reply.status != store::StoreStatus::kRefused;
}

/// Connections whose messages' ages are known; more than a node has open.
constexpr size_t kMostStampedConnections = 4096;

/// Returns the sender's time in the message; 0 when it tells none.
int64_t StampOf(const membership::Message& message) {
  return std::visit(
      [](const auto& one) -> int64_t {
        if constexpr (requires { one.sent_us; }) {
          return one.sent_us;
        } else {
          return 0;
        }
      },
      message);
}

/// Returns the messages queued to other nodes, for the metrics.
std::vector<observability::PeerMessageCount> CountsOf(const gateway::TrafficTable& queued) {
  std::vector<observability::PeerMessageCount> counts;
  for (size_t kind = 0; kind < queued.size(); ++kind) {
    for (size_t scope = 0; scope < queued[kind].size(); ++scope) {
      const gateway::MessageTraffic& traffic = queued[kind][scope];
      if (traffic.messages > 0) {
        counts.push_back({std::string(NameOf(static_cast<membership::MessageKind>(kind))),
                          std::string(NameOf(static_cast<membership::ZoneScope>(scope))),
                          traffic.messages, traffic.bytes});
      }
    }
  }
  return counts;
}

}  // namespace

ControlPlane::ControlPlane(gateway::LoopResources* resources, const gateway::NodeSettings& settings,
                           uint64_t incarnation, interfaces::PlatformAdapterPtr adapter,
                           observability::BeliefLog* beliefs, observability::NodeMetrics* metrics,
                           ControlPlaneListener* listener)
    : resources_(resources),
      settings_(settings),
      incarnation_(incarnation),
      adapter_(std::move(adapter)),
      beliefs_(beliefs),
      metrics_(metrics),
      listener_(listener),
      client_(resources->loop, resources->clock, HttpClientSettingsOf(settings),
              [beliefs](const Endpoint& from, std::string_view fault) {
                beliefs->OnAnswerNotUnderstood(from, fault);
              }),
      exchanger_(&client_),
      store_(resources, &exchanger_, adapter_, StoreSettingsOf(settings)),
      order_client_(&client_, adapter_.get(),
                    {.grant = settings.ownership.order_timeout, .release = kReleaseTimeout}),
      orders_(
          &order_client_, &resources->clock,
          {[this](ownership::CallId call, const ownership::OrderReply& reply) {
             OnOrderReply(call, reply);
           },
           [this](uint64_t peer, const membership::RelayedOrder& order) {
             if (const auto member = membership_.FindMember(peer)) {
               peers_.Send({*member}, order);
             }
           },
           [this](const ownership::OrderPathChangeAction& change) { OnOrderPathChange(change); }}),
      order_carrier_(&order_client_, &resources->clock, incarnation,
                     [this](uint64_t connection, const membership::RelayedOrderResult& result) {
                       peers_.Send({{{}, connection}}, result);
                     }),
      peers_(resources, PeerSettingsOf(settings, incarnation + kPeerSeed),
             {[this](uint64_t connection, membership::Message message) {
                OnMessage(connection, std::move(message));
              },
              [this](const Endpoint& address, bool refused) {
                membership_.OnConnectFailed(address, refused, Now());
                SchedulePump();
              },
              [this](const Endpoint& address, const std::string&) {
                membership_.OnConnectionLost(address, Now());
                SchedulePump();
              },
              [this](uint64_t connection) {
                transit_.Forget(connection);
                listener_->OnIncomingClosed(connection);
              }}),
      configuration_follower_(
          FollowerSettingsOf(adapter_->configuration_table(), incarnation + kConfigurationSeed)),
      backend_follower_(FollowerSettingsOf(adapter_->backend_table(), incarnation + kBackendSeed)),
      catalog_(adapter_.get(), beliefs, &configuration_follower_, &backend_follower_,
               {[this](const ConfigurationPtr& configuration) {
                  listener_->OnConfiguration(configuration);
                },
                [this](const catalog::BackendChanges& changes,
                       const forwarding::RegistrationUpdate& update) {
                  listener_->OnBackends(changes, update);
                  ReportCatalog(changes);
                }}),
      suspect_store_(SuspectStoreSettingsOf(settings.name, incarnation + kSuspectSeed)),
      coordinator_(settings.ownership, CoordinatorIdentityOf(settings, incarnation)),
      membership_(MembershipSettingsOf(settings, incarnation + kMembershipSeed),
                  IdentityOf(settings, incarnation), &configuration_follower_, &backend_follower_),
      timer_(resources->loop) {}

ControlPlane::~ControlPlane() { peers_.Stop(); }

void ControlPlane::Start() {
  peers_.Start();
  UpdateStoreShare();
  SchedulePump();
}

void ControlPlane::Apply(const gateway::NodeSettings& fresh) {
  membership_.SetSeeds(fresh.membership.seeds);
  store_.SetRates(WritesPerSecond(fresh.store), fresh.store.reads_per_second);
  UpdateStoreShare();
  SchedulePump();
}

void ControlPlane::Resign() {
  resigned_ = true;
  coordinator_.Resign(Now());
  SchedulePump();
}

bool ControlPlane::HasResigned() const { return resigned_ && !coordinator_.Holds(Now()); }

void ControlPlane::Describe(observability::NodeState* state) const {
  const Time now = Now();
  state->configuration_version = catalog_.configuration() ? catalog_.configuration()->version : 0;
  state->configuration_age = now - configuration_follower_.last_confirmed();
  state->configuration_watch_age = configuration_follower_.WatchAge(now);
  state->backend_news_age = catalog_.backend_update_age();
  if (const auto& map = membership_.map()) {
    state->map_epoch = map->version.epoch;
    state->map_sequence = map->version.sequence;
  }
  state->map_age = now - membership_.map_confirmed_until();
  state->holds_lease = coordinator_.Holds(now);
  state->orders_relayed = orders_.CountRelayed();
  state->store_troubled = configuration_follower_.RecentlyFailed(now);
  state->peers = membership_.members().size();
  state->peer_messages = CountsOf(peers_.traffic().queued);
  state->store_calls = StoreCalls();
  for (const auto& [id, backend] : catalog_.backends().all()) {
    ++state->backends[backend.draining ? "draining" : "ready"];
    state->backends["evacuated"] += backend.evacuated ? 1 : 0;
    state->backends["cold"] += now < backend.cold_until ? 1 : 0;
  }
}

std::map<std::string, uint64_t> ControlPlane::StoreCalls() const {
  const gateway::StoreTraffic& traffic = store_.traffic();
  return {{"read", traffic.reads},
          {"watch", traffic.watches},
          {"transaction", traffic.transactions},
          {"unanswered", traffic.unanswered}};
}

// Events.

void ControlPlane::OnStoreReply(ownership::CallId call, const store::StoreAnswer& answer,
                                const store::StoreReply& reply) {
  if (WasAnswered(reply)) {
    membership_.OnStoreAnswered(answer, Now());
  } else if (reply.status == store::StoreStatus::kUnknown) {
    membership_.OnStoreUnanswered();
  }
  coordinator_.OnStoreReply(call, reply, Now());
  SchedulePump();
}

void ControlPlane::OnOrderReply(ownership::CallId call, const ownership::OrderReply& reply) {
  metrics_->CountCall("order", NameOf(reply.status));
  coordinator_.OnOrderReply(call, reply, Now());
  SchedulePump();
}

void ControlPlane::OnFollowerReply(store::TableFollower* follower, uint64_t call,
                                   const store::StoreReply& reply) {
  follower->OnReply(call, reply, Now());
  if (WasAnswered(reply)) {
    beliefs_->OnStoreReached(reply.version, Now());
  } else {
    beliefs_->OnStoreMissed(reply.detail, Now());
  }
  SchedulePump();
}

std::optional<Duration> ControlPlane::AgeOf(uint64_t connection,
                                            const membership::Message& message) {
  const int64_t sent_us = StampOf(message);
  if (sent_us == 0) {
    return std::nullopt;
  }
  if (transit_.size() > kMostStampedConnections) {
    // Connections that this node opened end without being forgotten.
    transit_ = membership::TransitClock();
  }
  return transit_.KnownAgeOf(connection, sent_us, Now());
}

void ControlPlane::OnMessage(uint64_t connection, membership::Message message) {
  const std::optional<Duration> age = AgeOf(connection, message);
  if (auto* request = std::get_if<membership::RelayedRequest>(&message)) {
    listener_->OnRelayedRequest(connection, std::move(*request),
                                age.value_or(absl::ZeroDuration()));
    return;
  }
  if (const auto* cancel = std::get_if<membership::RelayCancel>(&message)) {
    listener_->OnRelayCancel(connection, *cancel);
    return;
  }
  if (const auto* order = std::get_if<membership::RelayedOrder>(&message)) {
    metrics_->CountCall("relayed_order", "carried");
    order_carrier_.OnOrder(connection, *order, age);
  } else if (const auto* result = std::get_if<membership::RelayedOrderResult>(&message)) {
    metrics_->CountCall("relayed_order",
                        NameOf(static_cast<ownership::OrderStatus>(result->status)));
    orders_.OnPeerResult(*result);
  } else {
    membership_.OnMessage(connection, std::move(message), Now());
  }
  SchedulePump();
}

void ControlPlane::OnOrderPathChange(const ownership::OrderPathChangeAction& change) {
  beliefs_->OnCoordinatorBelief(
      {std::string(change.direct ? ownership::state_change::kOrdersDirect
                                 : ownership::state_change::kOrdersThroughPeers),
       change.backend + ": " + change.detail});
  SchedulePump();
}

// The loop.

void ControlPlane::SchedulePump() {
  if (pump_posted_) {
    return;
  }
  pump_posted_ = true;
  boost::asio::post(resources_->loop, [this, alive = std::weak_ptr<char>(alive_)] {
    if (!alive.expired()) {
      pump_posted_ = false;
      Pump();
    }
  });
}

void ControlPlane::Pump() {
  const Duration suspended = suspension_.Check();
  if (suspended > absl::ZeroDuration()) {
    beliefs_->OnResumed(suspended);
    membership_.OnResumed();
  }
  const Time now = Now();
  coordinator_.OnTick(now);
  orders_.OnTick();
  membership_.OnTick(now);
  PollFollower(&configuration_follower_);
  PollFollower(&backend_follower_);
  PollSuspectStore();
  catalog_.ApplyUpdates(now);
  ReportOwnLoad();
  for (int turn = 0; turn < kMaxPumpTurns && ExecuteActions(); ++turn) {
  }
  ArmTimer();
}

bool ControlPlane::ExecuteActions() {
  bool any = false;
  for (const ownership::Action& action : coordinator_.TakeActions()) {
    std::visit([this](const auto& one) { Execute(one); }, action);
    any = true;
  }
  PublishLease();
  for (const membership::MembershipAction& action : membership_.TakeActions()) {
    std::visit([this](const auto& one) { Execute(one); }, action);
    any = true;
  }
  return any;
}

void ControlPlane::PollFollower(store::TableFollower* follower) {
  if (const auto call = follower->Poll(Now())) {
    store_.Run(*call, [this, follower, id = call->call](const store::StoreReply& reply) {
      OnFollowerReply(follower, id, reply);
    });
  }
}

void ControlPlane::PollSuspectStore() {
  if (HasConfiguration()) {
    suspect_store_.BeginWait(Now());
  }
  const std::optional<quarantine::SuspectStore::Call> call = suspect_store_.Poll(Now());
  ApplySuspectStore();
  if (!call.has_value()) {
    return;
  }
  const auto on_reply = [this, id = call->call](const store::StoreReply& reply) {
    suspect_store_.OnReply(id, reply, Now());
    ApplySuspectStore();
    SchedulePump();
  };
  if (const auto* read = std::get_if<store::ReadQuery>(&call->query)) {
    store_.Read(*read, call->timeout, on_reply);
  } else {
    store_.Execute(std::get<store::Transaction>(call->query), call->timeout, on_reply);
  }
}

void ControlPlane::ApplySuspectStore() {
  const std::vector<quarantine::SuspectRecord> heard = suspect_store_.TakeHeard();
  if (!heard.empty()) {
    listener_->OnSuspects(heard);
  }
  const std::vector<quarantine::SuspectRecord> inherited = suspect_store_.TakeInherited();
  if (!inherited.empty()) {
    listener_->OnSuspectsInherited(inherited);
  }
  for (const quarantine::Fingerprint& request : suspect_store_.TakeGrantedTrials()) {
    listener_->OnTrialGranted(request);
  }
  for (const quarantine::Fingerprint& request : suspect_store_.TakeDeniedTrials()) {
    listener_->OnTrialDenied(request);
  }
  for (const quarantine::Fingerprint& request : suspect_store_.TakeCleared()) {
    listener_->OnSuspectCleared(request);
  }
  if (suspect_store_.IsComplete()) {
    membership_.OnSuspectsKnown();
  }
  if (suspect_store_.IsKnown() && !std::exchange(suspects_known_, true)) {
    listener_->OnSuspectsKnown();
  }
}

void ControlPlane::ReportCatalog(const catalog::BackendChanges& changes) {
  if (!catalog_.configuration()) {
    return;
  }
  std::vector<catalog::Service> sharded;
  for (const auto& [name, service] : catalog_.configuration()->services) {
    if (service.sharded) {
      sharded.push_back(service);
    }
  }
  if (std::exchange(catalog_reported_, true)) {
    coordinator_.OnCatalog(sharded, changes, Now());
    return;
  }
  // Changes before the first configuration were not reported, so report all back ends.
  catalog::BackendChanges all;
  for (const auto& [id, backend] : catalog_.backends().all()) {
    all.set.push_back(backend);
  }
  coordinator_.OnCatalog(sharded, all, Now());
}

void ControlPlane::ReportOwnLoad() {
  const Time now = Now();
  if (!coordinator_.Holds(now)) {
    next_own_load_ = absl::InfinitePast();
    return;
  }
  if (now >= next_own_load_) {
    next_own_load_ = now + kOwnLoadInterval;
    coordinator_.SetRateLimits(listener_->LimitsInForce(), now);
    ReportToCoordinator(ToReports(listener_->TakeLoad(), catalog_.configuration().get()), now,
                        &coordinator_);
  }
}

void ControlPlane::UpdateStoreShare() {
  const uint32_t nodes = std::max<uint32_t>(1, membership_.members().size());
  store_.SetShare(nodes, holds_lease_);
  const Duration min_pause =
      holds_lease_
          ? kMinCoordinatorBatchPause
          : std::clamp(nodes * kBatchPausePerNode, kMinFollowerBatchPause, kMaxFollowerBatchPause);
  const Duration read_pause = store_.PauseBetweenReads(kFollowedTables);
  configuration_follower_.SetBatchPause(std::max(min_pause, read_pause));
  backend_follower_.SetBatchPause(std::max(min_pause, read_pause));
  membership_.SetOwnWatchWait(std::max(kMinWatchWait, read_pause));
}

void ControlPlane::PublishLease() {
  const Time now = Now();
  const bool holds = coordinator_.Holds(now);
  if (holds && !holds_lease_) {
    membership_.OnMap(coordinator_.Map(), now);
  }
  if (holds && published_lease_until_ != coordinator_.LeaseUntil()) {
    published_lease_until_ = coordinator_.LeaseUntil();
    membership_.OnLeaseHeld(coordinator_.View(), published_lease_until_, now);
  }
  if (!holds && holds_lease_) {
    published_lease_until_ = absl::InfinitePast();
    if (resigned_) {
      membership_.OnResigned(now);
    } else {
      membership_.OnLeaseLost(now);
    }
  }
  if (holds != holds_lease_) {
    if (holds) {
      suspect_store_.SetCleaner();
    }
    holds_lease_ = holds;
    UpdateStoreShare();
  }
  const auto& holder = coordinator_.KnownHolder();
  if (holder && holder->incarnation != known_holder_) {
    known_holder_ = holder->incarnation;
    membership_.OnHolderKnown(*holder, now);
  }
}

void ControlPlane::ArmTimer() {
  Time wake = std::min({coordinator_.NextWake(), membership_.NextWake(), orders_.NextWake()});
  wake = std::min(wake, configuration_follower_.NextWake());
  wake = std::min(wake, backend_follower_.NextWake());
  wake = std::min(wake, suspect_store_.NextWake());
  wake = std::min(wake, coordinator_.Holds(Now()) ? next_own_load_ : absl::InfiniteFuture());
  if (wake == armed_for_ && timer_.expiry() > BootClock::now()) {
    return;
  }
  armed_for_ = wake;
  if (wake == absl::InfiniteFuture()) {
    timer_.cancel();
    return;
  }
  const Duration wait = std::max(wake - Now(), absl::ZeroDuration());
  timer_.expires_after(absl::ToChronoNanoseconds(wait));
  timer_.async_wait([this, alive = std::weak_ptr<char>(alive_)](const gateway::ErrorCode& error) {
    if (!error && !alive.expired()) {
      armed_for_ = absl::InfiniteFuture();
      Pump();
    }
  });
}

}  // namespace ladderstream::node
