#include "gateway/relay/request_carrier.h"

#include <algorithm>
#include <vector>

#include "gateway/relay/relay_codec.h"

namespace ladderstream::gateway {
namespace {

using forwarding::AttemptFailure;
using forwarding::AttemptHandle;
using membership::RelayOutcome;

/// Requests of other nodes that are carried at one time.
constexpr size_t kMaxCarried = 256;
/// Beyond this lag of the event loop, requests are declined; each rank below the highest is
/// declined at a smaller one.
constexpr Duration kMaxLag = absl::Milliseconds(100);
constexpr Duration kConnectTimeout = absl::Milliseconds(150);

forwarding::CarriedRequest Describe(const membership::RelayedRequest& message) {
  forwarding::CarriedRequest request;
  request.backend = message.backend;
  if (message.fingerprint_high != 0 || message.fingerprint_low != 0) {
    const quarantine::Fingerprint content{message.fingerprint_high, message.fingerprint_low};
    const quarantine::Fingerprint variant{message.variant_high, message.variant_low};
    request.identity = variant == quarantine::Fingerprint()
                           ? quarantine::RequestIdentity(content)
                           : quarantine::RequestIdentity(content, variant);
  }
  request.permitted = message.permitted;
  request.is_trial = message.is_trial;
  return request;
}

}  // namespace

RequestCarrier::RequestCarrier(DataPath* data_path, forwarding::Dispatcher* dispatcher,
                               DataPathObserver* observer, observability::NodeMetrics* metrics,
                               Reply reply)
    : data_path_(data_path),
      dispatcher_(dispatcher),
      observer_(observer),
      metrics_(metrics),
      reply_(std::move(reply)) {}

RequestCarrier::~RequestCarrier() {
  for (auto& [handle, carried] : std::exchange(carried_, {})) {
    if (carried.connection != nullptr) {
      carried.connection->Close("stopped");
    }
  }
}

RelayOutcome RequestCarrier::Admit(const membership::RelayedRequest& request, Duration left) const {
  if (left <= absl::ZeroDuration()) {
    return RelayOutcome::kNotSent;
  }
  const double rank = request.priority + 1;
  if (carried_.size() >= kMaxCarried || data_path_->loop_lag() > kMaxLag / rank) {
    return RelayOutcome::kBusy;
  }
  switch (dispatcher_->MayCarry(Describe(request), Now())) {
    case forwarding::CarryPermission::kGranted:
      return RelayOutcome::kAnswered;
    case forwarding::CarryPermission::kNoPath:
      return RelayOutcome::kNoPath;
    case forwarding::CarryPermission::kDeclined:
    case forwarding::CarryPermission::kHeld:
      break;
  }
  return RelayOutcome::kNotSent;
}

void RequestCarrier::OnRequest(uint64_t connection, membership::RelayedRequest request,
                               Duration age) {
  const Time now = Now();
  const RequestKey key{connection, request.sequence};
  const Duration left = absl::Milliseconds(request.answer_within_ms) - age;
  const RelayOutcome admitted = Admit(request, left);
  if (admitted != RelayOutcome::kAnswered) {
    Decline(key, request, admitted);
    return;
  }
  const AttemptHandle handle = ++last_handle_;
  Carried& carried = carried_[handle];
  carried.key = key;
  carried.request_id = request.request_id;
  carried.request = Describe(request);
  carried.repeatable = request.repeatable;
  carried.started = now;
  carried.answer_by = now + left;
  StartExchange(handle, std::move(request));
}

void RequestCarrier::StartExchange(AttemptHandle handle, membership::RelayedRequest request) {
  const Carried& carried = carried_.at(handle);
  const Endpoint* const address = dispatcher_->AddressOf(carried.request.backend);
  auto message = std::make_shared<CallerRequest>(FromMessage(std::move(request), carried.started));
  message->reservation = ByteReservation(data_path_->resources().budget, ByteUse::kRequest);
  if (!message->reservation.Resize(message->body.size())) {
    Fail(handle, RelayOutcome::kBusy, "too many bytes of bodies are held");
    return;
  }
  BackendConnectionPtr connection;
  try {
    connection = data_path_->backends().Start(
        carried.request.backend, *address,
        {handle, std::move(message), carried.answer_by, this, carried.request.is_trial});
  } catch (const Error& error) {
    Fail(handle, RelayOutcome::kConnectRefused, error.what());
    return;
  }
  const auto started = carried_.find(handle);
  if (started == carried_.end()) {
    return;
  }
  if (connection == nullptr) {
    Fail(handle, RelayOutcome::kBusy, "enough connections to this back end");
    return;
  }
  const Duration left = started->second.answer_by - started->second.started;
  const Duration timeout = connection->is_connecting() ? std::min(left, kConnectTimeout) : left;
  started->second.connection = std::move(connection);
  ArmTimer(handle, timeout);
}

void RequestCarrier::ArmTimer(AttemptHandle handle, Duration timeout) {
  Carried& carried = carried_.at(handle);
  carried.timer = std::make_unique<Timer>(data_path_->resources().loop.get_executor());
  carried.timer->expires_after(absl::ToChronoNanoseconds(timeout));
  carried.timer->async_wait(
      [this, handle, alive = std::weak_ptr<char>(alive_)](const ErrorCode& error) {
        if (!error && !alive.expired()) {
          OnTimer(handle);
        }
      });
}

void RequestCarrier::OnTimer(AttemptHandle handle) {
  const auto found = carried_.find(handle);
  if (found == carried_.end()) {
    return;
  }
  Carried& carried = found->second;
  const bool connecting = carried.connection != nullptr && carried.connection->is_connecting();
  if (!connecting && Now() < carried.answer_by) {
    ArmTimer(handle, carried.answer_by - Now());
    return;
  }
  if (carried.connection != nullptr) {
    carried.connection->Close("no answer in time");
  }
  if (connecting) {
    dispatcher_->OnPathEvent(carried.request.backend, forwarding::PathEvent::kConnectFailed, Now());
  } else {
    RecordUnanswered(carried);
  }
  data_path_->Pump();
  Fail(handle, connecting ? RelayOutcome::kConnectTimeout : RelayOutcome::kTimedOut, "time-out");
}

void RequestCarrier::OnCancel(uint64_t connection, const membership::RelayCancel& cancel) {
  const auto found = std::find_if(carried_.begin(), carried_.end(), [&](const auto& entry) {
    return entry.second.key == RequestKey(connection, cancel.sequence);
  });
  if (found != carried_.end()) {
    Abandon(found->first);
  }
}

void RequestCarrier::OnConnectionClosed(uint64_t connection) {
  std::vector<AttemptHandle> abandoned;
  for (const auto& [handle, carried] : carried_) {
    if (carried.key.first == connection) {
      abandoned.push_back(handle);
    }
  }
  for (const AttemptHandle handle : abandoned) {
    Abandon(handle);
  }
}

void RequestCarrier::Abandon(AttemptHandle handle) {
  Carried& carried = carried_.at(handle);
  if (carried.sent && !carried.repeatable) {
    // Let it finish: aborting it could leave the work half done.
    carried.abandoned = true;
    return;
  }
  const BackendConnectionPtr connection = std::move(carried.connection);
  RecordUnanswered(carried);
  carried_.erase(handle);
  metrics_->CountCall("carried_request", "cancelled");
  if (connection != nullptr) {
    connection->Close("the attempt was cancelled");
  }
  data_path_->Pump();
}

void RequestCarrier::RecordUnanswered(const Carried& carried) {
  if (carried.sent) {
    dispatcher_->OnCarriedUnanswered(carried.request, Now() - carried.sent_at, Now());
  }
}

void RequestCarrier::OnConnected(AttemptHandle handle) {
  const auto found = carried_.find(handle);
  if (found != carried_.end()) {
    dispatcher_->OnPathEvent(found->second.request.backend, forwarding::PathEvent::kConnected,
                             Now());
    data_path_->Pump();
  }
}

bool RequestCarrier::MaySend(AttemptHandle handle) {
  const auto found = carried_.find(handle);
  return found != carried_.end() && dispatcher_->MayCarry(found->second.request, Now()) ==
                                        forwarding::CarryPermission::kGranted;
}

void RequestCarrier::OnSent(AttemptHandle handle) {
  const auto found = carried_.find(handle);
  if (found != carried_.end()) {
    found->second.sent = true;
    found->second.sent_at = Now();
  }
}

void RequestCarrier::OnAnswer(AttemptHandle handle, BackendAnswer answer) {
  const auto found = carried_.find(handle);
  if (found == carried_.end()) {
    return;
  }
  const Carried carried = std::move(found->second);
  carried_.erase(found);
  dispatcher_->OnPathEvent(carried.request.backend, forwarding::PathEvent::kAnswered, Now());
  metrics_->CountCall("carried_request", "answered");
  if (!carried.abandoned) {
    membership::RelayedAnswer message = ToMessage(std::move(answer));
    message.sequence = carried.key.second;
    reply_(carried.key.first, message);
  }
}

void RequestCarrier::OnFailure(AttemptHandle handle, AttemptFailure failure,
                               std::string_view cause) {
  const auto found = carried_.find(handle);
  if (found == carried_.end()) {
    return;
  }
  const forwarding::CarriedRequest request = found->second.request;
  if (failure == AttemptFailure::kConnectRefused) {
    dispatcher_->OnPathEvent(request.backend, forwarding::PathEvent::kRefused, Now());
  } else if (failure == AttemptFailure::kConnectTimeout) {
    dispatcher_->OnPathEvent(request.backend, forwarding::PathEvent::kConnectFailed, Now());
  } else if (failure == AttemptFailure::kLost && found->second.sent) {
    dispatcher_->OnCarriedLost(request, Now());
  }
  data_path_->Pump();
  Fail(handle, OutcomeOf(failure), cause);
}

void RequestCarrier::Decline(const RequestKey& key, const membership::RelayedRequest& request,
                             RelayOutcome outcome) {
  metrics_->CountCall("carried_request", membership::NameOf(outcome));
  observer_->OnCarriedRequestFailed(request.request_id, request.backend,
                                    membership::NameOf(outcome), "declined", absl::ZeroDuration());
  membership::RelayedAnswer answer;
  answer.sequence = key.second;
  answer.outcome = static_cast<uint8_t>(outcome);
  answer.detail = "declined by the peer";
  reply_(key.first, answer);
}

void RequestCarrier::Fail(AttemptHandle handle, RelayOutcome outcome, std::string_view cause) {
  const auto found = carried_.find(handle);
  if (found == carried_.end()) {
    return;
  }
  const Carried carried = std::move(found->second);
  carried_.erase(found);
  metrics_->CountCall("carried_request", membership::NameOf(outcome));
  observer_->OnCarriedRequestFailed(carried.request_id, carried.request.backend,
                                    membership::NameOf(outcome), cause, Now() - carried.started);
  if (!carried.abandoned) {
    membership::RelayedAnswer answer;
    answer.sequence = carried.key.second;
    answer.outcome = static_cast<uint8_t>(outcome);
    answer.detail = std::string(cause);
    reply_(carried.key.first, answer);
  }
}

}  // namespace ladderstream::gateway
