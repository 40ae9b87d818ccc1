#include "standin/fleet/key_holdings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace ladderstream::fleet {

using ownership::Fence;
using ownership::Key;
using ownership::KeyRange;

HandoverLedger::HandoverLedger() : entries_(ownership::kLastKey + 1) {}

uint32_t HandoverLedger::NumberOf(const std::string& holder) {
  return holders_.try_emplace(holder, holders_.size() + 1).first->second;
}

std::string HandoverLedger::Release(const KeyRange& range, const std::string& holder) {
  const uint32_t number = NumberOf(holder);
  const uint32_t token = ++last_token_;
  for (Key key = range.first; key <= range.last; ++key) {
    if (entries_[key].holder == number) {
      entries_[key].token = token;
    }
  }
  return absl::StrFormat("%016x", token);
}

bool HandoverLedger::Take(Key key, const std::string& holder, const std::string& token) {
  const uint32_t number = NumberOf(holder);
  uint64_t shown = 0;
  const bool shows_token = absl::SimpleHexAtoi(token, &shown);
  Entry& entry = entries_[key];
  const bool warm = entry.holder == 0 || entry.holder == number ||
                    (shows_token && entry.token != 0 && entry.token == shown);
  entry = {.holder = number, .token = 0};
  return warm;
}

KeyHoldings::KeyHoldings(std::string holder, HandoverLedger* ledger, Duration warmup,
                         double clock_slowness)
    : holder_(std::move(holder)),
      ledger_(ledger),
      warmup_(warmup),
      clock_slowness_(clock_slowness),
      segments_{{0, Segment{}}} {}

bool KeyHoldings::Grant(const GrantOrder& order, Time now) {
  const auto [begin, end] = Cut(order.range);
  const bool fenced = std::any_of(
      begin, end, [&order](const auto& segment) { return segment.second.seen > order.fence; });
  if (fenced) {
    return false;
  }
  const Time until = EndOf(order.hold, now);
  bool is_renewal = true;
  for (auto at = begin; at != end; ++at) {
    is_renewal = is_renewal && at->second.until > now;
  }
  if (!is_renewal) {
    TakeOver(order.range, order.handover, now);
  }
  const auto [first, last] = Cut(order.range);
  for (auto at = first; at != last; ++at) {
    at->second.seen = order.fence;
    at->second.until = std::max(at->second.until, until);
  }
  return true;
}

void KeyHoldings::TakeOver(const KeyRange& range, const std::string& token, Time now) {
  for (Key key = range.first; key <= range.last; ++key) {
    if (Holds(key, now)) {
      continue;
    }
    const Time warm_at = ledger_->Take(key, holder_, token) ? absl::InfinitePast() : now + warmup_;
    if (At(key).warm_at != warm_at) {
      CutAt(key);
      // The keys behind it follow it until they differ.
      segments_.at(key).warm_at = warm_at;
    }
  }
}

std::string KeyHoldings::Release(const KeyRange& range, Fence fence, Time now) {
  const auto [begin, end] = Cut(range);
  bool held = false;
  for (auto at = begin; at != end; ++at) {
    held = held || at->second.until > now;
    at->second.seen = std::max(at->second.seen, fence);
    at->second.until = absl::InfinitePast();
  }
  return held ? ledger_->Release(range, holder_) : "";
}

Time KeyHoldings::HeldUntil(Key key) const { return At(key).until; }

bool KeyHoldings::IsCold(Key key, Time now) const { return At(key).warm_at > now; }

std::pair<KeyHoldings::Segments::iterator, KeyHoldings::Segments::iterator> KeyHoldings::Cut(
    const KeyRange& range) {
  CutAt(range.first);
  if (range.last < ownership::kLastKey) {
    CutAt(range.last + 1);
  }
  return {segments_.lower_bound(range.first), segments_.upper_bound(range.last)};
}

void KeyHoldings::CutAt(Key key) {
  const auto next = segments_.upper_bound(key);
  const auto current = std::prev(next);
  if (current->first != key) {
    segments_.emplace_hint(next, key, current->second);
  }
}

const KeyHoldings::Segment& KeyHoldings::At(Key key) const {
  return std::prev(segments_.upper_bound(key))->second;
}

}  // namespace ladderstream::fleet
