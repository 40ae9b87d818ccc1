// Watches the platform's machine list, a lagging hint of which nodes live, and registers this node
// there.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::store {

/// Reads the body of `GET /v1/machines`: the machines that are live. Entries that can't be read are
/// left out. Throws std::exception when the whole can't be read.
std::vector<NodeDescriptor> ParseMachineList(const std::string& body);

/// The body of `POST /v1/machines`.
std::string FormatMachine(const NodeDescriptor& node, bool leaving);

/// Polls on a thread of its own.
class MachineListWatcher {
 public:
  using OnPeers = std::function<void(std::vector<NodeDescriptor> peers)>;

  /// `on_peers` gets the live machines but this one after each successful poll, on the watcher's
  /// thread.
  MachineListWatcher(const Endpoint& machine_list, NodeDescriptor self, Duration interval,
                     OnPeers on_peers);
  ~MachineListWatcher();

  /// Says in the list that this node is leaving. Blocks for at most a second or so.
  void Leave();

  void Stop();

 private:
  void Loop();
  bool Register(bool leaving);
  void Poll();
  /// Gives false when the watcher is to end.
  bool Sleep();

  const Endpoint machine_list_;
  const NodeDescriptor self_;
  const Duration interval_;
  const OnPeers on_peers_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace ladderstream::store
