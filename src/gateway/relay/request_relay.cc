#include "gateway/relay/request_relay.h"

#include <absl/strings/str_format.h>

#include <utility>
#include <variant>

#include "core/membership/transit_clock.h"
#include "gateway/http/answer_status.h"
#include "gateway/relay/relay_codec.h"

namespace ladderstream::gateway {
namespace {

using forwarding::AttemptFailure;
using forwarding::AttemptHandle;

/// Bytes that stay unacknowledged for longer show that the peer is lost; a request waits meanwhile.
constexpr Duration kUserTimeout = absl::Seconds(1);

PeerSettings SettingsWith(uint64_t seed) {
  PeerSettings settings;
  settings.user_timeout = kUserTimeout;
  settings.seed = seed;
  return settings;
}

}  // namespace

RequestRelay::RequestRelay(LoopResources* resources, observability::NodeMetrics* metrics,
                           uint64_t seed)
    : resources_(resources),
      metrics_(metrics),
      transport_(resources, SettingsWith(seed),
                 {[this](uint64_t /*connection*/, membership::Message message) {
                    OnMessage(std::move(message));
                  },
                  [this](const Endpoint& address, bool /*refused*/) {
                    FailAll(address, AttemptFailure::kPeerUnavailable, "the peer is not reached");
                  },
                  [this](const Endpoint& address, const std::string& reason) {
                    FailAll(address, AttemptFailure::kPeerLost, "the peer was lost: " + reason);
                  }}) {}

RequestRelay::~RequestRelay() { transport_.Stop(); }

void RequestRelay::SetPeers(const std::vector<membership::PeerIdentity>& peers) {
  addresses_.clear();
  for (const membership::PeerIdentity& peer : peers) {
    addresses_.emplace(peer.incarnation, peer.address);
  }
}

bool RequestRelay::Start(const forwarding::SendDecision& send, bool repeatable,
                         const CallerRequestPtr& request, ExchangeListener* listener) {
  const auto address = addresses_.find(send.peer);
  std::optional<membership::RelayedRequest> message = ToMessage(*request);
  if (address == addresses_.end() || !message.has_value()) {
    return false;
  }
  const Time now = resources_->clock.Now();
  message->sequence = send.attempt;
  message->sent_us = membership::TransitClock::Stamp(now);
  message->backend = send.backend;
  message->repeatable = repeatable;
  message->priority = send.priority;
  if (send.identity.has_value()) {
    message->fingerprint_high = send.identity->content.high;
    message->fingerprint_low = send.identity->content.low;
    message->variant_high = send.identity->variant.high;
    message->variant_low = send.identity->variant.low;
  }
  message->permitted = send.permitted;
  message->is_trial = send.is_trial;
  message->answer_within_ms = absl::ToInt64Milliseconds(send.answer_by - now);
  if (!transport_.SendOne({.address = address->second}, *std::move(message))) {
    return false;
  }
  pending_.insert_or_assign(send.attempt, Pending{address->second, listener});
  return true;
}

void RequestRelay::Cancel(AttemptHandle attempt) {
  const auto found = pending_.find(attempt);
  if (found == pending_.end()) {
    return;
  }
  const Endpoint peer = found->second.peer;
  pending_.erase(found);
  metrics_->CountCall("relayed_request", "cancelled");
  transport_.SendOne({.address = peer}, membership::RelayCancel{attempt});
}

void RequestRelay::OnMessage(membership::Message message) {
  auto* answer = std::get_if<membership::RelayedAnswer>(&message);
  if (answer == nullptr) {
    return;
  }
  const auto found = pending_.find(answer->sequence);
  if (found == pending_.end()) {
    return;
  }
  const Pending pending = found->second;
  const AttemptHandle attempt = found->first;
  pending_.erase(found);
  const auto outcome = static_cast<membership::RelayOutcome>(answer->outcome);
  if (outcome != membership::RelayOutcome::kAnswered) {
    Fail(attempt, pending, FailureOf(outcome), answer->detail);
    return;
  }
  if (!IsFinalStatus(answer->status)) {
    // It tells of the peer, not of the back end, which may have run the request.
    Fail(attempt, pending, AttemptFailure::kPeerLost,
         absl::StrFormat("want a status from %d to %d from the peer, found %03d",
                         kLowestFinalStatus, kHighestFinalStatus, answer->status));
    return;
  }
  metrics_->CountCall("relayed_request", "answered");
  pending.listener->OnAnswer(attempt, FromMessage(std::move(*answer)));
}

void RequestRelay::Fail(AttemptHandle attempt, const Pending& pending, AttemptFailure failure,
                        std::string_view cause) {
  metrics_->CountCall("relayed_request", membership::NameOf(OutcomeOf(failure)));
  pending.listener->OnFailure(attempt, failure, cause);
}

void RequestRelay::FailAll(const Endpoint& peer, AttemptFailure failure, const std::string& cause) {
  std::vector<std::pair<AttemptHandle, Pending>> failed;
  for (const auto& [attempt, pending] : pending_) {
    if (pending.peer == peer) {
      failed.emplace_back(attempt, pending);
    }
  }
  for (const auto& [attempt, pending] : failed) {
    // A failure before may have cancelled this one.
    if (pending_.erase(attempt) > 0) {
      Fail(attempt, pending, failure, cause);
    }
  }
}

}  // namespace ladderstream::gateway
