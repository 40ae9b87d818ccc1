#include "standin/fleet/metadata_store.h"

#include <algorithm>

namespace ladderstream::fleet {

using store::Row;
using store::RowKey;
using store::RowVersion;

TransactionResult MetadataStore::Apply(const store::Transaction& transaction, Time now) {
  TransactionResult result;
  for (const auto& condition : transaction.conditions) {
    const Row* row = Find(condition.key);
    const RowVersion current = row == nullptr ? 0 : row->version;
    if (current != condition.version) {
      result.version = version_;
      for (const auto& other : transaction.conditions) {
        if (const Row* present = Find(other.key); present != nullptr) {
          result.rows.push_back(*present);
        }
      }
      return result;
    }
  }
  ++version_;
  for (const auto& put : transaction.puts) {
    Row row{.key = put.key, .value = put.value, .version = version_, .removed = false};
    rows_[put.key] = row;
    changes_.push_back({.row = std::move(row), .when = now});
  }
  for (const RowKey& key : transaction.removals) {
    if (rows_.erase(key) > 0) {
      changes_.push_back(
          {.row = {.key = key, .value = "", .version = version_, .removed = true}, .when = now});
    }
  }
  result.applied = true;
  result.version = version_;
  return result;
}

std::vector<Row> MetadataStore::Read(const RangeQuery& query, bool* more) const {
  std::vector<Row> rows;
  *more = false;
  auto at = rows_.lower_bound({query.table, query.partition, query.from_key});
  for (; at != rows_.end(); ++at) {
    const RowKey& key = at->first;
    const bool ends = key.table != query.table || key.partition != query.partition ||
                      (!query.until_key.empty() && key.key >= query.until_key);
    if (ends) {
      break;
    }
    if (rows.size() == query.limit) {
      *more = true;
      break;
    }
    rows.push_back(at->second);
  }
  return rows;
}

const Row* MetadataStore::Find(const RowKey& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second;
}

bool MetadataStore::ChangesAfter(const std::string& table, RowVersion after,
                                 std::vector<Row>* changes) const {
  if (after < forgotten_) {
    return false;
  }
  const auto first =
      std::partition_point(changes_.begin(), changes_.end(),
                           [after](const Change& change) { return change.row.version <= after; });
  for (auto at = first; at != changes_.end(); ++at) {
    if (at->row.key.table == table) {
      changes->push_back(at->row);
    }
  }
  return true;
}

void MetadataStore::ForgetChanges(Time before) {
  while (!changes_.empty() && changes_.front().when < before) {
    forgotten_ = std::max(forgotten_, changes_.front().row.version);
    changes_.pop_front();
  }
}

}  // namespace ladderstream::fleet
