// Translates requests and answers of the data path to messages between nodes and back.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/forwarding/dispatcher.h"
#include "core/membership/relay_messages.h"
#include "gateway/http/answer_reader.h"
#include "gateway/http/request_reader.h"

namespace ladderstream::gateway {

/// The longest body that is relayed, in bytes; a message holds it whole.
constexpr size_t kMaxRelayedBody = size_t{6} << 20U;

/// Returns nothing when the body is too long.
std::optional<membership::RelayedRequest> ToMessage(const CallerRequest& request);
CallerRequest FromMessage(membership::RelayedRequest message, Time now);

/// Sets everything but the sequence. An answer whose body is too long becomes kLost: it ran.
membership::RelayedAnswer ToMessage(BackendAnswer answer);
/// Of a message whose outcome is kAnswered.
BackendAnswer FromMessage(membership::RelayedAnswer message);

membership::RelayOutcome OutcomeOf(forwarding::AttemptFailure failure);
forwarding::AttemptFailure FailureOf(membership::RelayOutcome outcome);

}  // namespace ladderstream::gateway
