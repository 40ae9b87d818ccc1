// Calls to the metadata store that block their thread: encoded by the platform's adapter, carried
// by the nodes' HTTP client, whose reader takes no broken answer.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <vector>

#include "core/store/store_types.h"
#include "interfaces/platform_adapter.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::operator_service {

/// Thread-safe. Calls never throw: failures are statuses. Nothing is tried again here.
class BlockingStore {
 public:
  /// Throws Error(kInvalidSetting) when `address` has no IP address. `timeout`: connecting takes at
  /// most this long, and so do sending and receiving together.
  BlockingStore(interfaces::PlatformAdapterPtr adapter, Endpoint address, Duration timeout);
  ~BlockingStore();
  BlockingStore(const BlockingStore&) = delete;
  BlockingStore& operator=(const BlockingStore&) = delete;

  store::StoreReply Execute(const store::Transaction& transaction);
  store::StoreReply Read(const store::ReadQuery& query);
  /// All rows of a table and partition; kDone only if every page came.
  store::StoreReply ReadAll(const std::string& table, const std::string& partition);

  Duration timeout() const { return timeout_; }
  const interfaces::PlatformAdapter& adapter() const { return *adapter_; }

 private:
  class Client;
  using ClientPtr = std::unique_ptr<Client>;

  store::StoreReply Call(interfaces::StoreCall call, const interfaces::HttpRequest& request);
  ClientPtr TakeClient();
  void GiveBack(ClientPtr client);

  const interfaces::PlatformAdapterPtr adapter_;
  const Endpoint address_;
  const Duration timeout_;
  absl::Mutex mutex_;
  /// Nobody uses them now; each keeps its connection alive.
  std::vector<ClientPtr> idle_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::operator_service
