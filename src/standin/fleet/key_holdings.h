// Which keys one incarnation of a back end holds, until when, and under which fence.
//
// No I/O and no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "wire/time.h"

namespace ladderstream::fleet {

/// Of one service: who held each key last and by which token it may be taken over warm.
class HandoverLedger {
 public:
  HandoverLedger();

  /// The holder gave these keys up in order; gives the token of the handover.
  std::string Release(const ownership::KeyRange& range, const std::string& holder);
  /// A new holder takes a key; true when it comes warm.
  bool Take(ownership::Key key, const std::string& holder, const std::string& token);

 private:
  struct Entry {
    uint32_t holder = 0;
    uint32_t token = 0;
  };

  uint32_t NumberOf(const std::string& holder);

  std::vector<Entry> entries_;
  std::map<std::string, uint32_t> holders_;
  uint32_t last_token_ = 0;
};

struct GrantOrder {
  ownership::KeyRange range;
  ownership::Fence fence = 0;
  Duration hold;
  std::string handover;
};

class KeyHoldings {
 public:
  /// `clock_slowness`: how much longer this back end's clock takes over a hold, such as 0.02.
  KeyHoldings(std::string holder, HandoverLedger* ledger, Duration warmup, double clock_slowness);

  /// False when a higher fence was seen on any of the keys; then nothing changes.
  bool Grant(const GrantOrder& order, Time now);
  /// Never refused. Gives the token of the handover, empty when no key of the range was held.
  std::string Release(const ownership::KeyRange& range, ownership::Fence fence, Time now);

  bool Holds(ownership::Key key, Time now) const { return HeldUntil(key) > now; }
  Time HeldUntil(ownership::Key key) const;
  /// Whether the key's state is still being built up.
  bool IsCold(ownership::Key key, Time now) const;
  /// When a grant taken now would end.
  Time EndOf(Duration hold, Time now) const { return now + hold * (1 + clock_slowness_); }

 private:
  /// Keys from the one it is mapped to up to the next one mapped.
  struct Segment {
    ownership::Fence seen = 0;
    Time until = absl::InfinitePast();
    Time warm_at = absl::InfinitePast();
  };
  using Segments = std::map<ownership::Key, Segment>;

  /// Makes segments begin at both ends of the range; gives the segments within.
  std::pair<Segments::iterator, Segments::iterator> Cut(const ownership::KeyRange& range);
  void CutAt(ownership::Key key);
  const Segment& At(ownership::Key key) const;
  void TakeOver(const ownership::KeyRange& range, const std::string& token, Time now);

  std::string holder_;
  HandoverLedger* ledger_;
  Duration warmup_;
  double clock_slowness_;
  Segments segments_;
};

}  // namespace ladderstream::fleet
