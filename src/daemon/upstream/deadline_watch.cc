#include "daemon/upstream/deadline_watch.h"

#include <algorithm>

namespace ladderstream::upstream {
namespace {

/// The thread looks at least this often, so that few new deadlines are so near that they must wake
/// it: waking a thread costs more than looking.
constexpr Duration kLookInterval = absl::Milliseconds(20);

}  // namespace

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
  if (deadline < next_look_) {
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
    const Time now = time_.Now();
    next_look_ = now + kLookInterval;
    if (!entries_.empty()) {
      next_look_ = std::min(next_look_, entries_.begin()->first.first);
    }
    changed_.WaitWithTimeout(&mutex_, next_look_ - now);
  }
}

}  // namespace ladderstream::upstream
