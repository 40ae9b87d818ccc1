// Limits of one transaction of a coordinator.
#pragma once

#include <algorithm>
#include <cstddef>

namespace ladderstream::ownership {

/// Far below the limits of the store: 100 entries, of which each row uses two (a condition and a
/// value), and 1 MB, of which base64 encoding uses a quarter.
struct CommitLimits {
  /// Maximum size of one row's value. A change rewrites every row that it touches, so shorter rows
  /// cost less.
  size_t row_bytes = 8192;
  size_t rows = 40;
  size_t changes = 2048;

  /// Halves the limits after the store rejected a transaction of `change_count` changes as
  /// malformed or too large.
  void Tighten(size_t change_count);
  /// Returns how many rows of a service one change may touch so that it fits even if every one of
  /// them is split.
  size_t RowsOfChange() const;
};

inline void CommitLimits::Tighten(size_t change_count) {
  constexpr size_t kMinRowBytes = 512;
  // A row split in two, the head row, and one spare.
  constexpr size_t kMinRows = 4;
  row_bytes = std::max(row_bytes / 2, kMinRowBytes);
  rows = std::max(rows / 2, kMinRows);
  changes = std::max<size_t>(std::min(changes, change_count) / 2, 1);
}

inline size_t CommitLimits::RowsOfChange() const {
  // Above the largest number of parts into which one change splits a row.
  constexpr size_t kPartsOfRow = 8;
  return std::max<size_t>(rows / kPartsOfRow, 1);
}

}  // namespace ladderstream::ownership
