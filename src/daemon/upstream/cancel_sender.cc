#include "daemon/upstream/cancel_sender.h"

#include <utility>

namespace ladderstream::upstream {
namespace {

constexpr size_t kMaxWaiting = 1024;

}  // namespace

CancelSender::CancelSender() : thread_([this] { Run(); }) {}

CancelSender::~CancelSender() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

void CancelSender::Submit(Job job) {
  const absl::MutexLock lock(&mutex_);
  if (jobs_.size() < kMaxWaiting) {
    jobs_.push_back(std::move(job));
  }
}

void CancelSender::Run() {
  const auto has_work = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopping_ || !jobs_.empty();
  };
  while (true) {
    Job job;
    {
      const absl::MutexLock lock(&mutex_, absl::Condition(&has_work));
      if (stopping_) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

}  // namespace ladderstream::upstream
