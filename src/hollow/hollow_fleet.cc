// Building a fleet, its nodes and its network; hollow_backends.cc has the back ends and the checks.
#include "hollow/hollow_fleet.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"
#include "wire/store_rows.h"

namespace ladderstream::hollow {
namespace {

constexpr Duration kShortestTick = absl::Milliseconds(1);
constexpr Duration kLoadInterval = absl::Seconds(1);
constexpr uint16_t kPeerPort = 7000;
constexpr uint16_t kHttpPort = 8000;

std::string AddressOf(size_t node) {
  constexpr size_t kPerByte = 250;
  return absl::StrCat("10.", node / (kPerByte * kPerByte), ".", node / kPerByte % kPerByte, ".",
                      node % kPerByte + 1);
}

}  // namespace

HollowFleet::HollowFleet(const FleetOptions& options)
    : options_(options),
      queue_(absl::UnixEpoch() + absl::Hours(1)),
      random_(options.seed),
      topology_(LayOut(options.topology)),
      store_(options.store_rate_limit) {
  AddNodes();
  AddBackends();
  for (uint32_t group = 0; group < topology_.groups.size(); ++group) {
    store_.Put(absl::StrCat(StorePrefix(group), kConfigurationRow), Encode(ConfigurationOf(group)));
  }
  IntroducePeers();
}

void HollowFleet::AddNodes() {
  for (size_t i = 0; i < topology_.places.size(); ++i) {
    HollowNode node;
    node.place = topology_.places[i];
    node.descriptor.id = NodeId(absl::Uniform<uint64_t>(random_, 1, UINT64_MAX));
    node.descriptor.name = absl::StrCat("node-", i);
    node.descriptor.region = RegionName(node.place.region);
    node.descriptor.zone = ZoneName(node.place.zone);
    node.descriptor.peer = {AddressOf(i), kPeerPort};
    node.descriptor.http = {AddressOf(i), kHttpPort};
    authority::AuthoritySettings settings = options_.settings;
    settings.group = GroupId(node.place.group + 1);
    settings.self = node.descriptor;
    settings.seed = absl::Uniform<uint64_t>(random_);
    // Machines do not start at one moment.
    const Time start = now() + absl::Milliseconds(absl::Uniform(random_, 0, 250));
    node.authority = std::make_unique<authority::Authority>(settings, start);
    node_index_.emplace(node.descriptor.id, i);
    nodes_.push_back(std::move(node));
    queue_.At(start, [this, i] {
      ReportLoad(i);
      Tick(i);
    });
  }
}

void HollowFleet::IntroducePeers() {
  for (const std::vector<size_t>& group : topology_.groups) {
    authority::PeersDiscovered peers;
    for (const size_t node : group) {
      peers.peers.push_back(nodes_[node].descriptor);
    }
    for (const size_t node : group) {
      Deliver(node, peers);
    }
  }
}

std::string HollowFleet::StorePrefix(uint32_t group) const { return absl::StrCat(group, ":"); }

ServiceName HollowFleet::ServiceOf(uint32_t group) const {
  return ServiceName(absl::StrCat("service-", group));
}

Configuration HollowFleet::ConfigurationOf(uint32_t group) const {
  Configuration configuration;
  configuration.revision = revision_;
  ServiceConfiguration service;
  service.name = ServiceOf(group);
  service.key_prefixes = {absl::StrCat(service.name.value(), "/")};
  service.range_count = options_.ranges_per_group;
  service.requests = {{"read", true, Priority::kNormal, 1000},
                      {"book", false, Priority::kCritical, 3000}};
  configuration.services.push_back(service);
  for (const size_t backend : backends_of_group_[group]) {
    configuration.backends.push_back(backends_[backend].configuration);
  }
  return configuration;
}

void HollowFleet::Deliver(size_t node, const authority::Event& event) {
  HollowNode& target = nodes_[node];
  if (!target.alive) {
    return;
  }
  const absl::Duration before = ThreadTime();
  std::vector<authority::Action> actions = target.authority->Handle(event, now());
  target.traffic.processor_time += ThreadTime() - before;
  Take(node, std::move(actions));
  ScheduleTick(node);
}

void HollowFleet::Tick(size_t node) {
  HollowNode& target = nodes_[node];
  if (!target.alive) {
    return;
  }
  target.next_tick = absl::InfiniteFuture();
  const absl::Duration before = ThreadTime();
  std::vector<authority::Action> actions = target.authority->Tick(now());
  target.traffic.processor_time += ThreadTime() - before;
  Take(node, std::move(actions));
  ScheduleTick(node);
}

void HollowFleet::ScheduleTick(size_t node) {
  HollowNode& target = nodes_[node];
  const Time wanted = std::max(target.authority->NextTick(), now() + kShortestTick);
  if (wanted >= target.next_tick) {
    return;
  }
  target.next_tick = wanted;
  queue_.At(wanted, [this, node, wanted] {
    if (nodes_[node].next_tick == wanted) {
      Tick(node);
    }
  });
}

void HollowFleet::ReportLoad(size_t node) {
  const HollowNode& source = nodes_[node];
  if (!source.alive) {
    return;
  }
  constexpr double kRate = 30;
  authority::LoadObserved load;
  const ServiceName service = ServiceOf(source.place.group);
  const uint32_t stride = std::max(1U, options_.ranges_per_group / options_.reported_shards);
  for (uint32_t i = 0; i < static_cast<uint32_t>(options_.reported_shards); ++i) {
    const uint32_t range = i * stride % options_.ranges_per_group;
    load.shards.push_back({ShardId{service, RangeIndex(range), ""}, kRate});
  }
  for (const size_t backend : backends_of_group_[source.place.group]) {
    if (backends_[backend].node == node) {
      load.backends.push_back({backends_[backend].configuration.id, kRate, 1, 0, 0});
    }
  }
  Deliver(node, load);
  queue_.After(kLoadInterval, [this, node] { ReportLoad(node); });
}

void HollowFleet::Take(size_t node, std::vector<authority::Action> actions) {
  for (authority::Action& action : actions) {
    std::visit([&](auto& one) { TakeOne(node, one); }, action);
  }
}

void HollowFleet::TakeOne(size_t node, authority::SendMessage& action) {
  HollowNode& from = nodes_[node];
  const auto kind = static_cast<size_t>(KindOf(action.body));
  const absl::Duration before = ThreadTime();
  const PeerFrame frame{from.descriptor.id, action.correlation, action.is_response,
                        std::move(action.body)};
  std::string bytes = Encode(frame);
  from.traffic.processor_time += ThreadTime() - before;
  const uint64_t size = bytes.size() + kFrameBytes + kHeaderBytes;
  from.traffic.sent[kind] += size;
  ++from.traffic.frames_sent;
  const auto target = node_index_.find(action.to.id);
  if (target == node_index_.end() || IsCut(from.place, nodes_[target->second].place)) {
    return;
  }
  const size_t to = target->second;
  const Duration delay = DelayBetween(from.place, nodes_[to].place);
  queue_.After(delay, [this, to, kind, size, bytes = std::move(bytes)] {
    if (nodes_[to].alive) {
      nodes_[to].traffic.received[kind] += size;
      Receive(to, bytes);
    }
  });
}

void HollowFleet::Receive(size_t node, const std::string& frame) {
  const absl::Duration before = ThreadTime();
  auto decoded = Decode<PeerFrame>(frame);
  nodes_[node].traffic.processor_time += ThreadTime() - before;
  Deliver(node, authority::MessageArrived{decoded.from, decoded.correlation, decoded.is_response,
                                          std::move(decoded.body)});
}

void HollowFleet::TakeOne(size_t node, authority::RunStoreTransaction& action) {
  HollowNode& from = nodes_[node];
  constexpr auto kStore = static_cast<size_t>(TrafficKind::kStore);
  from.traffic.sent[kStore] += BytesOf(action.transaction);
  if (IsCutFromStore(from.place)) {
    queue_.After(options_.store_delay, [this, node, correlation = action.correlation] {
      Deliver(node, authority::StoreAnswered{correlation, authority::StoreStatus::kRefused, {}});
    });
    return;
  }
  queue_.After(options_.store_delay, [this, node, run = std::move(action)] {
    const auto answer = store_.Run(run, StorePrefix(nodes_[node].place.group), now());
    queue_.After(options_.store_delay, [this, node, answer] {
      nodes_[node].traffic.received[kStore] += BytesOf(answer);
      Deliver(node, answer);
    });
  });
}

Duration HollowFleet::DelayBetween(const Place& from, const Place& to) const {
  return from.zone == to.zone ? options_.same_zone_delay : options_.other_zone_delay;
}

bool HollowFleet::IsCut(const Place& from, const Place& to) const {
  return regions_cut_ && from.region != to.region;
}

bool HollowFleet::IsCutFromStore(const Place& place) const {
  return regions_cut_ && place.region != 0;
}

void HollowFleet::KillNodes(const std::function<bool(const Place&)>& which) {
  for (HollowNode& node : nodes_) {
    node.alive = node.alive && !which(node.place);
  }
}

void HollowFleet::KillNode(size_t node) { nodes_[node].alive = false; }

void HollowFleet::ResetTraffic() {
  for (HollowNode& node : nodes_) {
    node.traffic = Traffic();
  }
}

}  // namespace ladderstream::hollow
