#include "daemon/peer/traffic.h"

namespace ladderstream::peer {
namespace {

/// In the order of PeerBody's alternatives.
constexpr std::array<std::string_view, kMessageKinds> kKindNames = {
    "replication",     "node_report",      "node_report_ack", "lease_request", "lease_response",
    "grants_changed",  "proposal",         "proposal_result", "state_pull",    "state_pull_answer",
    "forward_request", "forward_response", "forward_cancel"};

/// In the order of ErrorCause.
constexpr std::array<std::string_view, kErrorCauses> kCauseNames = {
    "connect_failed", "connection_lost", "malformed_frame",     "oversized_frame",
    "queue_full",     "call_timed_out",  "too_many_connections"};

template <typename Alternative>
constexpr MessageKind KindOf() {
  return PeerBody(Alternative{}).index();
}

}  // namespace

std::string_view NameOfKind(MessageKind kind) { return kKindNames.at(kind); }

bool IsForwarding(MessageKind kind) {
  static const MessageKind kRequest = KindOf<ForwardRequest>();
  static const MessageKind kResponse = KindOf<ForwardResponse>();
  static const MessageKind kCancel = KindOf<ForwardCancel>();
  return kind == kRequest || kind == kResponse || kind == kCancel;
}

std::string_view NameOfCause(ErrorCause cause) {
  return kCauseNames.at(static_cast<size_t>(cause));
}

const Traffic::AtomicCount& Traffic::At(Direction direction, MessageKind kind) const {
  return messages_.at(static_cast<size_t>(direction)).at(kind);
}

void Traffic::CountMessage(Direction direction, MessageKind kind, size_t bytes) {
  AtomicCount& count = messages_.at(static_cast<size_t>(direction)).at(kind);
  count.messages.fetch_add(1, std::memory_order_relaxed);
  count.bytes.fetch_add(bytes, std::memory_order_relaxed);
}

void Traffic::CountError(ErrorCause cause) {
  errors_.at(static_cast<size_t>(cause)).fetch_add(1, std::memory_order_relaxed);
}

Traffic::Count Traffic::Messages(Direction direction, MessageKind kind) const {
  const AtomicCount& count = At(direction, kind);
  return {count.messages.load(std::memory_order_relaxed),
          count.bytes.load(std::memory_order_relaxed)};
}

uint64_t Traffic::Errors(ErrorCause cause) const {
  return errors_.at(static_cast<size_t>(cause)).load(std::memory_order_relaxed);
}

uint64_t Traffic::ControlBytes(Direction direction) const {
  uint64_t total = 0;
  for (MessageKind kind = 0; kind < kMessageKinds; ++kind) {
    if (!IsForwarding(kind)) {
      total += Messages(direction, kind).bytes;
    }
  }
  return total;
}

}  // namespace ladderstream::peer
