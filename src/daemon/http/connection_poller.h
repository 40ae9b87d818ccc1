// Reads requests from all callers' connections on one thread, and gives whole ones to workers.
//
// A connection that sends nothing, or sends slowly, holds no worker. The poller also enforces what
// callers may take up in connections, headers, bytes and time, and notices callers that go away
// while their request runs.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "daemon/http/caller_server.h"
#include "daemon/http/connection.h"
#include "daemon/http/request_framing.h"
#include "daemon/http/worker_pool.h"

namespace ladderstream {

/// Thread-safe.
class ConnectionPoller {
 public:
  /// Runs one request whose head is complete, on a worker thread; the connection's input begins
  /// with it. Gives false when the connection may not carry another one.
  using Runner = std::function<bool(Connection& connection, const RequestHead& head)>;

  ConnectionPoller(const CallerServerLimits& limits, Runner runner);
  ~ConnectionPoller();

  /// Takes over an accepted socket.
  void Add(int socket);

  /// From now on closes connections that have no request for a second, and the others after their
  /// next answers.
  void CloseIdle();
  /// Whether CloseIdle was called: answers then close their connections.
  bool closing_idle() const { return closing_idle_.load(); }

  /// Waits for running requests to end, then closes everything.
  void Stop();

 private:
  void Run();
  void HandleEvent(uint64_t id, uint32_t events);
  void HandleInput(const ConnectionPtr& connection);
  /// What the bytes read so far allow.
  enum class Verdict { kReadMore, kRun, kClosed };
  Verdict Judge(const ConnectionPtr& connection, const RequestHead& head);
  Verdict JudgeBody(const ConnectionPtr& connection, const RequestHead& head);
  void Dispatch(const ConnectionPtr& connection);
  void Work(const ConnectionPtr& connection);
  bool RunOne(Connection& connection);
  bool AwaitNextRequest(Connection& connection);
  void CancelRunning(Connection& connection);
  void RefuseAndLinger(const ConnectionPtr& connection, ResultCode code,
                       const std::string& message);
  void Linger(const ConnectionPtr& connection);
  void Close(Connection& connection);
  void Arm(const Connection& connection, uint32_t events);
  void CloseExpired();
  void CheckExpiry(const ConnectionPtr& connection, SteadyTime now);
  void Account(Connection& connection);
  std::vector<ConnectionPtr> AllConnections();

  const CallerServerLimits limits_;
  const uint32_t max_connections_;
  const Runner runner_;
  const int epoll_;
  const int wake_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> closing_idle_{false};
  /// Set before `closing_idle_`.
  std::atomic<SteadyTime> closing_since_{SteadyTime()};
  std::atomic<int64_t> buffered_bytes_{0};
  absl::Mutex mutex_;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<uint64_t, ConnectionPtr> connections_ ABSL_GUARDED_BY(mutex_);
  WorkerPool workers_;
  std::thread thread_;
};

}  // namespace ladderstream
