// The deployments that the emulator knows: sizes, load by region and hour, and hot keys.
//
// Sizes of back ends are those of the users' deployments of today. Rates, numbers of keys and the
// shapes of the day are assumptions, stated in docs/CAPACITY.md.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

#include "wire/configuration.h"

namespace ladderstream::emulator {

/// How the load of one region runs through the day.
struct RegionCurve {
  std::string name;
  /// Share of the service's peak load.
  double share = 1;
  /// Hours of the day, in one common time, between which the region is awake.
  double rise_hour = 8;
  double fall_hour = 19;
  /// What is left at night, as a share of the region's peak.
  double night_share = 0.08;

  /// The region's load at this time of day, as a share of the service's peak.
  double LoadAt(double hour) const;
};

/// Keys that become hot for minutes.
struct HotKeyModel {
  /// How many are hot at any moment.
  int count = 12;
  absl::Duration mean_life = absl::Minutes(6);
  /// Time from cold to full heat, and back.
  absl::Duration ramp = absl::Seconds(45);
  /// Share of the service's load: log-normal with this median, never above the maximum.
  double median_share = 0.005;
  double spread = 1.0;
  double max_share = 0.028;
};

/// One service with the back ends that serve it.
struct ServiceModel {
  ServiceConfiguration configuration;
  int backend_count = 14;
  uint32_t slots = 2;
  uint32_t max_connections = 130;
  std::vector<RegionCurve> regions;
  /// Requests per second of the whole service at its busiest hour.
  double peak_rate = 2100;
  uint32_t key_count = 200000;
  double zipf_exponent = 0.9;
  HotKeyModel hot_keys;
};

/// Bretagne: script steps of the call centres (two slots, unavailable time weighs most).
ServiceModel ScriptavelScripts();

/// Tirol: puzzle boards (three slots, churn weighs most).
ServiceModel RaetselwaldBoards();

/// One service over six regions whose mornings lie four hours apart.
ServiceModel SixRegions();

/// The models by name. Throws Error(kUnknownName) for any other name.
ServiceModel FindServiceModel(const std::string& name);

}  // namespace ladderstream::emulator
