// The table service over HTTP (docs/design/001).
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <vector>

#include "daemon/store/rate_limiter.h"
#include "interfaces/table_client.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace httplib {
class Client;
}  // namespace httplib

namespace ladderstream::store {

struct TableClientSettings {
  Endpoint endpoint;
  /// Connecting, sending and receiving each take at most this long.
  Duration timeout = absl::Milliseconds(500);
  /// The node's own bound, below the platform's limit; more are kRefused without being sent.
  double max_requests_per_second = 20;
};

class HttpTableClient : public TableClient {
 public:
  explicit HttpTableClient(const TableClientSettings& settings);
  ~HttpTableClient() override;

  TableResult Run(const authority::StoreTransaction& transaction) override;

 private:
  using ClientPtr = std::unique_ptr<httplib::Client>;

  ClientPtr TakeClient();
  void GiveBack(ClientPtr client);
  TableResult Send(const authority::StoreTransaction& transaction, const std::string& body);

  const TableClientSettings settings_;
  RateLimiter limiter_;
  absl::Mutex mutex_;
  /// Kept-alive connections that nobody uses now.
  std::vector<ClientPtr> idle_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::store
