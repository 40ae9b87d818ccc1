// How large a transaction a metadata store takes.
#pragma once

#include <cstddef>
#include <string>

#include "core/store/store_types.h"

namespace ladderstream::store {

/// As the platform states them.
struct StoreBounds {
  size_t key_bytes = 200;
  /// Of a value before it is encoded.
  size_t row_bytes = 65536;
  /// Conditions, puts and removals together.
  size_t transaction_entries = 100;
  /// Of all values, encoded.
  size_t transaction_bytes = 1'000'000;
};

/// Why a store with these bounds refuses the transaction; empty when it takes it.
std::string RejectionReason(const Transaction& transaction, const StoreBounds& bounds);

}  // namespace ladderstream::store
