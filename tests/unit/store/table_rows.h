// Builders of rows and replies for the table used by these tests.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/store/store_types.h"

namespace ladderstream::store {

inline constexpr char kTable[] = "servers";
inline const Time kStart = absl::UnixEpoch() + absl::Hours(1);

inline Row MakeRow(const std::string& key, RowVersion version, const std::string& value = "value") {
  return {{kTable, "", key}, value, version, false};
}

inline Row Removed(const std::string& key, RowVersion version) {
  return {{kTable, "", key}, "", version, true};
}

inline StoreReply Done(std::vector<Row> rows, RowVersion version, bool more = false) {
  StoreReply reply;
  reply.status = StoreStatus::kDone;
  reply.rows = std::move(rows);
  reply.version = version;
  reply.more = more;
  return reply;
}

}  // namespace ladderstream::store
