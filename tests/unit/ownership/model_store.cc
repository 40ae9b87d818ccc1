#include "model_store.h"

#include <algorithm>

namespace ladderstream::ownership {

store::RowVersion ModelStore::VersionOf(const store::RowKey& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? 0 : row->second.version;
}

store::StoreReply ModelStore::Apply(const store::Transaction& transaction) {
  store::StoreReply reply;
  reply.detail = store::RejectionReason(transaction, bounds_);
  if (!reply.detail.empty()) {
    reply.status = store::StoreStatus::kInvalid;
    return reply;
  }
  const bool holds = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                                 [this](const store::Transaction::Condition& condition) {
                                   return VersionOf(condition.key) == condition.version;
                                 });
  if (!holds) {
    reply.status = store::StoreStatus::kConflict;
    for (const store::Transaction::Condition& condition : transaction.conditions) {
      const auto row = rows_.find(condition.key);
      if (row != rows_.end()) {
        reply.rows.push_back(row->second);
      }
    }
    reply.version = version_;
    return reply;
  }
  ++version_;
  for (const store::Transaction::Put& put : transaction.puts) {
    rows_[put.key] = {put.key, put.value, version_, false};
  }
  reply.status = store::StoreStatus::kDone;
  version_ += version_error_;
  reply.version = version_;
  return reply;
}

store::StoreReply ModelStore::Read(const store::ReadQuery& query) const {
  store::StoreReply reply;
  reply.status = store::StoreStatus::kDone;
  reply.version = version_;
  for (const auto& [key, row] : rows_) {
    if (key.table != query.table || key.partition != query.partition || key.key < query.from_key) {
      continue;
    }
    if (reply.rows.size() == query.most_rows) {
      reply.more = true;
      break;
    }
    reply.rows.push_back(row);
  }
  return reply;
}

}  // namespace ladderstream::ownership
