#include "emulator/cluster.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>
#include <time.h>

#include <algorithm>
#include <limits>

namespace ladderstream::emulator {
namespace {

constexpr size_t kNotSplit = std::numeric_limits<size_t>::max();
constexpr size_t kReportedKeys = 64;
constexpr double kMillion = 1e6;

absl::Duration ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return absl::DurationFromTimespec(time);
}

BackendId BackendName(const ServiceModel& service, int number) {
  return BackendId(absl::StrCat(service.configuration.name.value(), "-", number));
}

}  // namespace

Cluster::Cluster(const ServiceModel& service, const LoadModel& load,
                 placement::PlacementPolicyPtr policy, absl::Duration decision_interval,
                 uint64_t seed)
    : service_(service),
      load_(load),
      policy_(std::move(policy)),
      decision_interval_(decision_interval),
      random_(seed),
      backends_(service.backend_count) {
  input_.service = service.configuration;
  for (int i = 0; i < service.backend_count; ++i) {
    placement::BackendView view;
    view.id = BackendName(service, i);
    view.slots = service.slots;
    input_.backends.push_back(view);
    backend_index_.emplace(view.id, i);
    // Everything has run for long when the first day begins.
    backends_[i].started = -absl::Hours(1);
  }
  for (uint32_t range = 0; range < service.configuration.range_count; ++range) {
    placement::ShardView view;
    view.shard = ShardId{service.configuration.name, RangeIndex(range), ""};
    input_.shards.push_back(view);
  }
}

void Cluster::Handle(const Fault& fault, absl::Duration now) {
  BackendState& backend = backends_[fault.backend];
  decide_now_ = true;
  switch (fault.kind) {
    case FaultKind::kCrash:
      backend.live = false;
      for (placement::ShardView& shard : input_.shards) {
        if (shard.owner == input_.backends[fault.backend].id) {
          shard.owner = BackendId();
        }
      }
      break;
    case FaultKind::kDrain:
      backend.draining = true;
      break;
    case FaultKind::kReturn:
      backend.live = true;
      backend.draining = false;
      backend.started = now;
      break;
  }
}

void Cluster::Step(const LoadSample& truth, const LoadSample& measured, absl::Duration now,
                   absl::Duration period) {
  LearnTrackedKeys();
  if (decide_now_ || now >= next_decision_) {
    const std::vector<double> rates = ShardRates(measured);
    for (size_t i = 0; i < rates.size(); ++i) {
      input_.shards[i].rate = rates[i];
    }
    ShowHotKeys(measured);
    Decide(truth, now);
    next_decision_ = now + decision_interval_;
    decide_now_ = false;
    founded_ = true;
  }
  Measure(truth, period);
}

void Cluster::LearnTrackedKeys() {
  const auto& tracked = load_.tracked_keys();
  while (shard_of_tracked_.size() < tracked.size()) {
    tracked_by_name_.emplace(tracked[shard_of_tracked_.size()].key, shard_of_tracked_.size());
    shard_of_tracked_.push_back(kNotSplit);
  }
}

void Cluster::ShowBackends(absl::Duration now) {
  for (size_t i = 0; i < backends_.size(); ++i) {
    placement::BackendView& view = input_.backends[i];
    view.live = backends_[i].live;
    view.draining = backends_[i].draining;
    view.age = now - backends_[i].started;
  }
  input_.now = absl::UnixEpoch() + now;
}

std::vector<double> Cluster::ShardRates(const LoadSample& sample) const {
  std::vector<double> rates = sample.ranges;
  rates.resize(input_.shards.size(), 0);
  const auto& tracked = load_.tracked_keys();
  for (size_t i = 0; i < sample.keys.size(); ++i) {
    const size_t shard = shard_of_tracked_[i];
    rates[shard == kNotSplit ? tracked[i].range.value() : shard] += sample.keys[i];
  }
  return rates;
}

void Cluster::ShowHotKeys(const LoadSample& measured) {
  const auto& tracked = load_.tracked_keys();
  std::vector<size_t> busiest;
  for (size_t i = 0; i < measured.keys.size(); ++i) {
    if (shard_of_tracked_[i] == kNotSplit && measured.keys[i] > 0) {
      busiest.push_back(i);
    }
  }
  const size_t shown = std::min(kReportedKeys, busiest.size());
  std::partial_sort(
      busiest.begin(), busiest.begin() + static_cast<std::ptrdiff_t>(shown), busiest.end(),
      [&](size_t left, size_t right) { return measured.keys[left] > measured.keys[right]; });
  busiest.resize(shown);
  input_.hot_keys.clear();
  for (const size_t i : busiest) {
    input_.hot_keys.push_back(
        {ShardId{service_.configuration.name, tracked[i].range, tracked[i].key}, measured.keys[i]});
  }
}

void Cluster::Decide(const LoadSample& truth, absl::Duration now) {
  ShowBackends(now);
  const absl::Duration before = ThreadTime();
  const placement::PlacementPlan plan = policy_->Decide(input_);
  measures_.decision_time += ThreadTime() - before;
  ++measures_.decisions;
  CarryOut(plan, truth);
}

void Cluster::CarryOut(const placement::PlacementPlan& plan, const LoadSample& truth) {
  const std::vector<double> rates = ShardRates(truth);
  const auto rate_of = [&](const ShardId& shard) {
    const placement::ShardView* view = FindShard(shard);
    return view == nullptr ? 0.0 : rates[view - input_.shards.data()];
  };
  for (const auto& item : plan.assignments) {
    Assign(item, rate_of(item.shard));
  }
  for (const auto& item : plan.moves) {
    Move(item, rate_of(item.shard));
  }
  for (const ShardId& key : plan.merges) {
    Merge(key);
  }
  for (const ShardId& key : plan.splits) {
    Split(key);
  }
}

placement::ShardView* Cluster::FindShard(const ShardId& shard) {
  if (shard.key.empty()) {
    return &input_.shards[shard.range.value()];
  }
  const auto tracked = tracked_by_name_.find(shard.key);
  if (tracked == tracked_by_name_.end() || shard_of_tracked_[tracked->second] == kNotSplit) {
    return nullptr;
  }
  return &input_.shards[shard_of_tracked_[tracked->second]];
}

void Cluster::Assign(const AssignShards::Item& item, double rate) {
  placement::ShardView* shard = FindShard(item.shard);
  if (shard == nullptr || HasOwner(*shard)) {
    return;
  }
  shard->owner = item.owner;
  if (!founded_) {
    return;
  }
  ++measures_.forced_moves;
  measures_.forced_churn += KeysOf(item.shard) / service_.key_count;
  CountGap(item.shard, DrawBetween(transfer_.takeover_min, transfer_.takeover_max), rate, false);
}

void Cluster::Move(const RevokeShards::Item& item, double rate) {
  placement::ShardView* shard = FindShard(item.shard);
  if (shard == nullptr || !HasOwner(*shard) || shard->owner == item.next_owner) {
    return;
  }
  const bool planned = !backends_[backend_index_.at(shard->owner)].draining;
  shard->owner = item.next_owner;
  const double churn = KeysOf(item.shard) / service_.key_count;
  (planned ? measures_.planned_churn : measures_.forced_churn) += churn;
  ++(planned ? measures_.planned_moves : measures_.forced_moves);
  CountGap(item.shard, DrawBetween(transfer_.planned_min, transfer_.planned_max), rate, planned);
}

void Cluster::Split(const ShardId& key) {
  const auto tracked = tracked_by_name_.find(key.key);
  if (tracked == tracked_by_name_.end() || shard_of_tracked_[tracked->second] != kNotSplit) {
    return;
  }
  placement::ShardView view;
  view.shard = key;
  view.owner = input_.shards[key.range.value()].owner;
  shard_of_tracked_[tracked->second] = input_.shards.size();
  input_.shards.push_back(view);
  ++measures_.splits;
}

void Cluster::Merge(const ShardId& key) {
  placement::ShardView* shard = FindShard(key);
  if (shard == nullptr || shard->owner != input_.shards[key.range.value()].owner) {
    return;
  }
  shard_of_tracked_[tracked_by_name_.at(key.key)] = kNotSplit;
  placement::ShardView& last = input_.shards.back();
  if (shard != &last) {
    shard_of_tracked_[tracked_by_name_.at(last.shard.key)] = shard - input_.shards.data();
    *shard = last;
  }
  input_.shards.pop_back();
}

double Cluster::KeysOf(const ShardId& shard) const {
  return shard.key.empty() ? load_.keys_in_range()[shard.range.value()] : 1;
}

void Cluster::CountGap(const ShardId& shard, absl::Duration gap, double rate, bool planned) {
  const double per_key = absl::ToDoubleMilliseconds(gap) * KeysOf(shard) / service_.key_count;
  measures_.unavailable_ms_per_key += per_key;
  if (planned) {
    measures_.planned_unavailable_ms_per_key += per_key;
  }
  measures_.requests_without_owner += rate * absl::ToDoubleSeconds(gap);
}

bool Cluster::HasOwner(const placement::ShardView& shard) const {
  return !shard.owner.value().empty();
}

absl::Duration Cluster::DrawBetween(absl::Duration low, absl::Duration high) {
  return low + (high - low) * absl::Uniform(random_, 0.0, 1.0);
}

void Cluster::Measure(const LoadSample& truth, absl::Duration period) {
  const std::vector<double> rates = ShardRates(truth);
  std::vector<double> loads(backends_.size(), 0);
  double total = 0;
  for (size_t i = 0; i < rates.size(); ++i) {
    total += rates[i];
    if (HasOwner(input_.shards[i])) {
      loads[backend_index_.at(input_.shards[i].owner)] += rates[i];
    } else {
      CountGap(input_.shards[i].shard, period, rates[i], false);
    }
  }
  measures_.requests += total * absl::ToDoubleSeconds(period);
  double peak = 0;
  double carried = 0;
  int serving = 0;
  for (size_t i = 0; i < loads.size(); ++i) {
    if (backends_[i].live && !backends_[i].draining) {
      peak = std::max(peak, loads[i]);
      carried += loads[i];
      ++serving;
    }
  }
  if (carried > 0) {
    last_imbalance_ = peak * serving / carried;
    measures_.imbalance.Add(last_imbalance_);
  }
}

double Measures::UnservedPerMillion() const {
  return requests > 0 ? requests_without_owner / requests * kMillion : 0;
}

}  // namespace ladderstream::emulator
