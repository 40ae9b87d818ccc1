// One caller's connection, as the poller and the worker threads share it.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "core/routing/cancellation.h"

namespace ladderstream {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Owns the socket. At any moment either the poller or one worker uses the input; `phase` says
/// which.
class Connection {
 public:
  enum class Phase {
    /// The poller reads a request, or waits for one.
    kReading,
    /// A worker runs a request.
    kRunning,
    /// Everything was answered; what still comes is thrown away, so that the answer isn't lost to a
    /// reset.
    kLingering,
  };

  Connection(uint64_t id, int socket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  uint64_t id() const { return id_; }
  int socket() const { return socket_; }

  /// What was received and not yet used.
  std::string input;
  std::atomic<Phase> phase{Phase::kReading};
  /// When the first byte of the request that is read or run came; otherwise when the phase began.
  /// Written by the phase's owner.
  std::atomic<SteadyTime> since;
  /// How much of the input was added to the poller's count of buffered bytes.
  size_t accounted_bytes = 0;
  /// Whether the last request came soon after the answer before it.
  bool sends_in_quick_succession = false;
  /// Set by a worker: the connection may not carry another request.
  bool close_after_answer = false;

  /// Reads what is there without waiting, at most `max_bytes`. Gives false at the end of the
  /// stream.
  bool ReceiveAvailable(size_t max_bytes);

  /// Writes as much of `data` as fits without waiting.
  void SendAvailable(const std::string& data) const;

  /// Begins a request: it is cancelled when the caller goes away.
  routing::CancellationPtr BeginRequest();
  void EndRequest();
  /// Gives the running request's cancellation, null if there is none.
  routing::CancellationPtr RunningRequest();

 private:
  const uint64_t id_;
  const int socket_;
  absl::Mutex mutex_;
  routing::CancellationPtr running_ ABSL_GUARDED_BY(mutex_);
};

using ConnectionPtr = std::shared_ptr<Connection>;

}  // namespace ladderstream
