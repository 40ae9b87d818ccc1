// Size limits of the transactions that a metadata store accepts.
#pragma once

#include <cstddef>
#include <string>

#include "core/store/store_types.h"

namespace ladderstream::store {

/// The defaults are the limits documented by the platform.
struct StoreBounds {
  size_t key_bytes = 200;
  /// Limit of a row's value before encoding.
  size_t row_bytes = 65536;
  /// Limit of conditions, puts and removals together.
  size_t transaction_entries = 100;
  /// Limit of the base64-encoded size of all values together.
  size_t transaction_bytes = 1'000'000;
};

/// Returns why a store with these bounds rejects the transaction; empty when it accepts it.
std::string RejectionReason(const Transaction& transaction, const StoreBounds& bounds);

}  // namespace ladderstream::store
