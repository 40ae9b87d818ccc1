// Runs other nodes' attempts on the data path, on worker threads: an attempt blocks while it waits
// for a slot and for the back end.
//
// Nothing waits for a thread. When too many attempts run, a further one is refused at once with
// kOverloaded, the less important ones first.
#pragma once

#include <atomic>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "interfaces/data_path.h"
#include "wire/peer_message.h"

namespace ladderstream::peer {

/// Thread-safe; Dispatch and Cancel don't block.
class ForwardDispatcher {
 public:
  using Respond = std::function<void(const ForwardResponse&)>;

  ForwardDispatcher(DataPathPtr data_path, uint32_t threads);
  ~ForwardDispatcher();

  /// Calls `respond` once, from a worker thread or before it returns.
  void Dispatch(ForwardRequest request, Respond respond);
  void Cancel(ForwardCancel cancel);

  /// From now on refuses with kShuttingDown; waits for the attempts that run.
  void Stop();

  uint32_t running() const { return running_.load(); }

 private:
  /// How many attempts may run when one of that priority comes.
  uint32_t LimitFor(Priority priority) const;
  void Run(const ForwardRequest& request, const Respond& respond);

  const DataPathPtr data_path_;
  const uint32_t threads_;
  std::atomic<uint32_t> running_{0};
  std::atomic<bool> stopping_{false};
  boost::asio::thread_pool attempts_;
  /// Apart from the attempts, so that a cancellation never waits for one.
  boost::asio::thread_pool cancellations_;
};

}  // namespace ladderstream::peer
