// The load that callers put on one service, second by second.
//
// The heaviest keys and those that are hot for a while are followed one by one; all others only as
// the sum of their range. Deterministic for a seed. Not thread-safe.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "emulator/deployment.h"
#include "wire/identifiers.h"

namespace ladderstream::emulator {

/// A key that is followed by itself.
struct TrackedKey {
  std::string key;
  RangeIndex range;
};

/// Requests per second. `keys` runs parallel to LoadModel::tracked_keys(); `ranges` excludes them.
struct LoadSample {
  std::vector<double> ranges;
  std::vector<double> keys;

  double Total() const;
};

class LoadModel {
 public:
  LoadModel(const ServiceModel& service, uint64_t seed);

  /// The true load at this time since the beginning of the first day. Call with rising times.
  LoadSample At(absl::Duration since_start);

  /// Grows when a key becomes hot that was not tracked before.
  const std::vector<TrackedKey>& tracked_keys() const { return tracked_; }

  /// How many keys lie in each range.
  const std::vector<uint32_t>& keys_in_range() const { return keys_in_range_; }

 private:
  struct HotKey {
    size_t tracked_index = 0;
    size_t region = 0;
    double share = 0;
    absl::Duration begin;
    absl::Duration end;
  };

  void LayOutKeys();
  HotKey DrawHotKey(absl::Duration now);
  size_t Track(uint32_t key);
  double Heat(const HotKey& hot_key, absl::Duration now) const;

  ServiceModel service_;
  std::mt19937_64 random_;
  std::vector<TrackedKey> tracked_;
  std::vector<uint32_t> keys_in_range_;
  /// Share of a region's load, by region and range.
  std::vector<std::vector<double>> range_share_;
  std::vector<size_t> base_region_;
  std::vector<double> base_share_;
  std::vector<HotKey> hot_keys_;
};

}  // namespace ladderstream::emulator
