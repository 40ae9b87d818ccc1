#include "daemon/store/table_json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "wire/result_code.h"

namespace ladderstream::store {
namespace {

using Json = nlohmann::json;
using authority::StoreRow;
using authority::StoreStatus;
using authority::StoreTransaction;

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw Error(ResultCode::kMalformedMessage, what);
}

StoreRow ParseRow(const Json& json) {
  StoreRow row;
  row.key = json.at("key").get<std::string>();
  if (!absl::SimpleAtoi(json.at("version").get_ref<const std::string&>(), &row.version)) {
    ThrowMalformed(absl::StrCat("version of row ", row.key));
  }
  if (!absl::Base64Unescape(json.at("value").get_ref<const std::string&>(), &row.value)) {
    ThrowMalformed(absl::StrCat("value of row ", row.key));
  }
  return row;
}

const StoreRow& FindRow(const std::vector<StoreRow>& rows, const std::string& key) {
  const auto row = std::find_if(rows.begin(), rows.end(),
                                [&key](const StoreRow& candidate) { return candidate.key == key; });
  if (row == rows.end()) {
    ThrowMalformed(absl::StrCat("no row ", key));
  }
  return *row;
}

}  // namespace

std::string FormatTransaction(const StoreTransaction& transaction) {
  Json conditions = Json::array();
  for (const StoreTransaction::Condition& condition : transaction.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", absl::StrCat(condition.version)}});
  }
  Json writes = Json::array();
  for (const StoreTransaction::Write& write : transaction.writes) {
    writes.push_back({{"key", write.key}, {"value", absl::Base64Escape(write.value)}});
  }
  const Json json = {{"reads", transaction.reads}, {"conditions", conditions}, {"writes", writes}};
  return json.dump();
}

TableResult ParseTransactionAnswer(const StoreTransaction& transaction, const std::string& body) {
  const Json json = Json::parse(body);
  TableResult result;
  result.status =
      json.at("committed").get<bool>() ? StoreStatus::kCommitted : StoreStatus::kConflict;
  std::vector<StoreRow> rows;
  for (const Json& row : json.at("rows")) {
    rows.push_back(ParseRow(row));
  }
  for (const std::string& key : transaction.reads) {
    result.rows.push_back(FindRow(rows, key));
  }
  return result;
}

}  // namespace ladderstream::store
