#include "emulator/load_model.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ladderstream::emulator {
namespace {

/// This many of the heaviest keys are followed one by one.
constexpr uint32_t kTrackedBaseKeys = 192;

constexpr absl::Duration kShortestLife = absl::Minutes(1);

double HourOfDay(absl::Duration since_start) {
  return std::fmod(absl::ToDoubleHours(since_start), 24.0);
}

}  // namespace

double LoadSample::Total() const {
  return std::accumulate(ranges.begin(), ranges.end(), 0.0) +
         std::accumulate(keys.begin(), keys.end(), 0.0);
}

LoadModel::LoadModel(const ServiceModel& service, uint64_t seed)
    : service_(service), random_(seed) {
  LayOutKeys();
  for (int i = 0; i < service_.hot_keys.count; ++i) {
    HotKey hot_key = DrawHotKey(absl::ZeroDuration());
    // The first ones are found in the midst of their lives.
    const absl::Duration elapsed = (hot_key.end - hot_key.begin) * absl::Uniform(random_, 0.0, 1.0);
    hot_key.begin -= elapsed;
    hot_key.end -= elapsed;
    hot_keys_.push_back(hot_key);
  }
}

void LoadModel::LayOutKeys() {
  const size_t regions = service_.regions.size();
  const uint32_t ranges = service_.configuration.range_count;
  range_share_.assign(regions, std::vector<double>(ranges, 0));
  keys_in_range_.assign(ranges, 0);
  std::vector<double> region_total(regions, 0);
  std::vector<size_t> region_of(service_.key_count);
  for (uint32_t key = 0; key < service_.key_count; ++key) {
    const double weight = std::pow(key + 1.0, -service_.zipf_exponent);
    const size_t region = absl::Uniform<size_t>(random_, 0, regions);
    region_total[region] += weight;
    region_of[key] = region;
    if (key < kTrackedBaseKeys) {
      const size_t index = Track(key);
      ++keys_in_range_[tracked_[index].range.value()];
      base_region_.push_back(region);
      base_share_.push_back(weight);
      continue;
    }
    const std::string name = absl::StrCat(service_.configuration.key_prefixes.front(), key);
    const RangeIndex range = RangeOf(name, ranges);
    range_share_[region][range.value()] += weight;
    ++keys_in_range_[range.value()];
  }
  for (size_t region = 0; region < regions; ++region) {
    for (double& share : range_share_[region]) {
      share /= region_total[region];
    }
  }
  for (size_t i = 0; i < base_share_.size(); ++i) {
    base_share_[i] /= region_total[base_region_[i]];
  }
}

size_t LoadModel::Track(uint32_t key) {
  const std::string name = absl::StrCat(service_.configuration.key_prefixes.front(), key);
  const auto found = std::find_if(tracked_.begin(), tracked_.end(),
                                  [&name](const TrackedKey& known) { return known.key == name; });
  if (found != tracked_.end()) {
    return static_cast<size_t>(found - tracked_.begin());
  }
  tracked_.push_back({name, RangeOf(name, service_.configuration.range_count)});
  return tracked_.size() - 1;
}

LoadModel::HotKey LoadModel::DrawHotKey(absl::Duration now) {
  const HotKeyModel& model = service_.hot_keys;
  // Hot keys come from a pool, so that a long run does not follow ever more of them.
  constexpr uint32_t kPool = 400;
  const uint32_t stride = service_.key_count / (2 * kPool);
  const uint32_t key = service_.key_count / 2 + stride * absl::Uniform<uint32_t>(random_, 0, kPool);
  HotKey hot_key;
  hot_key.tracked_index = Track(key);
  hot_key.region = absl::Uniform<size_t>(random_, 0, service_.regions.size());
  const double factor = std::exp(absl::Gaussian(random_, 0.0, model.spread));
  hot_key.share = std::min(model.median_share * factor, model.max_share);
  hot_key.begin = now;
  const double mean_minutes = absl::ToDoubleMinutes(model.mean_life);
  const double minutes = absl::Exponential(random_, 1 / mean_minutes);
  hot_key.end = now + kShortestLife + absl::Minutes(minutes);
  return hot_key;
}

double LoadModel::Heat(const HotKey& hot_key, absl::Duration now) const {
  const absl::Duration ramp = service_.hot_keys.ramp;
  const double rise = absl::FDivDuration(now - hot_key.begin, ramp);
  const double fall = absl::FDivDuration(hot_key.end - now, ramp);
  return std::clamp(std::min(rise, fall), 0.0, 1.0);
}

LoadSample LoadModel::At(absl::Duration since_start) {
  const double hour = HourOfDay(since_start);
  LoadSample sample;
  sample.ranges.assign(service_.configuration.range_count, 0);
  std::vector<double> region_rate;
  for (const RegionCurve& region : service_.regions) {
    region_rate.push_back(service_.peak_rate * region.LoadAt(hour));
  }
  for (size_t region = 0; region < region_rate.size(); ++region) {
    for (size_t range = 0; range < sample.ranges.size(); ++range) {
      sample.ranges[range] += region_rate[region] * range_share_[region][range];
    }
  }
  for (HotKey& hot_key : hot_keys_) {
    if (hot_key.end <= since_start) {
      hot_key = DrawHotKey(since_start);
    }
  }
  sample.keys.assign(tracked_.size(), 0);
  for (size_t i = 0; i < base_share_.size(); ++i) {
    sample.keys[i] = region_rate[base_region_[i]] * base_share_[i];
  }
  const double total = std::accumulate(region_rate.begin(), region_rate.end(), 0.0);
  for (const HotKey& hot_key : hot_keys_) {
    sample.keys[hot_key.tracked_index] += total * hot_key.share * Heat(hot_key, since_start);
  }
  return sample;
}

}  // namespace ladderstream::emulator
