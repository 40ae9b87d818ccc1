#include "gateway/http/backend_pool.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace ladderstream::gateway {

BackendPool::BackendPool(LoopResources& resources, const interfaces::PlatformAdapter& adapter,
                         const BackendPoolSettings& settings, DataPathObserver* observer)
    : resources_(resources), adapter_(adapter), settings_(settings), observer_(observer) {}

BackendPool::~BackendPool() {
  observer_ = nullptr;
  std::vector<BackendConnectionPtr> all;
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  CloseAll(all, "stopped");
}

void BackendPool::CloseAll(const std::vector<BackendConnectionPtr>& connections,
                           std::string_view cause) {
  for (const BackendConnectionPtr& connection : connections) {
    connection->Close(cause);
  }
}

void BackendPool::SetConnectionLimit(const std::string& backend, uint32_t limit) {
  limits_[backend] = limit;
}

void BackendPool::Unlist(const std::string& backend) {
  limits_.erase(backend);
  const auto entry = entries_.find(backend);
  if (entry != entries_.end()) {
    // Closing takes them out of the entry.
    CloseAll(std::vector<BackendConnectionPtr>(entry->second.idle), "the back end is gone");
  }
}

uint32_t BackendPool::MaxOpen(const std::string& backend) const {
  const auto limit = limits_.find(backend);
  if (limit == limits_.end() || limit->second == 0) {
    return std::numeric_limits<uint32_t>::max();
  }
  const double share = limit->second * settings_.connection_share / std::max(node_count_, 1U);
  return std::max(settings_.min_connections, static_cast<uint32_t>(share));
}

BackendPool::Entry& BackendPool::EntryFor(const std::string& backend, const Endpoint& address) {
  Entry& entry = entries_[backend];
  if (entry.address != address) {
    CloseAll(std::vector<BackendConnectionPtr>(entry.idle), "the back end moved");
    entry.address = address;
  }
  return entry;
}

bool BackendPool::HasIdle(const std::string& backend, const Endpoint& address,
                          const std::string& request_id) {
  return FindIdle(EntryFor(backend, address), request_id) != nullptr;
}

BackendConnectionPtr BackendPool::Start(const std::string& backend, const Endpoint& address,
                                        Exchange exchange) {
  const Tcp::endpoint endpoint = ToTcpEndpoint(address);
  Entry& entry = EntryFor(backend, address);
  BackendConnectionPtr idle =
      exchange.needs_new_connection ? nullptr : FindIdle(entry, exchange.request->request_id);
  if (idle != nullptr) {
    std::erase(entry.idle, idle);
    idle->Send(std::move(exchange));
    return idle;
  }
  if (entry.open >= MaxOpen(backend) && !entry.idle.empty()) {
    idle = entry.idle.front();
    idle->Close("makes room for a new connection");
  }
  if (entry.open >= MaxOpen(backend)) {
    return nullptr;
  }
  ++entry.open;
  auto connection = std::make_shared<BackendConnection>(
      resources_, adapter_, settings_, static_cast<BackendConnectionOwner&>(*this), backend);
  connections_.emplace(connection.get(), connection);
  connection->Connect(endpoint, std::move(exchange));
  return connection;
}

BackendConnectionPtr BackendPool::FindIdle(Entry& entry, const std::string& request_id) {
  const Time now = resources_.clock.Now();
  size_t left = entry.idle.size();
  while (left > 0) {
    BackendConnectionPtr connection = entry.idle[--left];
    if (now >= connection->usable_until() || !connection->IsSound()) {
      connection->Close("too old, or closed by the back end while idle");
    } else if (connection->MayCarry(request_id)) {
      return connection;
    }
  }
  return nullptr;
}

void BackendPool::OnConnected(const BackendConnection& connection) {
  if (observer_ != nullptr) {
    observer_->OnBackendConnected(connection.backend());
  }
}

void BackendPool::OnReusable(const BackendConnectionPtr& connection) {
  Entry& entry = entries_[connection->backend()];
  const bool listed = limits_.empty() || limits_.contains(connection->backend());
  if (!listed || entry.idle.size() >= settings_.max_idle_connections) {
    connection->Close(listed ? "enough idle connections" : "the back end is gone");
    return;
  }
  entry.idle.push_back(connection);
}

void BackendPool::OnClosed(BackendConnection& connection, std::string_view cause) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) {
    return;
  }
  const BackendConnectionPtr self = found->second;
  connections_.erase(found);
  Entry& entry = entries_[connection.backend()];
  --entry.open;
  std::erase(entry.idle, self);
  if (observer_ != nullptr) {
    observer_->OnConnectionRetired(connection.backend(), cause);
  }
}

void BackendPool::CloseIdleSince(const std::string& backend, Time sent) {
  const auto entry = entries_.find(backend);
  if (entry == entries_.end()) {
    return;
  }
  std::vector<BackendConnectionPtr> old;
  std::copy_if(
      entry->second.idle.begin(), entry->second.idle.end(), std::back_inserter(old),
      [sent](const BackendConnectionPtr& connection) { return connection->answered_at() < sent; });
  CloseAll(old, "idle while a request got no answer");
}

void BackendPool::Sweep(Time now) {
  std::vector<BackendConnectionPtr> old;
  for (auto position = entries_.begin(); position != entries_.end();) {
    const Entry& entry = position->second;
    std::copy_if(entry.idle.begin(), entry.idle.end(), std::back_inserter(old),
                 [now](const BackendConnectionPtr& connection) {
                   return now >= connection->usable_until();
                 });
    position = entry.open == 0 ? entries_.erase(position) : std::next(position);
  }
  CloseAll(old, "idle for long");
}

}  // namespace ladderstream::gateway
