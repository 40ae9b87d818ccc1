#include "daemon/http/worker_pool.h"

#include <utility>

namespace ladderstream {

WorkerPool::WorkerPool(uint32_t max_threads, uint32_t max_waiting)
    : max_threads_(max_threads), max_waiting_(max_waiting) {}

void WorkerPool::Shutdown() {
  std::vector<std::thread> threads;
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    threads.swap(threads_);
    changed_.SignalAll();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

bool WorkerPool::Submit(Job job) {
  const absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return false;
  }
  if (idle_ > jobs_.size()) {
    jobs_.push_back(std::move(job));
    changed_.Signal();
    return true;
  }
  if (threads_.size() < max_threads_) {
    jobs_.push_back(std::move(job));
    threads_.emplace_back([this] { Run(); });
    return true;
  }
  if (jobs_.size() >= max_waiting_) {
    return false;
  }
  jobs_.push_back(std::move(job));
  return true;
}

bool WorkerPool::HasIdleThread() {
  const absl::MutexLock lock(&mutex_);
  return idle_ > jobs_.size() || threads_.size() < max_threads_;
}

void WorkerPool::Run() {
  while (true) {
    Job job;
    {
      const absl::MutexLock lock(&mutex_);
      ++idle_;
      while (jobs_.empty() && !stopping_) {
        changed_.Wait(&mutex_);
      }
      --idle_;
      if (jobs_.empty()) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

}  // namespace ladderstream
