// The model's metadata store: linearizable, with conditional transactions and the limits that the
// platform states. Delays, losses and refusals are modelled by the network (see model_world.h).
#pragma once

#include <map>
#include <string>

#include "core/store/store_bounds.h"
#include "core/store/store_types.h"

namespace ladderstream::ownership {

class ModelStore {
 public:
  store::StoreReply Apply(const store::Transaction& transaction);
  store::StoreReply Read(const store::ReadQuery& query) const;
  /// A write by another client to other rows.
  void WriteElsewhere() { ++version_; }
  /// Transaction replies report a version that is `error` too high.
  void SetVersionError(store::RowVersion error) { version_error_ = error; }
  void SetBounds(const store::StoreBounds& bounds) { bounds_ = bounds; }
  /// A removal of a row by another client.
  void Remove(const store::RowKey& key) { rows_.erase(key); }
  const std::map<store::RowKey, store::Row>& rows() const { return rows_; }

 private:
  store::RowVersion VersionOf(const store::RowKey& key) const;

  store::StoreBounds bounds_;
  store::RowVersion version_ = 0;
  store::RowVersion version_error_ = 0;
  std::map<store::RowKey, store::Row> rows_;
};

}  // namespace ladderstream::ownership
