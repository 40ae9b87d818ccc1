#include "gateway/settings/node_settings.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <limits>

#include "gateway/settings/leave_bound.h"
#include "gateway/settings/settings_checks.h"
#include "settings/settings_reader.h"

namespace ladderstream::gateway {
namespace {

using settings::DurationRange;
using settings::IntegerRange;
using settings::NumberRange;
using settings::Presence;
using settings::SettingsReader;

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr DurationRange kShort{absl::Milliseconds(1), absl::Minutes(1)};
constexpr DurationRange kLong{absl::ZeroDuration(), absl::Hours(1)};
constexpr DurationRange kInterval{absl::Milliseconds(1), absl::Hours(1)};
constexpr IntegerRange kCount{1, std::numeric_limits<int32_t>::max()};
constexpr NumberRange kShare{0, 1};
/// A rank that gets nothing starves.
constexpr NumberRange kFloor{0.01, 1};
constexpr NumberRange kCores{0.01, 1024};
constexpr NumberRange kRate{0.1, 1e6};
constexpr NumberRange kDrift{0, 0.1};
constexpr NumberRange kWeight{0, 1e6};

/// A machine with so much is as good a coordinator as any.
constexpr double kAmpleCpuShare = 0.4;
constexpr double kAmpleLinkMbps = 100;
/// How long the weakest machine leaves the lease to stronger ones.
constexpr Duration kLongestChallengeDelay = absl::Milliseconds(400);

/// Of the time in which a draining back end may still get requests, so much is used for those whose
/// keys it owns; the rest is for the way of the news and of the requests.
constexpr double kDrainServingShare = 0.6;

/// The same for an evacuated zone. The news may take the 1.5 s for which a coordinator's news is
/// trusted, and an own watch another 0.7 s: with a bound of 5 s this leaves 0.8 s.
constexpr double kEvacuationServingShare = 0.4;

/// Of the time in which news must have come, so much may pass before a node watches itself; and
/// before that so much is left for the watch, its pause and the way (design note 014).
constexpr double kFreshnessShare = 0.75;
constexpr Duration kOwnWatchReserve = absl::Milliseconds(800);
/// With less, the coordinator's word would hardly outlast its own renewals. Shorter bounds of the
/// platform than this allows cannot be kept in the worst case.
constexpr Duration kLeastFreshness = absl::Milliseconds(200);
/// A push tells nothing of its age: it counts for this much less.
constexpr Duration kPushedReserve = absl::Milliseconds(100);

void CheckSourceHost(const std::string& host, SettingsReader* reader) {
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  if (!host.empty() && error) {
    reader->AddInconsistency(absl::StrCat("node.source_host = \"", host, "\""), "an IP address");
  }
}

void ReadNode(SettingsReader* reader, NodeSettings* settings) {
  reader->ReadText("node.name", kRequired, &settings->name);
  reader->ReadText("node.zone", kRequired, &settings->zone);
  reader->ReadText("node.region", kOptional, &settings->region);
  reader->ReadText("node.source_host", kOptional, &settings->source_host);
  CheckSourceHost(settings->source_host, reader);
  reader->ReadChoice("node.log_level", kOptional, {"debug", "info", "warning", "error"},
                     &settings->log_level);
  reader->ReadEndpoint("listen.callers", kRequired, &settings->listen.callers);
  reader->ReadEndpoint("listen.readiness", kRequired, &settings->listen.readiness);
  reader->ReadEndpoint("listen.peers", kRequired, &settings->listen.peers);
  reader->ReadEndpoint("listen.peers_advertised", &settings->listen.peers_advertised);
  reader->ReadEndpoint("listen.metrics", &settings->listen.metrics);
}

void ReadMachineLimits(SettingsReader* reader, MachineLimits* limits) {
  reader->ReadNumber("limits.cpu_share", kOptional, kCores, &limits->cpu_share);
  reader->ReadInteger("limits.memory_mb", kOptional, kCount, &limits->memory_mb);
  reader->ReadInteger("limits.descriptors", kOptional, kCount, &limits->descriptors);
  reader->ReadNumber("limits.link_mbps", kOptional, kRate, &limits->link_mbps);
}

void ReadStore(SettingsReader* reader, StoreSettings* store) {
  reader->ReadEndpoint("store.address", kRequired, &store->address);
  reader->ReadNumber("store.writes_per_second", kOptional, kRate, &store->writes_per_second);
  reader->ReadNumber("store.reads_per_second", kOptional, kRate, &store->reads_per_second);
  reader->ReadNumber("store.partition_writes_per_second", kOptional, kRate,
                     &store->partition_writes_per_second);
  reader->ReadDuration("store.transaction_time", kOptional, kLong, &store->transaction_time);
  reader->ReadInteger("store.row_bytes", kOptional, kCount, &store->row_bytes);
}

void ReadBounds(SettingsReader* reader, PlatformBounds* bounds) {
  reader->ReadDuration("bounds.drain_time", kOptional, kLong, &bounds->drain_time);
  reader->ReadDuration("bounds.evacuation_time", kOptional, kLong, &bounds->evacuation_time);
  reader->ReadNumber("bounds.cold_overshoot", kOptional, kWeight, &bounds->cold_overshoot);
  reader->ReadNumber("bounds.cold_slack", kOptional, kWeight, &bounds->cold_slack);
  reader->ReadDuration("bounds.configuration_time", kOptional, kInterval,
                       &bounds->configuration_time);
  reader->ReadDuration("bounds.stop_grace", kOptional, kLong, &bounds->stop_grace);
  reader->ReadDuration("bounds.maximum_hold", kOptional, kInterval, &bounds->maximum_hold);
  reader->ReadNumber("bounds.retry_budget_ratio", kOptional, kWeight, &bounds->retry_budget_ratio);
  reader->ReadNumber("bounds.retry_budget_slack", kOptional, kWeight, &bounds->retry_budget_slack);
  reader->ReadDuration("bounds.retry_budget_window", kOptional, kInterval,
                       &bounds->retry_budget_window);
}

/// News that the coordinator hands on may be so old that an own watch still brings what it missed
/// in time: both bounds count from the store's answer.
void FitRelayInto(const PlatformBounds& bounds, Duration connect_timeout,
                  membership::RelaySettings* relay) {
  // Never longer than the defaults: with 2.25 s, draining back ends still got requests after 3 s.
  relay->freshness = std::min(
      relay->freshness, std::min(bounds.drain_time, bounds.configuration_time) * kFreshnessShare);
  const Duration beyond_drain_time =
      LeaveBoundOf(*relay, connect_timeout).Total() - bounds.drain_time;
  relay->freshness = std::clamp(relay->freshness - beyond_drain_time, kLeastFreshness,
                                std::max(kLeastFreshness, relay->freshness));
  relay->max_heartbeat_age =
      std::min(relay->max_heartbeat_age,
               std::max(relay->freshness / 3, relay->freshness - kOwnWatchReserve));
  relay->max_pushed_heartbeat_age =
      std::min(relay->max_pushed_heartbeat_age, relay->max_heartbeat_age - kPushedReserve);
}

void ReadMembership(SettingsReader* reader, membership::MembershipSettings* membership) {
  reader->ReadEndpoints("membership.seeds", kOptional, &membership->seeds);
  reader->ReadDuration("membership.shortest_report_interval", kOptional, kShort,
                       &membership->shortest_report_interval);
  reader->ReadDuration("membership.longest_report_interval", kOptional, kShort,
                       &membership->longest_report_interval);
  reader->ReadNumber("membership.reports_per_second", kOptional, kRate,
                     &membership->reports_per_second);
  reader->ReadDuration("membership.silence", kOptional, kShort, &membership->coordinator_timeout);
  reader->ReadDuration("membership.member_lifetime", kOptional, kShort,
                       &membership->member_lifetime);
  reader->ReadDuration("membership.confirmation", kOptional, kShort, &membership->confirmation);
  reader->ReadBoolean("membership.relay", kOptional, &membership->relay.enabled);
}

/// How much of what a coordinator of many nodes needs this machine has, from 0 to 1.
double CoordinatorFitness(const MachineLimits& limits) {
  return std::min({1.0, limits.cpu_share / kAmpleCpuShare, limits.link_mbps / kAmpleLinkMbps});
}

/// Where back ends accept only short holds, everything that has to fit into a hold shrinks alike.
void FitDefaultsInto(Duration maximum_hold, NodeSettings* settings) {
  ownership::CoordinatorSettings* const ownership = &settings->ownership;
  const double share = std::min(1.0, absl::FDivDuration(maximum_hold, ownership->hold));
  ownership->hold *= share;
  ownership->hold_renewal *= share;
  ownership->lease *= share;
  ownership->lease_renewal *= share;
  ownership->unrenewed_timeout *= share;
  ownership->heartbeat_timeout *= share;
  ownership->store_timeout *= share;
  ownership->order_timeout *= share;
  settings->membership.shortest_report_interval *= share;
  settings->membership.coordinator_timeout *= share;
}

void ReadOwnership(SettingsReader* reader, ownership::CoordinatorSettings* ownership) {
  reader->ReadDuration("ownership.lease", kOptional, kShort, &ownership->lease);
  reader->ReadDuration("ownership.lease_renewal", kOptional, kShort, &ownership->lease_renewal);
  reader->ReadDuration("ownership.unrenewed_patience", kOptional, kShort,
                       &ownership->unrenewed_timeout);
  reader->ReadDuration("ownership.hold", kOptional, kShort, &ownership->hold);
  reader->ReadDuration("ownership.hold_renewal", kOptional, kShort, &ownership->hold_renewal);
  reader->ReadNumber("ownership.renewals_per_second", kOptional, kRate,
                     &ownership->renewals_per_second);
  reader->ReadNumber("ownership.clock_drift", kOptional, kDrift, &ownership->clock_drift);
  reader->ReadDuration("ownership.slack", kOptional, kLong, &ownership->slack);
  reader->ReadDuration("ownership.heartbeat_timeout", kOptional, kShort,
                       &ownership->heartbeat_timeout);
  reader->ReadDuration("ownership.order_timeout", kOptional, kShort, &ownership->order_timeout);
  reader->ReadDuration("ownership.store_timeout", kOptional, kShort, &ownership->store_timeout);
  reader->ReadDuration("ownership.partition_interval", kOptional, kShort,
                       &ownership->partition_interval);
  reader->ReadDuration("ownership.challenge_delay", kOptional, kLong, &ownership->challenge_delay);
  reader->ReadNumber("ownership.churn_weight", kOptional, kWeight,
                     &ownership->partition_weights.churn_weight);
  reader->ReadInteger("ownership.max_moves", kOptional, kCount,
                      &ownership->partition_weights.max_moves);
}

void ReadForwarding(SettingsReader* reader, const NodeSettings& settings,
                    forwarding::DispatcherSettings* forwarding) {
  forwarding->zone = settings.zone;
  forwarding->drain_time = settings.bounds.drain_time;
  forwarding->evacuation_time = settings.bounds.evacuation_time;
  forwarding->drain_serving = settings.bounds.drain_time * kDrainServingShare;
  forwarding->evacuation_serving = settings.bounds.evacuation_time * kEvacuationServingShare;
  forwarding->cold_overshoot = settings.bounds.cold_overshoot;
  forwarding->cold_slack = settings.bounds.cold_slack;
  forwarding->budget_ratio = settings.bounds.retry_budget_ratio;
  forwarding->budget_slack = settings.bounds.retry_budget_slack;
  forwarding->budget_window = settings.bounds.retry_budget_window;
  reader->ReadDuration("forwarding.drain_grace", kOptional, kLong, &forwarding->drain_grace);
  reader->ReadDuration("forwarding.lapse_grace", kOptional, kLong, &forwarding->expiry_grace);
  reader->ReadNumber("forwarding.patience_share", kOptional, kShare, &forwarding->max_wait_share);
  reader->ReadNumber("forwarding.admission_floor", kOptional, kFloor, &forwarding->admission_floor);
  reader->ReadDuration("forwarding.answer_margin", kOptional, kLong, &forwarding->answer_margin);
}

void ReadReleasedRequest(SettingsReader* reader, NodeSettings* settings) {
  constexpr char kName[] = "forwarding.released_request";
  constexpr char kNone[] = "none";
  std::string text = kNone;
  reader->ReadText(kName, kOptional, &text);
  settings->released_request = quarantine::ParseFingerprint(text);
  if (text != kNone && !settings->released_request.has_value()) {
    reader->AddInconsistency(
        absl::StrCat(kName, " = \"", text, "\""),
        "none, or 32 hexadecimal digits, as the belief \"held\" names the request");
  }
}

}  // namespace

NodeSettings LoadNodeSettings(const std::string& path,
                              const std::vector<settings::SettingOverride>& overrides) {
  SettingsReader reader(path, overrides);
  NodeSettings settings;
  ReadNode(&reader, &settings);
  ReadMachineLimits(&reader, &settings.limits);
  ReadStore(&reader, &settings.store);
  ReadBounds(&reader, &settings.bounds);
  FitRelayInto(settings.bounds, settings.forwarding.connect_timeout, &settings.membership.relay);
  FitDefaultsInto(settings.bounds.maximum_hold, &settings);
  ReadMembership(&reader, &settings.membership);
  settings.ownership.challenge_delay =
      kLongestChallengeDelay * (1 - CoordinatorFitness(settings.limits));
  ReadOwnership(&reader, &settings.ownership);
  size_t& row_bytes = settings.ownership.commit_limits.row_bytes;
  row_bytes = std::min<size_t>(row_bytes, settings.store.row_bytes);
  settings.membership.members_lease_reserve =
      settings.ownership.lease - settings.ownership.unrenewed_timeout;
  ReadForwarding(&reader, settings, &settings.forwarding);
  ReadReleasedRequest(&reader, &settings);
  CheckNodeSettings(settings, &reader);
  settings.written = reader.Written();
  reader.Finish();
  return settings;
}

}  // namespace ladderstream::gateway
