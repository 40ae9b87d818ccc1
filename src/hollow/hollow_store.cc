#include "hollow/hollow_store.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace ladderstream::hollow {
namespace {

/// HTTP and TCP/IP headers of a request or an answer, roughly; in bytes.
constexpr uint64_t kHttpBytes = 250;

uint64_t Base64Bytes(size_t bytes) { return (bytes + 2) / 3 * 4; }

}  // namespace

authority::StoreAnswered HollowStore::Run(const authority::RunStoreTransaction& run,
                                          const std::string& prefix, Time now) {
  authority::StoreAnswered answer;
  answer.correlation = run.correlation;
  if (!TakeToken(now)) {
    ++refused_;
    answer.status = authority::StoreStatus::kRefused;
    return answer;
  }
  ++transactions_;
  const authority::StoreTransaction& transaction = run.transaction;
  const bool holds = std::all_of(
      transaction.conditions.begin(), transaction.conditions.end(), [&](const auto& condition) {
        return rows_[absl::StrCat(prefix, condition.key)].version == condition.version;
      });
  answer.status = holds ? authority::StoreStatus::kCommitted : authority::StoreStatus::kConflict;
  if (holds) {
    for (const auto& write : transaction.writes) {
      Put(absl::StrCat(prefix, write.key), write.value);
    }
  }
  for (const std::string& key : transaction.reads) {
    authority::StoreRow row = rows_[absl::StrCat(prefix, key)];
    row.key = key;
    answer.rows.push_back(std::move(row));
  }
  return answer;
}

void HollowStore::Put(const std::string& key, const std::string& value) {
  authority::StoreRow& row = rows_[key];
  ++row.version;
  row.value = value;
}

bool HollowStore::TakeToken(Time now) {
  if (refilled_ == absl::InfinitePast()) {
    refilled_ = now;
    tokens_ = rate_limit_;
  }
  tokens_ = std::min(rate_limit_, tokens_ + rate_limit_ * absl::ToDoubleSeconds(now - refilled_));
  refilled_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

uint64_t BytesOf(const authority::StoreTransaction& transaction) {
  uint64_t bytes = kHttpBytes;
  for (const std::string& key : transaction.reads) {
    bytes += key.size() + 3;
  }
  for (const auto& condition : transaction.conditions) {
    bytes += condition.key.size() + 30;
  }
  for (const auto& write : transaction.writes) {
    bytes += write.key.size() + 20 + Base64Bytes(write.value.size());
  }
  return bytes;
}

uint64_t BytesOf(const authority::StoreAnswered& answer) {
  uint64_t bytes = kHttpBytes;
  for (const authority::StoreRow& row : answer.rows) {
    bytes += row.key.size() + 40 + Base64Bytes(row.value.size());
  }
  return bytes;
}

}  // namespace ladderstream::hollow
