#include "standin/platform/table_store.h"

#include <absl/strings/str_cat.h>

#include <stdexcept>
#include <vector>

namespace ladderstream::standin {
namespace {

const nlohmann::json kNone = nlohmann::json::array();

const nlohmann::json& ListOf(const nlohmann::json& transaction, const char* name) {
  const auto list = transaction.find(name);
  if (list == transaction.end()) {
    return kNone;
  }
  if (!list->is_array()) {
    throw std::invalid_argument(absl::StrCat(name, " is not a list"));
  }
  return *list;
}

}  // namespace

bool TableStore::ConditionsHold(const nlohmann::json& transaction) const {
  for (const nlohmann::json& condition : ListOf(transaction, "conditions")) {
    const auto row = rows_.find(condition.at("key").get<std::string>());
    const uint64_t version = row == rows_.end() ? 0 : row->second.version;
    if (condition.at("version").get<std::string>() != std::to_string(version)) {
      return false;
    }
  }
  return true;
}

nlohmann::json TableStore::Run(const nlohmann::json& transaction) {
  absl::MutexLock lock(&mutex_);
  const bool committed = ConditionsHold(transaction);
  // Read before anything is written, so that a malformed transaction changes nothing.
  const auto reads = ListOf(transaction, "reads").get<std::vector<std::string>>();
  std::map<std::string, std::string> writes;
  for (const nlohmann::json& write : ListOf(transaction, "writes")) {
    writes[write.at("key").get<std::string>()] = write.at("value").get<std::string>();
  }
  if (committed) {
    for (auto& [key, value] : writes) {
      Row& row = rows_[key];
      ++row.version;
      row.value = std::move(value);
    }
  }
  nlohmann::json rows = nlohmann::json::array();
  for (const std::string& key : reads) {
    const auto found = rows_.find(key);
    const Row row = found == rows_.end() ? Row{} : found->second;
    rows.push_back({{"key", key}, {"version", std::to_string(row.version)}, {"value", row.value}});
  }
  return {{"committed", committed}, {"rows", rows}};
}

}  // namespace ladderstream::standin
