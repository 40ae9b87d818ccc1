// Lines that wait to be written, in a bounded ring of bytes.
//
// Pure: no I/O. Whole lines go in; bytes come out, so that a write may take a part of a line.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace ladderstream::observability {

class LineRing {
 public:
  explicit LineRing(size_t capacity) : bytes_(capacity) {}

  /// Appends `line` and a line end. False, and nothing is appended, if the ring would then hold
  /// more than `fill_limit` (0 to 1) of its capacity.
  bool Push(std::string_view line, double fill_limit);

  /// The oldest bytes that lie together; empty only if the ring is.
  std::string_view Front() const;

  /// Forgets the oldest `count` bytes.
  void Pop(size_t count);

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  void Append(std::string_view text);

  std::vector<char> bytes_;
  size_t begin_ = 0;
  size_t size_ = 0;
};

}  // namespace ladderstream::observability
