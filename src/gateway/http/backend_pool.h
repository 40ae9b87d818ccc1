// Keeps the connections to back ends: reuses idle ones, bounds their number, closes old ones.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/catalog/catalog.h"
#include "gateway/http/backend_connection.h"
#include "gateway/http/data_path_observer.h"
#include "gateway/http/data_path_settings.h"

namespace ladderstream::gateway {

class BackendPool : private BackendConnectionOwner {
 public:
  /// All references must outlive the pool. `observer` may be null.
  BackendPool(LoopResources& resources, const interfaces::PlatformAdapter& adapter,
              const BackendPoolSettings& settings, DataPathObserver* observer);
  ~BackendPool() override;

  void SetNodeCount(uint32_t node_count) { node_count_ = node_count; }
  /// What a back end takes from all nodes together, in connections; 0 when unknown.
  void SetConnectionLimit(const std::string& backend, uint32_t limit);
  /// The back end is gone: idle connections to it are closed, and none is kept.
  void Unlist(const std::string& backend);

  /// Starts an exchange on an idle connection, unless it needs a new one, or on a new one; null
  /// when there is no room for a connection. The exchange may be over when this returns.
  BackendConnectionPtr Start(const std::string& backend, const Endpoint& address,
                             Exchange exchange);
  /// Whether Start would use an idle connection for the request.
  bool HasIdle(const std::string& backend, const Endpoint& address, const std::string& request_id);
  /// Closes the idle connections to a back end that left a request sent at `sent` unanswered,
  /// except those that have carried an answer since.
  void CloseIdleSince(const std::string& backend, Time sent);
  /// Closes idle connections that are too old.
  void Sweep(Time now);

  size_t connection_count() const { return connections_.size(); }

 private:
  struct Entry {
    Endpoint address;
    uint32_t open = 0;
    /// The last one used last.
    std::vector<BackendConnectionPtr> idle;
  };

  void OnConnected(const BackendConnection& connection) override;
  void OnReusable(const BackendConnectionPtr& connection) override;
  void OnClosed(BackendConnection& connection, std::string_view cause) override;

  /// Closes the connections to an earlier address of the back end.
  Entry& EntryFor(const std::string& backend, const Endpoint& address);
  /// Returns the idle connection to use next for the request; null when there is none. Closes
  /// unusable ones.
  BackendConnectionPtr FindIdle(Entry& entry, const std::string& request_id);
  uint32_t MaxOpen(const std::string& backend) const;
  static void CloseAll(const std::vector<BackendConnectionPtr>& connections,
                       std::string_view cause);

  LoopResources& resources_;
  const interfaces::PlatformAdapter& adapter_;
  const BackendPoolSettings settings_;
  DataPathObserver* observer_;
  uint32_t node_count_ = 1;
  std::unordered_map<std::string, uint32_t> limits_;
  /// By back end; left out by Sweep when nothing is open.
  std::unordered_map<std::string, Entry> entries_;
  std::unordered_map<const BackendConnection*, BackendConnectionPtr> connections_;
};

}  // namespace ladderstream::gateway
