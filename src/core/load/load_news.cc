#include "core/load/load_news.h"

#include <tuple>

namespace ladderstream::load {

BackendHash HashOf(const catalog::Backend& backend) {
  // FNV-1a.
  constexpr uint32_t kOffset = 0x811c9dc5U;
  constexpr uint32_t kPrime = 0x01000193U;
  uint32_t hash = kOffset;
  for (const char character : backend.id) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  }
  return hash;
}

bool SaysMore(const LoadNews& a, const LoadNews& b) {
  const bool a_busy = IsBusy(a.told);
  const bool b_busy = IsBusy(b.told);
  return std::tie(a.told.waiting, a_busy, a.told_at) > std::tie(b.told.waiting, b_busy, b.told_at);
}

}  // namespace ladderstream::load
