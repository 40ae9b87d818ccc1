#include "operator_service/store_reader.h"

#include <absl/strings/str_cat.h>

#include "core/changes/change_submission.h"
#include "core/ownership/coordinator.h"
#include "logging/log.h"
#include "wire/result_code.h"

namespace ladderstream::operator_service {
namespace {

void RequireDone(const store::StoreReply& reply) {
  if (reply.status != store::StoreStatus::kDone) {
    throw Error(ResultCode::kStoreUnavailable,
                absl::StrCat("the store gave no answer: ", reply.detail));
  }
}

}  // namespace

catalog::Configuration StoreReader::ReadConfiguration() const {
  const interfaces::PlatformAdapter& adapter = store_.adapter();
  const auto value = ReadValue({.table = std::string(adapter.configuration_table()),
                                .partition = "",
                                .key = std::string(adapter.configuration_key())});
  return value.has_value() ? adapter.DecodeConfiguration(*value) : catalog::Configuration();
}

std::vector<catalog::Backend> StoreReader::ReadBackends() const {
  const interfaces::PlatformAdapter& adapter = store_.adapter();
  std::vector<catalog::Backend> backends;
  for (const store::Row& row : ReadTable(std::string(adapter.backend_table()), "")) {
    interfaces::ReadingNotes notes;
    backends.push_back(adapter.DecodeBackend(row.key.key, row.value, &notes));
    for (const std::string& note : notes) {
      Log(Part::kOperator, Severity::kWarning, "A registration is understood in part.",
          {{"backend", row.key.key}, {"reason", note}});
    }
  }
  return backends;
}

Ownership StoreReader::ReadOwnership() const {
  Ownership ownership;
  const ownership::CoordinatorSettings place;
  const std::vector<store::Row> rows = ReadTable(place.table, place.partition);
  for (const store::Row& row : rows) {
    if (row.key.key == ownership::kLeaseRowKey) {
      ownership.lease = ownership::DecodeLeaseRow(row.value);
    }
  }
  for (auto& [service, stored] : ownership::ReadServices(rows)) {
    if (!stored.faults.empty()) {
      throw Error(ResultCode::kMalformedMessage, stored.faults.front());
    }
    ownership.services[service] = std::move(stored.row.assignments);
  }
  return ownership;
}

std::optional<changes::ChangeRecord> StoreReader::ReadRecord(
    const std::string& operation_id) const {
  const auto value =
      ReadValue({.table = changes::kOperationTable, .partition = "", .key = operation_id});
  if (!value.has_value()) {
    return std::nullopt;
  }
  return changes::DecodeChangeRecord(*value);
}

std::optional<std::string> StoreReader::ReadValue(const store::RowKey& key) const {
  const store::StoreReply reply = store_.Read(
      {.table = key.table, .partition = key.partition, .from_key = key.key, .most_rows = 1});
  RequireDone(reply);
  const store::Row* const row = changes::FindRow(reply, key);
  return row == nullptr ? std::nullopt : std::optional<std::string>(row->value);
}

std::vector<store::Row> StoreReader::ReadTable(const std::string& table,
                                               const std::string& partition) const {
  store::StoreReply reply = store_.ReadAll(table, partition);
  RequireDone(reply);
  return std::move(reply.rows);
}

}  // namespace ladderstream::operator_service
