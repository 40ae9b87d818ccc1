// Which rows of the store hold one service's assignment, and what a commit writes to them.
//
// A commit rewrites the rows whose keys it changes and cuts those that would get too long, so what
// it writes grows with the change and not with the service. Rows are never joined again: their
// number is bounded by what the service once needed.
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

  /// The rows are as read.
  void Adopt(const StoredService& stored);
  /// These rows were written, by key; those of other services are passed over.
  void OnWritten(const std::map<std::string, std::string>& rows);

  /// The last key of `range` up to which no more than `most` rows hold its keys.
  Key LastWithin(const KeyRange& range, size_t max_rows) const;

  /// Adds to `rows`, by key, what is to be written so that `changes`, which do not overlap, take
  /// effect. `committed` is the assignment before them.
  void Encode(const Assignments& changes, const AssignmentTable& committed,
              const AddressOf& address_of, size_t row_bytes,
              std::map<std::string, std::string>* rows) const;

 private:
  size_t IndexOf(Key key) const;
  KeyRange RangeOf(size_t index) const;
  void EncodeParts(const std::vector<ServiceRow>& parts, std::map<std::string, std::string>* rows,
                   std::vector<Key>* new_firsts) const;

  std::string service_;
  /// Where the rows begin, in order.
  std::vector<Key> firsts_ = {0};
  /// The head row names segments; else it holds everything.
  bool has_segments_ = false;
};

}  // namespace ladderstream::ownership
