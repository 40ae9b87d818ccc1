// A table service for tests: transactions that are refused, whose answers are lost, or that take
// effect late.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "wire/codec.h"
#include "wire/configuration.h"
#include "wire/store_rows.h"

namespace ladderstream::configuration {

struct SimulatedAnswer {
  authority::StoreStatus status = authority::StoreStatus::kCommitted;
  std::vector<authority::StoreRow> rows;
};

class SimulatedTable {
 public:
  /// Runs `transaction` now and gives its true answer.
  SimulatedAnswer Run(const authority::StoreTransaction& transaction) {
    SimulatedAnswer answer;
    for (const auto& condition : transaction.conditions) {
      if (Row(condition.key).version != condition.version) {
        answer.status = authority::StoreStatus::kConflict;
      }
    }
    if (answer.status == authority::StoreStatus::kCommitted) {
      for (const auto& write : transaction.writes) {
        authority::StoreRow& row = Row(write.key);
        ++row.version;
        row.value = write.value;
      }
    }
    for (const std::string& key : transaction.reads) {
      answer.rows.push_back(Row(key));
    }
    return answer;
  }

  /// Keeps `transaction` on its way; RunLate lets it arrive.
  void Delay(const authority::StoreTransaction& transaction) { late_.push_back(transaction); }

  void RunLate() {
    for (const auto& transaction : late_) {
      Run(transaction);
    }
    late_.clear();
  }

  authority::StoreRow& Row(const std::string& key) {
    authority::StoreRow& row = rows_[key];
    row.key = key;
    return row;
  }

  Configuration Newest() {
    const authority::StoreRow& row = Row(kConfigurationRow);
    return row.version == 0 ? Configuration() : Decode<Configuration>(row.value);
  }

  bool Holds(const OperationId& operation) {
    return Row(kOperationRowPrefix + operation.value()).version != 0;
  }

  ChangeRecord Record(const OperationId& operation) {
    return Decode<ChangeRecord>(Row(kOperationRowPrefix + operation.value()).value);
  }

 private:
  std::map<std::string, authority::StoreRow> rows_;
  std::vector<authority::StoreTransaction> late_;
};

}  // namespace ladderstream::configuration
