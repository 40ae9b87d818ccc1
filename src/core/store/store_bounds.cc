#include "core/store/store_bounds.h"

#include <absl/strings/str_cat.h>

namespace ladderstream::store {
namespace {

/// Returns the length of the base64 encoding of `bytes` bytes.
size_t EncodedBytes(size_t bytes) { return (bytes + 2) / 3 * 4; }

}  // namespace

std::string RejectionReason(const Transaction& transaction, const StoreBounds& bounds) {
  const size_t entries =
      transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
  if (entries > bounds.transaction_entries) {
    return absl::StrCat("transaction has ", entries, " entries, the limit is ",
                        bounds.transaction_entries);
  }
  size_t bytes = 0;
  for (const Transaction::Put& put : transaction.puts) {
    if (put.key.key.size() > bounds.key_bytes || put.key.table.size() > bounds.key_bytes ||
        put.key.partition.size() > bounds.key_bytes) {
      return absl::StrCat("key, table or partition exceeds the limit of ", bounds.key_bytes,
                          " bytes");
    }
    if (put.value.size() > bounds.row_bytes) {
      return absl::StrCat("value of row ", put.key.key, " has ", put.value.size(),
                          " bytes, the limit is ", bounds.row_bytes);
    }
    bytes += EncodedBytes(put.value.size());
  }
  if (bytes > bounds.transaction_bytes) {
    return absl::StrCat("transaction has ", bytes, " bytes of encoded values, the limit is ",
                        bounds.transaction_bytes);
  }
  return "";
}

}  // namespace ladderstream::store
