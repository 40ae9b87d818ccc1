// The JSON of the table service's transactions (docs/design/001).
#pragma once

#include <string>

#include "interfaces/table_client.h"

namespace ladderstream::store {

/// Throws std::exception when a key is not UTF-8.
std::string FormatTransaction(const authority::StoreTransaction& transaction);

/// Reads the answer to `transaction`. Throws std::exception when it is malformed or lacks a row.
TableResult ParseTransactionAnswer(const authority::StoreTransaction& transaction,
                                   const std::string& body);

}  // namespace ladderstream::store
