// Sends requests of other nodes to back ends that those nodes do not reach. The far side of
// RequestRelay.
//
// A request takes one hop: the carrier uses its own connections only and sends each request to one
// back end at most once. What it answers tells whether the request may have left. Single-threaded,
// on the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/forwarding/dispatcher.h"
#include "core/membership/messages.h"
#include "gateway/http/data_path.h"
#include "observability/node_metrics.h"

namespace ladderstream::gateway {

class RequestCarrier : private ExchangeListener {
 public:
  /// Sends a message back on the connection that the request arrived on.
  using Reply = std::function<void(uint64_t connection, const membership::RelayedAnswer& answer)>;

  /// All pointers must outlive the carrier.
  RequestCarrier(DataPath* data_path, forwarding::Dispatcher* dispatcher,
                 DataPathObserver* observer, observability::NodeMetrics* metrics, Reply reply);
  ~RequestCarrier() override;

  /// `age`: for how long the request was under way.
  void OnRequest(uint64_t connection, membership::RelayedRequest request, Duration age);
  void OnCancel(uint64_t connection, const membership::RelayCancel& cancel);
  /// The node that sent requests on this connection has closed it or was lost.
  void OnConnectionClosed(uint64_t connection);

  /// Requests without an end.
  size_t in_flight() const { return carried_.size(); }

 private:
  /// The sender's connection and its number for the attempt.
  using RequestKey = std::pair<uint64_t, uint64_t>;

  struct Carried {
    RequestKey key;
    std::string request_id;
    forwarding::CarriedRequest request;
    bool repeatable = false;
    Time started;
    Time answer_by;
    bool sent = false;
    Time sent_at;
    /// The sender hears nothing more of it.
    bool abandoned = false;
    BackendConnectionPtr connection;
    std::unique_ptr<Timer> timer;
  };

  // ExchangeListener
  void OnConnected(forwarding::AttemptHandle handle) override;
  bool MaySend(forwarding::AttemptHandle handle) override;
  void OnSent(forwarding::AttemptHandle handle) override;
  void OnAnswer(forwarding::AttemptHandle handle, BackendAnswer answer) override;
  void OnFailure(forwarding::AttemptHandle handle, forwarding::AttemptFailure failure,
                 std::string_view cause) override;

  /// Returns why the request is not taken; kAnswered when it is.
  membership::RelayOutcome Admit(const membership::RelayedRequest& request, Duration left) const;
  /// The back end left a request that was sent to it without an answer.
  void RecordUnanswered(const Carried& carried);
  void StartExchange(forwarding::AttemptHandle handle, membership::RelayedRequest request);
  void ArmTimer(forwarding::AttemptHandle handle, Duration timeout);
  void OnTimer(forwarding::AttemptHandle handle);
  void Abandon(forwarding::AttemptHandle handle);
  void Decline(const RequestKey& key, const membership::RelayedRequest& request,
               membership::RelayOutcome outcome);
  /// Ends the exchange and reports its failure.
  void Fail(forwarding::AttemptHandle handle, membership::RelayOutcome outcome,
            std::string_view cause);
  Time Now() const { return data_path_->resources().clock.Now(); }

  DataPath* const data_path_;
  forwarding::Dispatcher* const dispatcher_;
  DataPathObserver* const observer_;
  observability::NodeMetrics* const metrics_;
  const Reply reply_;
  forwarding::AttemptHandle last_handle_ = 0;
  std::unordered_map<forwarding::AttemptHandle, Carried> carried_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace ladderstream::gateway
