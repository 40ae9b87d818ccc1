#include "core/authority/load_view.h"

#include <cmath>

namespace ladderstream::authority {
namespace {

/// After this long a change of rate shows to two thirds.
constexpr Duration kSmoothing = absl::Seconds(5);
/// Smoothed rates below this are forgotten. Requests per second.
constexpr double kNegligibleRate = 0.01;

}  // namespace

void LoadView::Update(const std::vector<NodeReport>& reports, Time now) {
  std::map<ShardId, double> sums;
  failure_rates_.clear();
  for (const NodeReport& report : reports) {
    for (const ShardLoad& load : report.shards) {
      sums[load.shard] += load.rate;
    }
    for (const BackendLoad& load : report.backends) {
      failure_rates_[load.backend] += load.failure_rate;
    }
  }
  const bool first = updated_ == absl::InfinitePast();
  const double weight = first ? 1 : 1 - std::exp(-absl::FDivDuration(now - updated_, kSmoothing));
  updated_ = now;
  for (const auto& [shard, sum] : sums) {
    rates_.try_emplace(shard, 0);
  }
  for (auto& [shard, rate] : rates_) {
    const auto sum = sums.find(shard);
    const double seen = sum == sums.end() ? 0 : sum->second;
    rate += weight * (seen - rate);
  }
  std::erase_if(rates_, [](const auto& item) { return item.second < kNegligibleRate; });
}

double LoadView::RateOf(const ShardId& shard) const {
  const auto found = rates_.find(shard);
  return found == rates_.end() ? 0 : found->second;
}

double LoadView::FailureRateOf(const BackendId& backend) const {
  const auto found = failure_rates_.find(backend);
  return found == failure_rates_.end() ? 0 : found->second;
}

std::vector<ShardLoad> LoadView::KeysOf(const ServiceName& service) const {
  std::vector<ShardLoad> keys;
  const ShardId first{service, RangeIndex(0), ""};
  for (auto load = rates_.lower_bound(first); load != rates_.end(); ++load) {
    if (load->first.service != service) {
      break;
    }
    if (!load->first.key.empty()) {
      keys.push_back({load->first, load->second});
    }
  }
  return keys;
}

}  // namespace ladderstream::authority
