#include "gateway/http/head_scanner.h"

namespace ladderstream::gateway {

HeadScanner::Result HeadScanner::Scan(std::string_view bytes, size_t* size) {
  for (;;) {
    const size_t newline = bytes.find('\n', scanned_);
    if (newline == std::string_view::npos) {
      scanned_ = bytes.size();
      return Result::kNeedMore;
    }
    if (newline == line_start_ || bytes[newline - 1] != '\r') {
      return Result::kMalformed;
    }
    const std::string_view line = bytes.substr(line_start_, newline - 1 - line_start_);
    const bool first_line = line_start_ == 0;
    scanned_ = newline + 1;
    line_start_ = scanned_;
    if (line.empty()) {
      *size = scanned_;
      return first_line ? Result::kMalformed : Result::kComplete;
    }
    if (!first_line && (line.front() == ' ' || line.front() == '\t')) {
      return Result::kMalformed;
    }
  }
}

}  // namespace ladderstream::gateway
