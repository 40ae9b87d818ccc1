#include "core/allowance/cold_senders.h"

#include <algorithm>

namespace ladderstream::allowance {
namespace {

/// FNV-1a: every node must draw the same, whatever it was built with.
constexpr uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr uint64_t kFnvPrime = 0x100000001b3ULL;

uint64_t HashOf(const std::string& text) {
  uint64_t hash = kFnvOffset;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return hash;
}

/// Mixes all bits of both (the finalizer of SplitMix64).
uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t mixed = a + b * 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

}  // namespace

void ColdSenders::SetMembers(const std::vector<uint64_t>& members, Time now) {
  if (lists_.empty()) {
    // Until now this node held no list, and was no sender.
    lists_.push_back({{}, now});
  } else {
    lists_.back().replaced = now;
  }
  lists_.push_back({members, absl::InfiniteFuture()});
  while (lists_.front().replaced + kSettlingTime <= now) {
    lists_.pop_front();
  }
}

bool ColdSenders::IsSender(const std::string& backend, Time now) const {
  if (now >= confirmed_until_) {
    return false;
  }
  return !lists_.empty() && std::all_of(lists_.begin(), lists_.end(), [&](const HeldList& list) {
    return list.replaced + kSettlingTime <= now || Names(list.members, backend);
  });
}

bool ColdSenders::Names(const std::vector<uint64_t>& members, const std::string& backend) const {
  const uint64_t hash = HashOf(backend);
  const uint64_t own = Mix(hash, self_);
  bool listed = false;
  size_t before = 0;
  for (const uint64_t member : members) {
    listed = listed || member == self_;
    before += Mix(hash, member) < own ? 1 : 0;
  }
  return listed && before < kSenders;
}

Duration ColdSenders::Interval(double rate) const {
  // A sender's sends in one second are at most its rate plus one; two generations of senders at
  // once must stay within the bound.
  constexpr double kGenerations = 2;
  const double room = (rate * overshoot_ + slack_) / kGenerations - kSenders;
  const double used = std::min(rate, room);
  return used <= 0 ? absl::InfiniteDuration() : absl::Seconds(kSenders / used);
}

}  // namespace ladderstream::allowance
