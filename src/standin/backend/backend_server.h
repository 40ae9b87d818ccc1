// The HTTP side of the back end stand-in (docs/design/001 and 009).
//
//   POST /serve/{service}/{request}?key=   POST /cancel/{request id}   POST /grants
//   GET  /health   GET /load               as nodes use them
//   GET  /record?from=N   GET /status      for judges and tests
//   POST /control {"truncate_answers":n, "late_answers":n, "late_ms":n, "service_time_ms":n,
//                  "health":"honest|passing|failing", "load_factor":x}
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>

#include "standin/backend/effect_record.h"
#include "standin/backend/lease_client.h"
#include "standin/backend/request_runner.h"
#include "standin/support/http_server.h"

namespace ladderstream::standin {

struct BackendSettings {
  BackendId id;
  ServiceName service;
  std::string zone;
  Endpoint listen;
  ConnectionPolicy connections;
  RunnerSettings runner;
  LeaseClientSettings lease;
  /// Answers are filled up to this size. Bytes.
  uint32_t body_bytes = 0;
  Duration probe_cost = absl::ZeroDuration();
  /// How old the picture is that /health and /load show.
  Duration report_lag = absl::ZeroDuration();
  /// When leaving: how long no request must have come before it stops.
  Duration leave_quiet = absl::Milliseconds(500);
  /// When leaving: after this, new requests are refused as draining.
  Duration leave_timeout = absl::Seconds(10);
  std::string record_file;
};

/// Serves from construction to destruction. Thread-safe.
class BackendServer {
 public:
  explicit BackendServer(const BackendSettings& settings);

  Endpoint endpoint() const { return server_.endpoint(); }

  /// Leaves: returns when the back end holds no grant and nothing is in flight.
  void Leave();

 private:
  /// Faults that tests switch on.
  struct Faults {
    uint64_t truncate_answers = 0;
    uint64_t late_answers = 0;
    Duration late_by = absl::ZeroDuration();
    std::string health = "honest";
    double load_factor = 1;
  };

  void RouteRequests();
  void RouteReports();
  void RouteControl();
  void Serve(const httplib::Request& request, httplib::Response& response);
  void Answer(const RequestIdentity& identity, uint64_t sequence, httplib::Response& response);
  void TakeHint(const httplib::Request& request);
  void Control(const nlohmann::json& change);
  nlohmann::json Health() const;
  nlohmann::json Load() const;
  nlohmann::json Status() const;
  void WaitUntilIdle(Time give_up);

  const BackendSettings settings_;
  EffectRecord record_;
  RequestRunner runner_;
  mutable absl::Mutex mutex_;
  Faults faults_ ABSL_GUARDED_BY(mutex_);
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  LeaseClient lease_client_;
  HttpServer server_;
};

}  // namespace ladderstream::standin
