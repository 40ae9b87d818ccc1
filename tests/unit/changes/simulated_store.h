// A metadata store for tests that can delay transactions past the reply that their caller gets.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "core/changes/change_submission.h"
#include "operator_service/change_runner.h"
#include "platform/adapter.h"
#include "sample_configuration.h"
#include "standin/fleet/metadata_store.h"

namespace ladderstream::changes {

inline constexpr size_t kMaxValueBytes = 65536;

/// The format that the operator service uses on this platform.
inline ConfigurationFormatPtr TestFormat() {
  return operator_service::MakeFormat(platform::MakeAdapter(), kMaxValueBytes);
}

inline store::StoreReply ReplyOf(store::StoreStatus status, std::vector<store::Row> rows = {}) {
  store::StoreReply reply;
  reply.status = status;
  reply.rows = std::move(rows);
  return reply;
}

class SimulatedStore {
 public:
  SimulatedStore() { Put(TestFormat()->row(), TestFormat()->Encode(SampleConfiguration(), "")); }

  void Put(const store::RowKey& key, const std::string& value) {
    rows_.Apply({.conditions = {}, .puts = {{key, value}}, .removals = {}}, absl::UnixEpoch());
  }

  store::StoreReply Read(const store::RowKey& key) const {
    const store::Row* const row = rows_.Find(key);
    return ReplyOf(store::StoreStatus::kDone,
                   row == nullptr ? std::vector<store::Row>() : std::vector<store::Row>{*row});
  }

  /// Executes `transaction` immediately and returns its actual result.
  store::StoreReply Execute(const store::Transaction& transaction) {
    const fleet::TransactionResult result = rows_.Apply(transaction, absl::UnixEpoch());
    return ReplyOf(result.applied ? store::StoreStatus::kDone : store::StoreStatus::kConflict,
                   result.rows);
  }

  /// Queues `transaction` until RunDelayed() executes it.
  void Delay(const store::Transaction& transaction) { delayed_.push_back(transaction); }

  void RunDelayed() {
    for (const auto& transaction : delayed_) {
      Execute(transaction);
    }
    delayed_.clear();
  }

  catalog::Configuration Newest() const {
    const store::Row* const row = rows_.Find(TestFormat()->row());
    return row == nullptr ? catalog::Configuration() : TestFormat()->Decode(row->value);
  }

  std::optional<ChangeRecord> Record(const std::string& operation_id) const {
    const store::Row* const row = rows_.Find({kOperationTable, "", operation_id});
    return row == nullptr ? std::nullopt : std::optional(DecodeChangeRecord(row->value));
  }

 private:
  fleet::MetadataStore rows_;
  std::vector<store::Transaction> delayed_;
};

}  // namespace ladderstream::changes
