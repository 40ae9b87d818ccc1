// What operators ask of the store, as typed values.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/changes/change_record.h"
#include "core/ownership/ownership_map.h"
#include "core/ownership/ownership_rows.h"
#include "operator_service/blocking_store.h"

namespace ladderstream::operator_service {

/// The committed ownership of all sharded services.
struct Ownership {
  /// Empty when no node has ever coordinated.
  std::optional<ownership::LeaseRow> lease;
  std::map<std::string, ownership::Assignments> services;
};

/// Thread-safe. Every call throws Error(kStoreUnavailable) when the store gives no answer, and the
/// codecs' errors when a row cannot be read.
class StoreReader {
 public:
  explicit StoreReader(BlockingStore* store) : store_(*store) {}

  /// One without a version when there is none.
  catalog::Configuration ReadConfiguration() const;
  std::vector<catalog::Backend> ReadBackends() const;
  Ownership ReadOwnership() const;
  /// What became of a change; empty when the store holds none under this id.
  std::optional<changes::ChangeRecord> ReadRecord(const std::string& operation_id) const;

 private:
  std::optional<std::string> ReadValue(const store::RowKey& key) const;
  std::vector<store::Row> ReadTable(const std::string& table, const std::string& partition) const;

  BlockingStore& store_;
};

}  // namespace ladderstream::operator_service
