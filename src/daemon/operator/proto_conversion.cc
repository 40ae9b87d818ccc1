#include "daemon/operator/proto_conversion.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <string>

namespace ladderstream::daemon {
namespace {

RoutingKind RoutingFromProto(proto::RoutingKind routing) {
  return static_cast<RoutingKind>(static_cast<int>(routing));
}

Priority PriorityFromProto(proto::Priority priority) {
  if (priority == proto::PRIORITY_UNSPECIFIED) {
    return Priority::kNormal;
  }
  return static_cast<Priority>(static_cast<int>(priority) - 1);
}

proto::Priority PriorityToProto(Priority priority) {
  return static_cast<proto::Priority>(static_cast<int>(priority) + 1);
}

RequestRule FromProto(const proto::RequestRule& rule) {
  RequestRule result;
  result.name = rule.name();
  result.repeatable = rule.repeatable();
  result.priority = PriorityFromProto(rule.priority());
  if (rule.has_default_deadline_ms()) {
    result.default_deadline_ms = rule.default_deadline_ms();
  }
  return result;
}

ServiceLimits FromProto(const proto::ServiceLimits& limits) {
  ServiceLimits result;
  if (limits.has_max_body_bytes()) {
    result.max_body_bytes = limits.max_body_bytes();
  }
  if (limits.has_max_key_bytes()) {
    result.max_key_bytes = limits.max_key_bytes();
  }
  if (limits.has_max_queue()) {
    result.max_queue = limits.max_queue();
  }
  if (limits.has_retry_budget_permille()) {
    result.retry_budget_permille = limits.retry_budget_permille();
  }
  if (limits.has_hedge_after_ms()) {
    result.hedge_after_ms = limits.hedge_after_ms();
  }
  return result;
}

CostWeights FromProto(const proto::CostWeights& weights) {
  CostWeights result;
  if (weights.has_imbalance()) {
    result.imbalance = weights.imbalance();
  }
  if (weights.has_churn()) {
    result.churn = weights.churn();
  }
  if (weights.has_unavailable_time()) {
    result.unavailable_time = weights.unavailable_time();
  }
  return result;
}

std::string RoleName(replication::Role role) {
  switch (role) {
    case replication::Role::kLeader:
      return "leader";
    case replication::Role::kFollower:
      return "follower";
    case replication::Role::kLearner:
      return "learner";
    case replication::Role::kPreCandidate:
    case replication::Role::kCandidate:
      return "candidate";
    case replication::Role::kIdle:
      return "idle";
  }
  return "idle";
}

}  // namespace

ServiceConfiguration FromProto(const proto::Service& service) {
  ServiceConfiguration result;
  result.name = ServiceName(service.name());
  result.routing = RoutingFromProto(service.routing());
  result.key_prefixes.assign(service.key_prefixes().begin(), service.key_prefixes().end());
  if (service.has_range_count()) {
    result.range_count = service.range_count();
  }
  for (const proto::RequestRule& rule : service.requests()) {
    result.requests.push_back(FromProto(rule));
  }
  result.limits = FromProto(service.limits());
  result.weights = FromProto(service.weights());
  return result;
}

BackendConfiguration FromProto(const proto::Backend& backend) {
  BackendConfiguration result;
  result.id = BackendId(backend.id());
  result.service = ServiceName(backend.service());
  result.zone = backend.zone();
  try {
    result.endpoint = ParseEndpoint(backend.endpoint());
  } catch (const Error&) {
    result.endpoint = {backend.endpoint(), 0};
  }
  if (backend.has_slots()) {
    result.slots = backend.slots();
  }
  if (backend.has_max_connections()) {
    result.max_connections = backend.max_connections();
  }
  return result;
}

proto::Service ToProto(const ServiceConfiguration& service) {
  proto::Service result;
  result.set_name(service.name.value());
  result.set_routing(static_cast<proto::RoutingKind>(static_cast<int>(service.routing)));
  for (const std::string& prefix : service.key_prefixes) {
    result.add_key_prefixes(prefix);
  }
  result.set_range_count(service.range_count);
  for (const RequestRule& rule : service.requests) {
    proto::RequestRule* const added = result.add_requests();
    added->set_name(rule.name);
    added->set_repeatable(rule.repeatable);
    added->set_priority(PriorityToProto(rule.priority));
    added->set_default_deadline_ms(rule.default_deadline_ms);
  }
  proto::ServiceLimits* const limits = result.mutable_limits();
  limits->set_max_body_bytes(service.limits.max_body_bytes);
  limits->set_max_key_bytes(service.limits.max_key_bytes);
  limits->set_max_queue(service.limits.max_queue);
  limits->set_retry_budget_permille(service.limits.retry_budget_permille);
  limits->set_hedge_after_ms(service.limits.hedge_after_ms);
  proto::CostWeights* const weights = result.mutable_weights();
  weights->set_imbalance(service.weights.imbalance);
  weights->set_churn(service.weights.churn);
  weights->set_unavailable_time(service.weights.unavailable_time);
  return result;
}

proto::Backend ToProto(const BackendConfiguration& backend) {
  proto::Backend result;
  result.set_id(backend.id.value());
  result.set_service(backend.service.value());
  result.set_zone(backend.zone);
  result.set_endpoint(FormatEndpoint(backend.endpoint));
  result.set_slots(backend.slots);
  result.set_max_connections(backend.max_connections);
  return result;
}

proto::Assignment ToProto(const Assignment& assignment) {
  proto::Assignment result;
  result.set_service(assignment.shard.service.value());
  result.set_range(assignment.shard.range.value());
  result.set_key(assignment.shard.key);
  result.set_state(static_cast<proto::AssignmentState>(static_cast<int>(assignment.state)));
  result.set_owner(assignment.owner.value());
  result.set_next_owner(assignment.next_owner.value());
  result.set_token(FormatToken(assignment.token));
  return result;
}

proto::Node ToProto(const NodeDescriptor& node) {
  proto::Node result;
  result.set_id(absl::StrCat(node.id.value()));
  result.set_name(node.name);
  result.set_region(node.region);
  result.set_zone(node.zone);
  result.set_peer_endpoint(FormatEndpoint(node.peer));
  result.set_http_endpoint(FormatEndpoint(node.http));
  return result;
}

namespace {

proto::NodeStatus NodeStatusToProto(const NodeReport& report) {
  proto::NodeStatus result;
  *result.mutable_node() = ToProto(report.node);
  result.set_revision_in_force(report.revision_in_force.value());
  result.set_leaving(report.leaving);
  return result;
}

}  // namespace

proto::GetStatusResponse ToProto(const authority::AuthorityStatus& status) {
  proto::GetStatusResponse result;
  result.set_role(RoleName(status.role));
  result.set_generation(status.generation);
  result.set_term(status.term);
  result.set_commit_index(status.commit_index);
  if (status.leader.id != NodeId()) {
    *result.mutable_leader() = ToProto(status.leader);
  }
  for (const NodeDescriptor& voter : status.members.voters) {
    *result.add_voters() = ToProto(voter);
  }
  for (const NodeDescriptor& learner : status.members.learners) {
    *result.add_learners() = ToProto(learner);
  }
  result.set_revision_in_force(status.revision.value());
  if (status.confirmed_age != absl::InfiniteDuration()) {
    result.set_confirmed_age_ms(absl::ToInt64Milliseconds(status.confirmed_age));
  }
  for (const NodeReport& report : status.nodes) {
    *result.add_nodes() = NodeStatusToProto(report);
  }
  result.set_assignments_changed(status.assignments_changed);
  return result;
}

}  // namespace ladderstream::daemon
