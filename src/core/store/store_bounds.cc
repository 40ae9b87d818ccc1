#include "core/store/store_bounds.h"

#include <absl/strings/str_cat.h>

namespace ladderstream::store {
namespace {

/// Bytes that base64 makes of so many.
size_t EncodedBytes(size_t bytes) { return (bytes + 2) / 3 * 4; }

}  // namespace

std::string RejectionReason(const Transaction& transaction, const StoreBounds& bounds) {
  const size_t entries =
      transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
  if (entries > bounds.transaction_entries) {
    return absl::StrCat(entries, " entries, ", bounds.transaction_entries, " are taken");
  }
  size_t bytes = 0;
  for (const Transaction::Put& put : transaction.puts) {
    if (put.key.key.size() > bounds.key_bytes || put.key.table.size() > bounds.key_bytes ||
        put.key.partition.size() > bounds.key_bytes) {
      return absl::StrCat("a key, table or partition of more than ", bounds.key_bytes, " bytes");
    }
    if (put.value.size() > bounds.row_bytes) {
      return absl::StrCat("the value of ", put.key.key, " has ", put.value.size(), " bytes, ",
                          bounds.row_bytes, " are taken");
    }
    bytes += EncodedBytes(put.value.size());
  }
  if (bytes > bounds.transaction_bytes) {
    return absl::StrCat(bytes, " bytes, ", bounds.transaction_bytes, " are taken");
  }
  return "";
}

}  // namespace ladderstream::store
