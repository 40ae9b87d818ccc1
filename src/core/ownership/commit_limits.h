// What one transaction of a coordinator may write.
#pragma once

#include <algorithm>
#include <cstddef>

namespace ladderstream::ownership {

/// Far below what the store takes: 100 entries, of which each row needs two (a condition and a
/// value), and 1 MB, of which base64 takes a quarter.
struct CommitLimits {
  /// Of one row's value. A change rewrites the rows that it touches, so shorter ones cost less.
  size_t row_bytes = 8192;
  size_t rows = 40;
  size_t changes = 2048;

  /// A transaction of `change_count` changes was refused as malformed or too large: the next ones
  /// are half as large.
  void Tighten(size_t change_count);
  /// How many rows of a service one change may touch, so that it fits even if each of them is cut.
  size_t RowsOfChange() const;
};

inline void CommitLimits::Tighten(size_t change_count) {
  constexpr size_t kMinRowBytes = 512;
  // A row that is cut in two, the head row, and one to spare.
  constexpr size_t kMinRows = 4;
  row_bytes = std::max(row_bytes / 2, kMinRowBytes);
  rows = std::max(rows / 2, kMinRows);
  changes = std::max<size_t>(std::min(changes, change_count) / 2, 1);
}

inline size_t CommitLimits::RowsOfChange() const {
  // More parts than one change makes of a row.
  constexpr size_t kPartsOfRow = 8;
  return std::max<size_t>(rows / kPartsOfRow, 1);
}

}  // namespace ladderstream::ownership
