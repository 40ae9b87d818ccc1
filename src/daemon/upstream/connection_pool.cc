#include "daemon/upstream/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ladderstream::upstream {

ConnectionPool::ConnectionPool(const Endpoint& endpoint, const ConnectionSettings& settings,
                               const TimeSource& time, DeadlineWatch& watch)
    : endpoint_(endpoint), settings_(settings), time_(time), watch_(watch) {}

BackendConnectionPtr ConnectionPool::Take(uint32_t limit) {
  const absl::MutexLock lock(&mutex_);
  while (!idle_.empty()) {
    BackendConnectionPtr connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
    --open_;
  }
  if (open_ >= limit) {
    return nullptr;
  }
  ++open_;
  return std::make_unique<BackendConnection>(endpoint_, settings_, time_, watch_);
}

void ConnectionPool::Return(BackendConnectionPtr connection) {
  // What the socket holds by then is looked at when it is taken again.
  const bool reusable = connection->IsIntact();
  const absl::MutexLock lock(&mutex_);
  if (reusable) {
    idle_.push_back(std::move(connection));
  } else {
    --open_;
  }
}

void ConnectionPool::CloseIdle(Duration age) {
  std::vector<BackendConnectionPtr> closed;
  const Time now = time_.Now();
  const absl::MutexLock lock(&mutex_);
  const auto fresh = std::find_if(
      idle_.begin(), idle_.end(),
      [&](const BackendConnectionPtr& connection) { return now - connection->last_used() < age; });
  std::move(idle_.begin(), fresh, std::back_inserter(closed));
  idle_.erase(idle_.begin(), fresh);
  open_ -= static_cast<uint32_t>(closed.size());
}

}  // namespace ladderstream::upstream
