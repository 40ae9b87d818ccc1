#include "daemon/control/store_worker.h"

#include <utility>

namespace ladderstream::control {
namespace {

/// Transactions that may wait; a further one is answered kRefused at once.
constexpr size_t kMaxWaiting = 16;

}  // namespace

StoreWorker::StoreWorker(TableClientPtr table, OnAnswer on_answer)
    : table_(std::move(table)), on_answer_(std::move(on_answer)), thread_([this] { Loop(); }) {}

StoreWorker::~StoreWorker() { Stop(); }

void StoreWorker::Run(const authority::RunStoreTransaction& transaction) {
  {
    const absl::MutexLock lock(&mutex_);
    if (queue_.size() < kMaxWaiting) {
      queue_.push_back(transaction);
      changed_.Signal();
      return;
    }
  }
  on_answer_({transaction.correlation, authority::StoreStatus::kRefused, {}});
}

void StoreWorker::Stop() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void StoreWorker::Loop() {
  while (const std::optional<authority::RunStoreTransaction> next = TakeNext()) {
    TableResult result = table_->Run(next->transaction);
    on_answer_({next->correlation, result.status, std::move(result.rows)});
  }
}

std::optional<authority::RunStoreTransaction> StoreWorker::TakeNext() {
  const absl::MutexLock lock(&mutex_);
  while (queue_.empty() && !stopping_) {
    changed_.Wait(&mutex_);
  }
  if (stopping_) {
    return std::nullopt;
  }
  authority::RunStoreTransaction next = std::move(queue_.front());
  queue_.pop_front();
  return next;
}

}  // namespace ladderstream::control
