#include "core/membership/message_kind.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <variant>

namespace ladderstream::membership {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(MessageKind::kCount)> kKindNames = {
    "report",   "heartbeat", "map",           "map_changes",
    "members",  "rows",      "resignation",   "snapshot_request",
    "snapshot", "permit",    "relayed_order", "relayed_request"};

constexpr std::array<std::string_view, static_cast<size_t>(ZoneScope::kCount)> kScopeNames = {
    "unknown", "own", "other"};

constexpr std::array<std::string_view, static_cast<size_t>(RelayOutcome::kCount)> kOutcomeNames = {
    "answered", "connect_refused", "connect_timeout", "not_sent", "lost", "timed_out",
    "busy",     "no_path"};

MessageKind KindOfBody(const Report& /*report*/) { return MessageKind::kReport; }

MessageKind KindOfBody(const Heartbeat& heartbeat) {
  if (!heartbeat.map.empty()) {
    return MessageKind::kMap;
  }
  if (!heartbeat.members.empty() || !heartbeat.member_changes.empty()) {
    return MessageKind::kMembers;
  }
  const bool has_rows = std::any_of(heartbeat.tables.begin(), heartbeat.tables.end(),
                                    [](const TableUpdate& update) { return !update.rows.empty(); });
  if (has_rows) {
    return MessageKind::kRows;
  }
  return heartbeat.map_changes.empty() ? MessageKind::kHeartbeat : MessageKind::kMapChanges;
}

MessageKind KindOfBody(const Resignation& /*resignation*/) { return MessageKind::kResignation; }

MessageKind KindOfBody(const SnapshotRequest& /*request*/) { return MessageKind::kSnapshotRequest; }

MessageKind KindOfBody(const Snapshot& /*snapshot*/) { return MessageKind::kSnapshot; }

MessageKind KindOfBody(const PermitRequest& /*request*/) { return MessageKind::kPermit; }

MessageKind KindOfBody(const PermitAnswer& /*answer*/) { return MessageKind::kPermit; }

MessageKind KindOfBody(const RelayedOrder& /*order*/) { return MessageKind::kRelayedOrder; }

MessageKind KindOfBody(const RelayedOrderResult& /*result*/) { return MessageKind::kRelayedOrder; }

MessageKind KindOfBody(const RelayedRequest& /*request*/) { return MessageKind::kRelayedRequest; }

MessageKind KindOfBody(const RelayedAnswer& /*answer*/) { return MessageKind::kRelayedRequest; }

MessageKind KindOfBody(const RelayCancel& /*cancel*/) { return MessageKind::kRelayedRequest; }

}  // namespace

MessageKind KindOf(const Message& message) {
  return std::visit([](const auto& body) { return KindOfBody(body); }, message);
}

std::string_view NameOf(MessageKind kind) { return kKindNames.at(static_cast<size_t>(kind)); }

std::string_view NameOf(RelayOutcome outcome) {
  return kOutcomeNames.at(static_cast<size_t>(outcome));
}

std::string_view NameOf(ZoneScope scope) { return kScopeNames.at(static_cast<size_t>(scope)); }

}  // namespace ladderstream::membership
