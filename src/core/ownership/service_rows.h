// Layout of one service's assignment in the rows of the store, and the rows that a commit writes.
//
// A commit rewrites the rows whose keys it changes and splits rows that would exceed the size
// limit, so its size grows with the change and not with the service. Rows are never merged again;
// their number is bounded by the largest size that the service ever had.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/ownership/assignment_table.h"
#include "core/ownership/ownership_rows.h"

namespace ladderstream::ownership {

class ServiceRows {
 public:
  using AddressOf = std::function<Endpoint(const std::string& owner)>;

  explicit ServiceRows(std::string service) : service_(std::move(service)) {}

  /// Takes the row layout from the stored service.
  void Adopt(const StoredService& stored);
  /// Updates the layout after these rows, by key, were written. Rows of other services are ignored.
  void OnWritten(const std::map<std::string, std::string>& rows);

  /// Returns the last key of `range` up to which at most `max_rows` rows hold its keys.
  Key LastWithin(const KeyRange& range, size_t max_rows) const;

  /// Adds to `rows`, by key, the rows that apply `changes`, which must not overlap. `committed` is
  /// the assignment before the changes.
  void Encode(const Assignments& changes, const AssignmentTable& committed,
              const AddressOf& address_of, size_t row_bytes,
              std::map<std::string, std::string>* rows) const;

 private:
  size_t IndexOf(Key key) const;
  KeyRange RangeOf(size_t index) const;
  void EncodeParts(const std::vector<ServiceRow>& parts, std::map<std::string, std::string>* rows,
                   std::vector<Key>* new_firsts) const;

  std::string service_;
  /// First keys of the rows, ascending.
  std::vector<Key> firsts_ = {0};
  /// True if the head row lists segments; false if it holds the full assignment.
  bool has_segments_ = false;
};

}  // namespace ladderstream::ownership
