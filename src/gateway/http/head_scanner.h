// Finds the end of an HTTP head in bytes that arrive piece by piece, and refuses line endings and
// folded lines that two parsers might read differently.
#pragma once

#include <cstddef>
#include <string_view>

namespace ladderstream::gateway {

class HeadScanner {
 public:
  enum class Result { kNeedMore, kComplete, kMalformed };

  /// `bytes` begins with the head's first byte and holds all that came before, and more. When
  /// complete, `size` is the head's length with its final blank line.
  Result Scan(std::string_view bytes, size_t* size);

  void Reset() { *this = HeadScanner(); }

 private:
  size_t line_start_ = 0;
  size_t scanned_ = 0;
};

}  // namespace ladderstream::gateway
