// The platform's transactional table service, as a node uses it.
#pragma once

#include <memory>
#include <vector>

#include "core/authority/authority.h"
#include "wire/store_rows.h"

namespace ladderstream {

struct TableResult {
  authority::StoreStatus status = authority::StoreStatus::kUnknown;
  /// The rows asked for in `reads`, in order, as they stood after the transaction.
  std::vector<authority::StoreRow> rows;
};

/// Thread-safe; blocks up to its own time-out. Never throws: failures are statuses.
class TableClient {
 public:
  virtual ~TableClient() = default;

  virtual TableResult Run(const authority::StoreTransaction& transaction) = 0;
};

using TableClientPtr = std::shared_ptr<TableClient>;

}  // namespace ladderstream
