// The platform's metadata store without its wire: versioned rows, conditional transactions, and the
// history of changes.
//
// No I/O and no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::fleet {

struct TransactionResult {
  bool applied = false;
  /// The newest version; when applied, that of the rows put.
  store::RowVersion version = 0;
  /// When not applied: the rows of the conditions that exist.
  std::vector<store::Row> rows;
};

class MetadataStore {
 public:
  TransactionResult Apply(const store::Transaction& transaction, Time now);

  struct RangeQuery {
    std::string table;
    std::string partition;
    /// Inside.
    std::string from_key;
    /// Outside; empty: no end.
    std::string until_key;
    size_t limit = 500;
  };
  /// In rising order of keys. `more` tells whether rows follow.
  std::vector<store::Row> Read(const RangeQuery& query, bool* more) const;

  /// Null when there is none.
  const store::Row* Find(const store::RowKey& key) const;

  /// The changes of a table after a version, in order; false when they are no longer known.
  bool ChangesAfter(const std::string& table, store::RowVersion after,
                    std::vector<store::Row>* changes) const;

  /// Forgets the changes made before `before`.
  void ForgetChanges(Time before);

  store::RowVersion version() const { return version_; }

 private:
  struct Change {
    store::Row row;
    Time when;
  };

  std::map<store::RowKey, store::Row> rows_;
  std::deque<Change> changes_;
  store::RowVersion version_ = 1;
  /// Changes up to this one are forgotten.
  store::RowVersion forgotten_ = 1;
};

}  // namespace ladderstream::fleet
