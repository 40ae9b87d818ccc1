#include "bench/membership_fleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "bench/processor_time.h"
#include "core/membership/message_codec.h"

namespace ladderstream::bench {
namespace {

using membership::Destination;

/// Of a message on the wire, beyond its frame: IP and TCP.
constexpr uint64_t kHeaderBytes = 40;
constexpr uint64_t kFrameBytes = 4;
constexpr Duration kLease = absl::Milliseconds(2500);
constexpr Duration kRenewal = absl::Milliseconds(800);
constexpr uint16_t kPort = 7540;
constexpr size_t kNodesPerSubnet = 250;
constexpr size_t kSeeds = 3;
constexpr char kConfigurationTable[] = "configuration";
constexpr char kBackendTable[] = "backends";
/// Sizes as on the deployments that were measured: a configuration of 8 KB, rows of 400 bytes.
constexpr size_t kConfigurationBytes = 8000;
constexpr size_t kBackendRowBytes = 400;

Endpoint AddressOf(size_t node) {
  return {absl::StrCat("10.0.", node / kNodesPerSubnet, ".", node % kNodesPerSubnet), kPort};
}

std::string BackendName(size_t backend) { return absl::StrCat("backend-", 100'000 + backend); }

ownership::OwnershipMap FirstMap(size_t ranges) {
  ownership::OwnershipMap map;
  map.version = {1, 1};
  const size_t keys = (ownership::kLastKey + 1) / ranges;
  for (size_t i = 0; i < ranges; ++i) {
    const auto first = static_cast<ownership::Key>(i * keys);
    const auto last = i + 1 == ranges ? ownership::Key{ownership::kLastKey}
                                      : static_cast<ownership::Key>((i + 1) * keys - 1);
    map.services["scripts"].assignments.push_back({{first, last}, BackendName(i), 1});
  }
  return map;
}

}  // namespace

struct MembershipFleet::Node {
  Node(const FleetSettings& settings, size_t number, std::vector<Endpoint> seeds)
      : zone(number % settings.zones),
        configuration({.table = kConfigurationTable, .partition = "", .seed = number}),
        backends({.table = kBackendTable, .partition = "", .seed = number}),
        membership({.seeds = std::move(seeds), .seed = settings.seed * settings.nodes + number},
                   {number + 1, absl::StrCat("front-zone-", zone, "-", number),
                    absl::StrCat("zone-", zone), AddressOf(number)},
                   &configuration, &backends) {}

  size_t zone;
  store::TableFollower configuration;
  store::TableFollower backends;
  membership::Membership membership;
  NodeCosts costs;
  bool alive = true;
  bool refuses = false;
  Time wake = absl::InfiniteFuture();
};

MembershipFleet::MembershipFleet(const FleetSettings& settings)
    : settings_(settings),
      events_(absl::UnixEpoch() + absl::Hours(1)),
      store_(std::make_unique<FleetStore>()),
      random_(settings.seed),
      map_(FirstMap(settings.map_ranges)) {
  store_->Put(kConfigurationTable, "current", std::string(kConfigurationBytes, 'c'));
  for (size_t i = 0; i < settings_.registered_backends; ++i) {
    store_->Put(kBackendTable, BackendName(i), std::string(kBackendRowBytes, 'b'));
  }
  std::vector<Endpoint> seeds;
  for (size_t i = 0; i < std::min(kSeeds, settings_.nodes); ++i) {
    seeds.push_back(AddressOf(i));
  }
  for (size_t i = 0; i < settings_.nodes; ++i) {
    nodes_.push_back(std::make_unique<Node>(settings_, i, seeds));
    by_address_[AddressOf(i)] = i;
  }
  for (size_t i = 0; i < settings_.nodes; ++i) {
    Visit(i, [this, i] { nodes_[i]->membership.OnHolderKnown(Lease(), now()); });
  }
  Visit(coordinator_, [this] { nodes_[coordinator_]->membership.OnMap(map_, now()); });
  RenewLease();
}

MembershipFleet::~MembershipFleet() = default;

ownership::LeaseView MembershipFleet::Lease() const {
  return {epoch_, coordinator_ + 1, AddressOf(coordinator_), epoch_};
}

Duration MembershipFleet::RunUntil(
    const std::function<bool(const membership::Membership&, size_t node)>& holds, Duration most) {
  const Time start = now();
  const auto all = [&] {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i]->alive && !holds(nodes_[i]->membership, i)) {
        return false;
      }
    }
    return true;
  };
  while (!all() && now() - start < most) {
    Run(absl::Milliseconds(1));
  }
  return now() - start;
}

void MembershipFleet::ForEachLive(
    const std::function<void(const membership::Membership&, size_t node)>& look) const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->alive) {
      look(nodes_[i]->membership, i);
    }
  }
}

uint64_t MembershipFleet::ChangeConfiguration() {
  return store_->Put(kConfigurationTable, "current", std::string(kConfigurationBytes, 'd'));
}

bool MembershipFleet::HoldsConfiguration(size_t node, uint64_t version) const {
  return nodes_[node]->configuration.content_version() >= version;
}

ownership::MapVersion MembershipFleet::ChangeMap() {
  ++map_.version.sequence;
  auto& assignments = map_.services["scripts"].assignments;
  auto& changed = assignments[map_.version.sequence % assignments.size()];
  changed.owner = BackendName(map_.version.sequence % settings_.registered_backends);
  changed.fence += 1;
  Visit(coordinator_, [this] { nodes_[coordinator_]->membership.OnMap(map_, now()); });
  return map_.version;
}

void MembershipFleet::Kill(const std::vector<size_t>& nodes, bool refused) {
  for (const size_t ended : nodes) {
    nodes_[ended]->alive = false;
    nodes_[ended]->refuses = refused;
    lease_lost_ = lease_lost_ || ended == coordinator_;
  }
  for (const size_t ended : nodes) {
    for (size_t i = 0; refused && i < nodes_.size(); ++i) {
      events_.At(now() + DelayBetween(i, ended), [this, i, ended] {
        Visit(i, [&] { nodes_[i]->membership.OnConnectionLost(AddressOf(ended), now()); });
      });
    }
  }
  if (lease_lost_ && !refused) {
    // Nobody hears that it ended: a challenger waits until the lease has surely run out.
    events_.At(now() + kLease, [this] {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        TakeLease(i, coordinator_ + 1);
      }
    });
  }
}

std::vector<size_t> MembershipFleet::ZoneOf(size_t node) const {
  std::vector<size_t> all;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->zone == nodes_[node]->zone) {
      all.push_back(i);
    }
  }
  return all;
}

void MembershipFleet::ClearCosts() {
  for (const auto& node : nodes_) {
    node->costs = {};
  }
}

const NodeCosts& MembershipFleet::CostsOf(size_t node) const { return nodes_[node]->costs; }

void MembershipFleet::Visit(size_t node, const std::function<void()>& work) {
  Node& visited = *nodes_[node];
  if (!visited.alive) {
    return;
  }
  const Duration before = ProcessorTime();
  work();
  visited.membership.OnTick(now());
  PollStore(node);
  CarryActions(node);
  visited.costs.processor_time += ProcessorTime() - before;
  const Time wake =
      std::max(now() + absl::Microseconds(1),
               std::min({visited.membership.NextWake(), visited.configuration.NextWake(),
                         visited.backends.NextWake()}));
  if (wake < visited.wake) {
    visited.wake = wake;
    events_.At(wake, [this, node, wake] {
      if (nodes_[node]->wake == wake) {
        Wake(node);
      }
    });
  }
}

void MembershipFleet::Wake(size_t node) {
  nodes_[node]->wake = absl::InfiniteFuture();
  Visit(node, [] {});
}

void MembershipFleet::CarryActions(size_t node) {
  membership::Membership& core = nodes_[node]->membership;
  for (auto actions = core.TakeActions(); !actions.empty(); actions = core.TakeActions()) {
    for (const membership::MembershipAction& action : actions) {
      if (std::holds_alternative<membership::ReportDueAction>(action)) {
        core.SendReport({MakeLoad()}, {}, now());
      } else if (const auto* send = std::get_if<membership::SendAction>(&action)) {
        Send(node, *send);
      } else if (const auto* ended = std::get_if<membership::CoordinatorEndedAction>(&action)) {
        // Two calls of the store: to read the lease row, and to write it.
        events_.At(
            now() + settings_.store_delay * 2,
            [this, node, incarnation = ended->incarnation] { TakeLease(node, incarnation); });
      }
    }
  }
}

void MembershipFleet::TakeLease(size_t node, uint64_t ended) {
  if (!lease_lost_ || ended != coordinator_ + 1 || !nodes_[node]->alive) {
    return;
  }
  lease_lost_ = false;
  coordinator_ = node;
  ++epoch_;
  map_.version = {epoch_, 1};
  Visit(node, [this, node] { nodes_[node]->membership.OnMap(map_, now()); });
  RenewLease();
}

void MembershipFleet::RenewLease() {
  const size_t holder = coordinator_;
  if (!nodes_[holder]->alive) {
    return;
  }
  Visit(holder, [this, holder] {
    membership::Membership& core = nodes_[holder]->membership;
    core.OnLeaseHeld(Lease(), now() + kLease - settings_.store_delay, now());
    const store::RowVersion version = store_->Put("ownership", "lease", "");
    core.OnStoreAnswered({now() - settings_.store_delay, version, /*wrote=*/true}, now());
  });
  events_.At(now() + kRenewal, [this, holder] {
    if (holder == coordinator_) {
      RenewLease();
    }
  });
}

void MembershipFleet::PollStore(size_t node) {
  Node& polled = *nodes_[node];
  for (store::TableFollower* follower : {&polled.configuration, &polled.backends}) {
    if (const auto call = follower->Poll(now())) {
      ++polled.costs.store_calls;
      Call(node, follower, *call);
    }
  }
}

void MembershipFleet::Call(size_t node, store::TableFollower* follower,
                           const store::FollowerCall& call) {
  const auto reply = [this, node, follower, id = call.call](store::StoreReply answer) {
    events_.At(now() + settings_.store_delay / 2,
               [this, node, follower, id, answer = std::move(answer)] {
                 Visit(node, [&] { follower->OnReply(id, answer, now()); });
               });
  };
  events_.At(now() + settings_.store_delay / 2, [this, query = call.query, reply] {
    if (const auto* read = std::get_if<store::ReadQuery>(&query)) {
      reply(store_->Read(*read));
      return;
    }
    const auto& watch = std::get<store::WatchQuery>(query);
    const uint64_t number = store_->Watch(watch, reply);
    if (number != 0) {
      events_.At(now() + watch.wait, [this, number] { store_->EndWatch(number); });
    }
  });
}

void MembershipFleet::Send(size_t from, const membership::SendAction& send) {
  const auto bytes = std::make_shared<const std::string>(membership::EncodeMessage(send.message));
  for (const Destination& to : send.to) {
    if (to.connection != 0) {
      Deliver(from, to.connection - 1, bytes);
      continue;
    }
    const auto found = by_address_.find(to.address);
    if (found != by_address_.end()) {
      Deliver(from, found->second, bytes);
    }
  }
}

void MembershipFleet::Deliver(size_t from, size_t to,
                              const std::shared_ptr<const std::string>& bytes) {
  const uint64_t size = bytes->size() + kFrameBytes + kHeaderBytes;
  NodeCosts& costs = nodes_[from]->costs;
  ++costs.messages_sent;
  costs.bytes_sent += size;
  const Duration delay = DelayBetween(from, to);
  events_.At(now() + delay, [this, from, to, bytes, size, delay] {
    Node& receiver = *nodes_[to];
    if (!receiver.alive) {
      if (receiver.refuses) {
        events_.At(now() + delay, [this, from, to] {
          Visit(from,
                [&] { nodes_[from]->membership.OnConnectFailed(AddressOf(to), true, now()); });
        });
      }
      return;
    }
    ++receiver.costs.messages_received;
    receiver.costs.bytes_received += size;
    Visit(to, [&] {
      receiver.membership.OnMessage(from + 1, membership::DecodeMessage(*bytes), now());
    });
  });
}

Duration MembershipFleet::DelayBetween(size_t one, size_t other) const {
  const size_t zone = nodes_[one]->zone;
  const size_t other_zone = nodes_[other]->zone;
  if (zone == other_zone) {
    return settings_.zone_delay;
  }
  const bool one_region = zone % settings_.regions == other_zone % settings_.regions;
  return one_region ? settings_.region_delay : settings_.far_delay;
}

membership::LoadReport MembershipFleet::MakeLoad() {
  constexpr uint64_t kServiceTimeUs = 90'000;
  membership::LoadReport load;
  load.service = "scripts";
  for (size_t i = 0; i < settings_.report_keys; ++i) {
    load.keys.push_back(static_cast<uint32_t>(random_() % (ownership::kLastKey + 1)));
    load.counts.push_back(1);
  }
  for (size_t i = 0; i < settings_.report_backends; ++i) {
    load.backends.push_back(BackendName(random_() % settings_.registered_backends));
    load.answers.push_back(1);
    load.busy_us.push_back(kServiceTimeUs);
    load.includes_wait.push_back(0);
  }
  return load;
}

}  // namespace ladderstream::bench
