// One node: every part of the daemon, put together, started in order and stopped in order.
#pragma once

#include <memory>

#include "settings/daemon_settings.h"
#include "wire/time.h"

namespace ladderstream::daemon {

/// Not thread-safe: one thread starts and stops it.
class Daemon {
 public:
  /// Binds every address; serves after Start. Throws Error.
  explicit Daemon(const settings::DaemonSettings& settings);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();

  /// The planned stop: turns callers away, hands over leadership, homes and vote, and waits for
  /// requests in flight. Gives false when the settings' `stop_timeout` ended before that was done.
  bool Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::daemon
