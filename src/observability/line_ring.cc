#include "observability/line_ring.h"

#include <algorithm>

namespace ladderstream::observability {

bool LineRing::Push(std::string_view line, double fill_limit) {
  const auto limit = static_cast<size_t>(static_cast<double>(bytes_.size()) * fill_limit);
  if (size_ + line.size() + 1 > std::min(limit, bytes_.size())) {
    return false;
  }
  Append(line);
  Append("\n");
  return true;
}

std::string_view LineRing::Front() const {
  return {bytes_.data() + begin_, std::min(size_, bytes_.size() - begin_)};
}

void LineRing::Pop(size_t count) {
  const size_t popped = std::min(count, size_);
  size_ -= popped;
  begin_ = size_ == 0 ? 0 : (begin_ + popped) % bytes_.size();
}

void LineRing::Append(std::string_view text) {
  const size_t end = (begin_ + size_) % bytes_.size();
  const size_t first = std::min(text.size(), bytes_.size() - end);
  std::copy_n(text.data(), first, bytes_.begin() + static_cast<ptrdiff_t>(end));
  std::copy(text.begin() + static_cast<ptrdiff_t>(first), text.end(), bytes_.begin());
  size_ += text.size();
}

}  // namespace ladderstream::observability
