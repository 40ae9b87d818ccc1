#include "daemon/upstream/deadline_watch.h"

namespace ladderstream::upstream {

DeadlineWatch::DeadlineWatch(const TimeSource& time) : time_(time), thread_([this] { Run(); }) {}

DeadlineWatch::~DeadlineWatch() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.Signal();
  }
  thread_.join();
}

DeadlineWatch::Id DeadlineWatch::Add(Time deadline, std::function<void()> on_deadline) {
  const absl::MutexLock lock(&mutex_);
  const Id id{deadline, ++next_id_};
  entries_.emplace(id, std::move(on_deadline));
  if (entries_.begin()->first == id) {
    changed_.Signal();
  }
  return id;
}

bool DeadlineWatch::Remove(const Id& id) {
  const absl::MutexLock lock(&mutex_);
  return entries_.erase(id) > 0;
}

void DeadlineWatch::RunDue() {
  const Time now = time_.Now();
  while (!entries_.empty() && entries_.begin()->first.first <= now) {
    const auto due = entries_.begin();
    due->second();
    entries_.erase(due);
  }
}

void DeadlineWatch::Run() {
  const absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    RunDue();
    const Duration wait =
        entries_.empty() ? absl::InfiniteDuration() : entries_.begin()->first.first - time_.Now();
    changed_.WaitWithTimeout(&mutex_, wait);
  }
}

}  // namespace ladderstream::upstream
