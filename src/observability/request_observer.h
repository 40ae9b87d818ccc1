// Follows every request through the data path and turns its end into log lines and metrics.
//
// A request that a back end answered costs one line; any other gets all its lines, written together
// when it ends. Bounded: at most kMostTraces requests are followed at once; of the others only the
// last line is written.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

#include "gateway/http/data_path_observer.h"
#include "observability/event_log.h"
#include "observability/node_metrics.h"
#include "observability/not_understood_log.h"
#include "observability/request_trace.h"

namespace ladderstream::observability {

class RequestObserver : public gateway::DataPathObserver {
 public:
  static constexpr size_t kMostTraces = 2048;

  /// All must outlive the observer. `beliefs` is read when a request arrives.
  RequestObserver(EventLog* log, NodeMetrics* metrics, const BeliefsInForce* beliefs)
      : log_(log), metrics_(metrics), beliefs_(beliefs), not_understood_(log, metrics) {}

  void OnRequestStarted(std::string_view request_id, std::string_view route) override;
  void OnRequestDescribed(const forwarding::IncomingRequest& request) override;
  void OnAttemptDecided(std::string_view request_id, const forwarding::SendDecision& send) override;
  void OnAttemptSent(std::string_view request_id, std::string_view backend) override;
  void OnAttemptAnswered(std::string_view request_id, std::string_view backend,
                         const forwarding::AttemptAnswer& answer, Duration duration) override;
  void OnAttemptFailed(std::string_view request_id, std::string_view backend,
                       forwarding::AttemptFailure failure, std::string_view cause) override;
  void OnAttemptCancelled(std::string_view request_id, std::string_view backend) override;
  void OnAnswered(const gateway::AnsweredRequest& request) override;
  void OnCallerGone(std::string_view request_id, Duration after) override;
  void OnMalformed(ResultCode code, std::string_view detail) override;
  void OnCarriedRequestFailed(std::string_view request_id, std::string_view backend,
                              std::string_view outcome, std::string_view cause,
                              Duration elapsed) override;
  void OnNotUnderstood(std::string_view header, std::string_view backend) override;
  void OnBackendConnected(std::string_view backend) override;
  void OnConnectionRetired(std::string_view backend, std::string_view cause) override;

  size_t traces() const { return traces_.size(); }

 private:
  /// Null if the request is not followed.
  RequestTrace* Find(std::string_view request_id);
  /// The running attempt at this back end, begun now if its begin was not told.
  RequestTrace::Attempt& Running(RequestTrace* trace, std::string_view backend);
  RequestTrace::Attempt& Begin(RequestTrace* trace, std::string_view backend,
                               const forwarding::SendDecision* send);
  /// Null when the request is not followed.
  RequestTrace::Attempt* EndAttempt(std::string_view request_id, std::string_view backend,
                                    AttemptResult result, std::string_view cause);
  void EndRunning(RequestTrace* trace);
  /// Writes all lines of a request that was not answered by a back end.
  void WriteFailure(std::string_view request_id, const RequestTrace* trace, PendingLine last);
  void Forget(std::string_view request_id);

  EventLog* const log_;
  NodeMetrics* const metrics_;
  const BeliefsInForce* const beliefs_;
  NotUnderstoodLog not_understood_;
  /// By request id. Two requests under way with the same id share a trace.
  absl::flat_hash_map<std::string, RequestTrace> traces_;
};

}  // namespace ladderstream::observability
