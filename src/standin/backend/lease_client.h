// Keeps a back end's lease: asks the nodes, from a thread of its own.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/backend/request_runner.h"

namespace httplib {
class Client;
}

namespace ladderstream::standin {

struct LeaseClientSettings {
  BackendId backend;
  BackendIncarnation incarnation;
  std::vector<Endpoint> nodes;
  /// Where requests come from; empty for any address.
  std::string source_address;
  /// How long one node may take before the next is asked.
  Duration timeout = absl::Milliseconds(200);
  /// Waited after every node has failed once.
  Duration retry_pause = absl::Milliseconds(50);
};

/// Thread-safe.
class LeaseClient {
 public:
  LeaseClient(const LeaseClientSettings& settings, RequestRunner* runner);
  ~LeaseClient();

  /// Asks at once.
  void AskNow();
  /// Asks with leaving=true from now on.
  void Leave();
  /// Whether a node has accepted that this back end leaves, and it holds no grant any more.
  bool HasLeft() const;

 private:
  void Loop();
  /// Asks the current node once; gives how long to wait before the next request.
  Duration Ask();
  Duration GiveUpOnNode();

  const LeaseClientSettings settings_;
  RequestRunner* const runner_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
  size_t current_ = 0;
  size_t failures_in_row_ = 0;
  mutable absl::Mutex mutex_;
  bool ask_now_ ABSL_GUARDED_BY(mutex_) = false;
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  bool left_ ABSL_GUARDED_BY(mutex_) = false;
  bool stop_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace ladderstream::standin
