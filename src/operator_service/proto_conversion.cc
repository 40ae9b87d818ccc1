#include "operator_service/proto_conversion.h"

#include <absl/time/time.h>

#include <algorithm>
#include <limits>

namespace ladderstream::operator_service {
namespace {

/// In the schema 0 stands for "no bound".
Duration BoundFromProto(uint32_t milliseconds) {
  return milliseconds == 0 ? absl::InfiniteDuration() : absl::Milliseconds(milliseconds);
}

uint32_t MillisecondsOf(Duration duration) {
  const int64_t milliseconds = absl::ToInt64Milliseconds(duration);
  constexpr int64_t kMost = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::min(milliseconds, kMost));
}

uint32_t BoundToProto(Duration bound) {
  return bound == absl::InfiniteDuration() ? 0 : MillisecondsOf(bound);
}

}  // namespace

catalog::Service FromProto(const proto::Service& service) {
  catalog::Service result;
  result.name = service.name();
  result.sharded = service.sharded();
  result.warmup = absl::Milliseconds(service.warmup_ms());
  result.health_path = service.health_path();
  result.max_connections = service.max_connections();
  return result;
}

catalog::Route FromProto(const proto::Route& route) {
  catalog::Route result;
  result.name = route.name();
  result.host = route.host();
  result.path_prefix = route.path_prefix();
  result.repeatability = route.repeatable() ? catalog::Repeatability::kRepeatable
                                            : catalog::Repeatability::kAtMostOnce;
  result.timeout = BoundFromProto(route.timeout_ms());
  result.target_latency = BoundFromProto(route.target_latency_ms());
  if (route.has_max_attempts()) {
    result.max_attempts = route.max_attempts();
  }
  result.priority = route.priority();
  for (const proto::RouteTarget& target : route.targets()) {
    result.targets.push_back({target.service(), target.has_weight() ? target.weight() : 1});
  }
  return result;
}

catalog::Limits FromProto(const proto::Limits& limits) {
  catalog::Limits result;
  if (limits.has_max_header_bytes()) {
    result.max_header_bytes = limits.max_header_bytes();
  }
  if (limits.has_max_body_bytes()) {
    result.max_body_bytes = limits.max_body_bytes();
  }
  if (limits.has_header_timeout_ms()) {
    result.header_timeout = absl::Milliseconds(limits.header_timeout_ms());
  }
  if (limits.has_idle_timeout_ms()) {
    result.idle_timeout = absl::Milliseconds(limits.idle_timeout_ms());
  }
  return result;
}

proto::Service ToProto(const catalog::Service& service) {
  proto::Service result;
  result.set_name(service.name);
  result.set_sharded(service.sharded);
  result.set_warmup_ms(MillisecondsOf(service.warmup));
  result.set_health_path(service.health_path);
  result.set_max_connections(service.max_connections);
  return result;
}

proto::Route ToProto(const catalog::Route& route) {
  proto::Route result;
  result.set_name(route.name);
  result.set_host(route.host);
  result.set_path_prefix(route.path_prefix);
  result.set_repeatable(route.repeatability == catalog::Repeatability::kRepeatable);
  result.set_timeout_ms(BoundToProto(route.timeout));
  result.set_target_latency_ms(BoundToProto(route.target_latency));
  result.set_max_attempts(route.max_attempts);
  result.set_priority(route.priority);
  for (const catalog::RouteTarget& target : route.targets) {
    proto::RouteTarget* const added = result.add_targets();
    added->set_service(target.service);
    added->set_weight(target.weight);
  }
  return result;
}

proto::Limits ToProto(const catalog::Limits& limits) {
  proto::Limits result;
  result.set_max_header_bytes(limits.max_header_bytes);
  result.set_max_body_bytes(limits.max_body_bytes);
  result.set_header_timeout_ms(MillisecondsOf(limits.header_timeout));
  result.set_idle_timeout_ms(MillisecondsOf(limits.idle_timeout));
  return result;
}

proto::Backend ToProto(const catalog::Backend& backend) {
  proto::Backend result;
  result.set_id(backend.id);
  result.set_service(backend.service);
  result.set_zone(backend.zone);
  result.set_endpoint(FormatEndpoint(backend.address));
  result.set_slots(backend.slots);
  result.set_draining(backend.draining);
  return result;
}

proto::Assignment ToProto(const std::string& service, const ownership::Assignment& assignment) {
  proto::Assignment result;
  result.set_service(service);
  result.set_first_key(assignment.range.first);
  result.set_last_key(assignment.range.last);
  result.set_owner(assignment.owner);
  result.set_fence(assignment.fence);
  return result;
}

proto::GetConfigurationResponse ToProto(const catalog::Configuration& configuration) {
  proto::GetConfigurationResponse result;
  result.set_revision(configuration.version);
  for (const auto& [name, service] : configuration.services) {
    *result.add_services() = ToProto(service);
  }
  for (const catalog::Route& route : configuration.routes) {
    *result.add_routes() = ToProto(route);
  }
  *result.mutable_limits() = ToProto(configuration.limits);
  return result;
}

}  // namespace ladderstream::operator_service
