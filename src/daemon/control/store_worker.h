// Runs the authority's transactions with the table service on a thread of its own, in order.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <optional>
#include <thread>

#include "core/authority/authority.h"
#include "interfaces/table_client.h"

namespace ladderstream::control {

/// Thread-safe; Run doesn't block.
class StoreWorker {
 public:
  using OnAnswer = std::function<void(authority::StoreAnswered answer)>;

  /// `on_answer` is called on the worker's thread, once for each transaction.
  StoreWorker(TableClientPtr table, OnAnswer on_answer);
  ~StoreWorker();

  void Run(const authority::RunStoreTransaction& transaction);

  /// Ends after the transaction that runs; waiting ones are dropped.
  void Stop();

 private:
  void Loop();
  std::optional<authority::RunStoreTransaction> TakeNext();

  const TableClientPtr table_;
  const OnAnswer on_answer_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  std::deque<authority::RunStoreTransaction> queue_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace ladderstream::control
