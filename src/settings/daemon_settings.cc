#include "settings/daemon_settings.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <limits>
#include <utility>

#include "settings/settings_reader.h"

namespace ladderstream::settings {
namespace {

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr DurationRange kShort{absl::Milliseconds(1), absl::Seconds(60)};
constexpr DurationRange kLong{absl::Milliseconds(1), absl::Hours(1)};
constexpr IntegerRange kPositive{1, std::numeric_limits<int32_t>::max()};
constexpr IntegerRange kVoterCount{1, 7};
constexpr IntegerRange kHeaderBytes{1024, 1 << 20};
constexpr IntegerRange kConnections{1, 65535};
constexpr NumberRange kRequestRate{1, 10000};
constexpr NumberRange kDrift{0, 0.1};

void ReadNode(SettingsReader* reader, DaemonSettings* settings) {
  reader->ReadText("node.name", kRequired, &settings->name);
  reader->ReadText("node.region", kRequired, &settings->region);
  reader->ReadText("node.zone", kRequired, &settings->zone);
  reader->ReadEndpoint("node.peer", kRequired, &settings->peer);
  settings->peer_listen = settings->peer;
  reader->ReadEndpoint("node.peer_listen", kOptional, &settings->peer_listen);
  reader->ReadEndpoint("node.http", kRequired, &settings->http);
  reader->ReadEndpoint("node.operators", kRequired, &settings->operators);
  reader->ReadEndpoint("node.metrics", kRequired, &settings->metrics);
  reader->ReadDuration("node.stop_timeout", kOptional, kLong, &settings->stop_timeout);
  reader->ReadChoice("node.log_level", kOptional, {"debug", "info", "warning", "error"},
                     &settings->log_level);
  std::vector<Endpoint> seeds;
  reader->ReadEndpoints("node.seeds", kOptional, &seeds);
  for (const Endpoint& seed : seeds) {
    NodeDescriptor descriptor;
    descriptor.peer = seed;
    settings->seeds.push_back(std::move(descriptor));
  }
}

void ReadPlatform(SettingsReader* reader, DaemonSettings* settings) {
  TableServiceSettings& table = settings->table_service;
  reader->ReadEndpoint("platform.table_service", kRequired, &table.endpoint);
  reader->ReadDuration("platform.table_timeout", kOptional, kShort, &table.timeout);
  reader->ReadNumber("platform.table_max_requests_per_second", kOptional, kRequestRate,
                     &table.max_requests_per_second);
  reader->ReadEndpoint("platform.object_store", &settings->object_store);
  reader->ReadEndpoint("platform.machine_list", &settings->machine_list);
  reader->ReadDuration("platform.machine_list_interval", kOptional, kLong,
                       &settings->machine_list_interval);
}

void ReadReplication(SettingsReader* reader, replication::Timing* timing) {
  reader->ReadDuration("replication.heartbeat_interval", kOptional, kShort,
                       &timing->heartbeat_interval);
  reader->ReadDuration("replication.election_timeout_min", kOptional, kShort,
                       &timing->election_timeout_min);
  reader->ReadDuration("replication.election_timeout_max", kOptional, kShort,
                       &timing->election_timeout_max);
  reader->ReadDuration("replication.leader_lease", kOptional, kShort, &timing->leader_lease);
  reader->ReadNumber("replication.max_clock_drift", kOptional, kDrift, &timing->max_clock_drift);
  int64_t max_log_entries = static_cast<int64_t>(timing->max_log_entries);
  reader->ReadInteger("replication.max_log_entries", kOptional, kPositive, &max_log_entries);
  timing->max_log_entries = static_cast<uint64_t>(max_log_entries);
}

void ReadGroup(SettingsReader* reader, authority::AuthoritySettings* group) {
  uint32_t id = 1;
  reader->ReadInteger("group.id", kOptional, kPositive, &id);
  group->group = GroupId(id);
  reader->ReadInteger("group.voter_count", kOptional, kVoterCount, &group->voter_count);
  reader->ReadDuration("group.backend_lease", kOptional, kShort, &group->backend_lease);
  reader->ReadDuration("group.expiry_margin", kOptional, kShort, &group->expiry_margin);
  reader->ReadDuration("group.report_interval", kOptional, kShort, &group->report_interval);
  reader->ReadDuration("group.pull_interval", kOptional, kShort, &group->pull_interval);
  reader->ReadDuration("group.node_timeout", kOptional, kShort, &group->node_timeout);
  reader->ReadDuration("group.store_poll_interval", kOptional, kLong, &group->store_poll_interval);
  reader->ReadDuration("group.checkpoint_interval", kOptional, kLong, &group->checkpoint_interval);
  reader->ReadDuration("group.founding_delay", kOptional, kLong, &group->founding_delay);
  reader->ReadDuration("group.recovery_delay", kOptional, kLong, &group->recovery_delay);
  reader->ReadDuration("group.confirmation_limit", kOptional, kLong, &group->confirmation_limit);
}

void ReadLimits(SettingsReader* reader, DataPathLimits* limits) {
  reader->ReadInteger("limits.max_connections", kOptional, kConnections, &limits->max_connections);
  reader->ReadInteger("limits.max_header_bytes", kOptional, kHeaderBytes,
                      &limits->max_header_bytes);
  reader->ReadDuration("limits.body_timeout", kOptional, kLong, &limits->body_timeout);
  reader->ReadDuration("limits.idle_timeout", kOptional, kLong, &limits->idle_timeout);
  reader->ReadDuration("limits.max_deadline", kOptional, kLong, &limits->max_deadline);
}

void CheckOwnEndpoints(const DaemonSettings& settings, SettingsReader* reader) {
  const bool listens_at_peer = settings.peer_listen == settings.peer;
  const std::vector<std::pair<std::string, Endpoint>> endpoints = {
      {listens_at_peer ? "node.peer" : "node.peer_listen", settings.peer_listen},
      {"node.http", settings.http},
      {"node.operators", settings.operators},
      {"node.metrics", settings.metrics}};
  for (size_t left = 0; left < endpoints.size(); ++left) {
    for (size_t right = left + 1; right < endpoints.size(); ++right) {
      const Endpoint& endpoint = endpoints[left].second;
      if (endpoint.port != 0 && endpoint == endpoints[right].second) {
        reader->AddInconsistency(absl::StrCat(endpoints[left].first, ", ", endpoints[right].first,
                                              " = \"", FormatEndpoint(endpoint), "\""),
                                 "a different address for each");
      }
    }
  }
}

/// The two checks throw at their first group of faults; each is reported.
void CheckTimings(const DaemonSettings& settings, SettingsReader* reader) {
  try {
    authority::CheckAuthoritySettings(settings.authority);
  } catch (const Error& error) {
    reader->AddInconsistency("group, replication", error.what());
  }
}

NodeDescriptor SelfOf(const DaemonSettings& settings) {
  NodeDescriptor self;
  self.name = settings.name;
  self.region = settings.region;
  self.zone = settings.zone;
  self.peer = settings.peer;
  self.http = settings.http;
  return self;
}

}  // namespace

DaemonSettings LoadDaemonSettings(const std::string& path,
                                  const std::vector<SettingOverride>& overrides) {
  SettingsReader reader(path, overrides);
  DaemonSettings settings;
  ReadNode(&reader, &settings);
  ReadPlatform(&reader, &settings);
  ReadReplication(&reader, &settings.authority.replication);
  ReadGroup(&reader, &settings.authority);
  ReadLimits(&reader, &settings.data_path);
  CheckOwnEndpoints(settings, &reader);
  CheckTimings(settings, &reader);
  reader.Finish();
  settings.authority.self = SelfOf(settings);
  return settings;
}

}  // namespace ladderstream::settings
