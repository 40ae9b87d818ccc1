#include "standin/fleet/store_codec.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <set>

#include "core/store/store_bounds.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

using nlohmann::json;
using store::RowKey;

constexpr store::StoreBounds kBounds;

[[noreturn]] void Refuse(const std::string& what) {
  throw Error(ResultCode::kMalformedMessage, what);
}

RowKey DecodeKey(const json& entry) {
  RowKey key{.table = entry.at("table").get<std::string>(),
             .partition = entry.value("part", ""),
             .key = entry.at("key").get<std::string>()};
  for (const std::string* text : {&key.table, &key.partition, &key.key}) {
    if (text->size() > kBounds.key_bytes) {
      Refuse("a name is too long");
    }
  }
  return key;
}

void RefuseUnknownFields(const json& body, const std::set<std::string>& known) {
  for (const auto& [name, value] : body.items()) {
    if (!known.contains(name)) {
      Refuse(absl::StrCat("unknown field ", name));
    }
  }
}

std::string DecodePercent(const std::string& text) {
  std::string out;
  for (size_t at = 0; at < text.size(); ++at) {
    const bool escaped = text[at] == '%' && at + 2 < text.size() &&
                         absl::ascii_isxdigit(static_cast<unsigned char>(text[at + 1])) &&
                         absl::ascii_isxdigit(static_cast<unsigned char>(text[at + 2]));
    if (escaped) {
      out += absl::HexStringToBytes(text.substr(at + 1, 2));
      at += 2;
    } else {
      out += text[at] == '+' ? ' ' : text[at];
    }
  }
  return out;
}

store::Transaction DecodeEntries(const json& body) {
  RefuseUnknownFields(body, {"expected_rev", "put", "remove", "across"});
  store::Transaction transaction;
  std::set<std::string> partitions;
  const auto note = [&partitions](RowKey key) {
    partitions.insert(key.partition);
    return key;
  };
  for (const json& entry : body.value("expected_rev", json::array())) {
    RefuseUnknownFields(entry, {"table", "part", "key", "ver"});
    transaction.conditions.push_back(
        {.key = note(DecodeKey(entry)), .version = entry.at("ver").get<uint64_t>()});
  }
  for (const json& entry : body.value("put", json::array())) {
    RefuseUnknownFields(entry, {"table", "part", "key", "value"});
    std::string value;
    if (!absl::Base64Unescape(entry.at("value").get<std::string>(), &value) ||
        value.size() > kBounds.row_bytes) {
      Refuse("a value is not base64 or too long");
    }
    transaction.puts.push_back({.key = note(DecodeKey(entry)), .value = std::move(value)});
  }
  for (const json& entry : body.value("remove", json::array())) {
    RefuseUnknownFields(entry, {"table", "part", "key"});
    transaction.removals.push_back(note(DecodeKey(entry)));
  }
  if (partitions.size() > 1 && !body.value("across", false)) {
    Refuse("entries of several partitions");
  }
  return transaction;
}

}  // namespace

json EncodeRow(const store::Row& row) {
  json entry = {{"table", row.key.table},
                {"part", row.key.partition},
                {"key", row.key.key},
                {"ver", row.version}};
  if (row.removed) {
    entry["gone"] = true;
  } else {
    entry["value"] = absl::Base64Escape(row.value);
  }
  return entry;
}

store::Transaction DecodeTransaction(const std::string& body) {
  if (body.size() > kBounds.transaction_bytes) {
    Refuse("the body is too long");
  }
  try {
    store::Transaction transaction = DecodeEntries(json::parse(body));
    const size_t entries =
        transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
    if (entries > kBounds.transaction_entries) {
      Refuse("too many entries");
    }
    return transaction;
  } catch (const json::exception& error) {
    Refuse(error.what());
  }
}

std::string Target::Get(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

uint64_t Target::GetNumber(const std::string& name, uint64_t otherwise) const {
  const auto found = query.find(name);
  uint64_t number = otherwise;
  if (found != query.end() && !absl::SimpleAtoi(found->second, &number)) {
    Refuse(absl::StrCat(name, " is no number"));
  }
  return number;
}

Target ParseTarget(const std::string& target) {
  const std::pair<std::string, std::string> parts = absl::StrSplit(target, absl::MaxSplits('?', 1));
  Target parsed;
  parsed.path = parts.first;
  for (const absl::string_view field : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> pair = absl::StrSplit(field, absl::MaxSplits('=', 1));
    parsed.query[DecodePercent(pair.first)] = DecodePercent(pair.second);
  }
  return parsed;
}

}  // namespace ladderstream::fleet
