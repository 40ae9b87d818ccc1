#include "core/allowance/chosen_nodes.h"

#include <algorithm>
#include <utility>

namespace ladderstream::allowance {
namespace {

constexpr uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr uint64_t kFnvPrime = 0x100000001b3ULL;

/// Mixes all bits of both (the finalizer of SplitMix64).
uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t mixed = a + b * 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

}  // namespace

uint64_t HashOf(const std::string& text) {
  uint64_t hash = kFnvOffset;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return hash;
}

void ChosenNodes::SetMembers(const std::vector<uint64_t>& members, Time now) {
  if (lists_.empty()) {
    // Until now this node held no list, and was not chosen.
    lists_.push_back({{}, now});
  } else {
    lists_.back().replaced = now;
  }
  lists_.push_back({members, absl::InfiniteFuture()});
  while (lists_.front().replaced + kSettlingTime <= now) {
    lists_.pop_front();
  }
}

bool ChosenNodes::MayAct(const std::string& backend, size_t count, Time now) const {
  if (now >= confirmed_until_) {
    return false;
  }
  return !lists_.empty() && std::all_of(lists_.begin(), lists_.end(), [&](const HeldList& list) {
    return list.replaced + kSettlingTime <= now || Names(list.members, backend, count);
  });
}

bool ChosenNodes::Names(const std::vector<uint64_t>& members, const std::string& backend,
                        size_t count) const {
  const uint64_t hash = HashOf(backend);
  const uint64_t own = Mix(hash, self_);
  bool listed = false;
  size_t before = 0;
  for (const uint64_t member : members) {
    listed = listed || member == self_;
    before += Mix(hash, member) < own ? 1 : 0;
  }
  return listed && before < count;
}

std::vector<uint64_t> ChosenNodes::Chosen(const std::string& backend, size_t count,
                                          Time now) const {
  if (lists_.empty() || now >= confirmed_until_) {
    return {};
  }
  const uint64_t hash = HashOf(backend);
  std::vector<std::pair<uint64_t, uint64_t>> ranked;
  for (const uint64_t member : lists_.back().members) {
    ranked.emplace_back(Mix(hash, member), member);
  }
  const size_t size = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(size), ranked.end());
  std::vector<uint64_t> chosen;
  for (size_t i = 0; i < size; ++i) {
    chosen.push_back(ranked[i].second);
  }
  return chosen;
}

}  // namespace ladderstream::allowance
