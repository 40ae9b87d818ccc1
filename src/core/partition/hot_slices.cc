#include "core/partition/hot_slices.h"

#include <algorithm>
#include <cmath>

namespace ladderstream::partition {
namespace {

constexpr double kAllKeys = ownership::kLastKey + 1;
/// Recent requests lose half of their weight in this time.
constexpr Duration kRecentHalfLife = absl::Milliseconds(600);
/// Keys belong to a hot slice while they are this much busier than when calm.
constexpr double kRatio = 2;
/// And while they are this much busier than the mean key.
constexpr double kDensityFloor = 6;
/// A valley of this many counts ends a slice.
constexpr double kValley = 5;
/// A slice needs this many counts, this much evidence (natural logarithm of the likelihood ratio;
/// high, for many places are looked at), and this share of all load.
constexpr double kLeastCount = 5;
constexpr double kLeastEvidence = 10;
constexpr double kLeastShare = 0.02;
/// Evidence that the load of the last batches alone is higher than the decayed mean says.
constexpr double kChangeEvidence = 2.5;

/// Logarithm of how much likelier `count` is at its own rate than at `expected`.
double Evidence(double count, double expected) {
  return count <= expected ? 0 : count * std::log(count / expected) - (count - expected);
}

/// The same for fewer than expected.
double FallEvidence(double count, double expected) {
  if (count >= expected) {
    return 0;
  }
  return expected - count + (count > 0 ? count * std::log(count / expected) : 0);
}

/// All recent requests, decayed, merged over the batches: sorted, with each key once.
struct Recent {
  std::vector<KeyCount> counts;
  double seconds = 0;
  double total = 0;
};

Recent Merge(const RecentLoad& recent, Time now) {
  Recent merged;
  for (const RecentLoad::Batch& batch : recent.Batches()) {
    const double weight = std::exp2(-absl::FDivDuration(now - batch.at, kRecentHalfLife));
    merged.seconds += weight * batch.seconds;
    for (const KeyCount& count : batch.counts) {
      merged.counts.push_back({count.key, weight * count.count});
      merged.total += weight * count.count;
    }
  }
  std::stable_sort(merged.counts.begin(), merged.counts.end(),
                   [](const KeyCount& a, const KeyCount& b) { return a.key < b.key; });
  size_t used = 0;
  for (size_t i = 1; i < merged.counts.size(); ++i) {
    if (merged.counts[i].key == merged.counts[used].key) {
      merged.counts[used].count += merged.counts[i].count;
    } else {
      merged.counts[++used] = merged.counts[i];
    }
  }
  merged.counts.resize(std::min(used + 1, merged.counts.size()));
  return merged;
}

/// What the calm load makes expect.
class Expectation {
 public:
  Expectation(const KeyLoadTree& calm, double scale, double seconds)
      : calm_(calm), factor_(scale * seconds / std::max(calm.ObservedSeconds(), seconds)) {}

  double Count(const KeyRange& range) const { return factor_ * calm_.Count(range); }
  /// The same with one more count, for what has never been seen is not impossible.
  double Cautious(const KeyRange& range) const { return factor_ * (calm_.Count(range) + 1); }

 private:
  const KeyLoadTree& calm_;
  double factor_;
};

struct Segment {
  size_t begin = 0;
  size_t end = 0;
};

/// Runs of counts, as indices, that are denser than what is expected.
std::vector<Segment> FindSegments(const Recent& recent, const Expectation& expected) {
  const double floor_per_key = kDensityFloor * recent.total / kAllKeys;
  const auto price = [&](const KeyRange& range) {
    return kRatio * expected.Count(range) + floor_per_key * range.Size();
  };
  std::vector<Segment> segments;
  Segment open;
  double score = 0;
  double peak = 0;
  const auto close = [&] {
    if (peak > 0) {
      segments.push_back(open);
    }
    score = 0;
    peak = 0;
  };
  for (size_t i = 0; i < recent.counts.size(); ++i) {
    const Key key = recent.counts[i].key;
    if (score > 0 && key > recent.counts[i - 1].key) {
      score -= price({recent.counts[i - 1].key + 1, key});
    }
    if (score <= 0 || score < peak - kValley) {
      close();
      score = -price({key, key});
      open.begin = i;
    }
    score += recent.counts[i].count;
    if (score > peak) {
      peak = score;
      open.end = i + 1;
    }
  }
  close();
  return segments;
}

/// The counts of a slice in the last batches, newest first, added up.
struct Tail {
  double count = 0;
  double seconds = 0;
};

double CountIn(const RecentLoad::Batch& batch, const KeyRange& range) {
  const auto first = std::lower_bound(batch.counts.begin(), batch.counts.end(), range.first,
                                      [](const KeyCount& a, Key key) { return a.key < key; });
  double sum = 0;
  for (auto it = first; it != batch.counts.end() && it->key <= range.last; ++it) {
    sum += it->count;
  }
  return sum;
}

/// The counts of a slice in its last one, two, three... batches.
std::vector<Tail> TailsOf(const RecentLoad& recent, const KeyRange& range) {
  std::vector<Tail> tails;
  Tail tail;
  const auto& batches = recent.Batches();
  for (auto batch = batches.rbegin(); batch != batches.rend(); ++batch) {
    tail.count += CountIn(*batch, range);
    tail.seconds += batch->seconds;
    tails.push_back(tail);
  }
  return tails;
}

/// The rate since the slice turned hot or calm again: that of the last batches which stand out most
/// from the decayed mean.
double RateSinceChange(const RecentLoad& recent, const KeyRange& range, double mean_rate) {
  const std::vector<Tail> tails = TailsOf(recent, range);
  double rate = mean_rate;
  double best_evidence = kChangeEvidence;
  size_t since = tails.size();
  for (size_t i = 0; i < tails.size(); ++i) {
    const double evidence = Evidence(tails[i].count, mean_rate * tails[i].seconds);
    if (evidence > best_evidence) {
      best_evidence = evidence;
      rate = tails[i].count / tails[i].seconds;
      since = i;
    }
  }
  for (size_t i = 0; i < since; ++i) {
    if (FallEvidence(tails[i].count, rate * tails[i].seconds) > kChangeEvidence) {
      return tails[i].count / tails[i].seconds;
    }
  }
  return rate;
}

/// Counts seldom hit the outermost keys: gives the slice their mean distance more on both sides.
KeyRange Widened(const Recent& recent, const Segment& segment) {
  KeyRange range{recent.counts[segment.begin].key, recent.counts[segment.end - 1].key};
  const auto seen = static_cast<uint32_t>(segment.end - segment.begin);
  const uint32_t margin = (range.Size() - 1) / seen;
  range.first -= std::min(range.first, margin);
  range.last = std::min(ownership::kLastKey, range.last + margin);
  return range;
}

}  // namespace

HotSlice::HotSlice(const KeyRange& range, double excess, double error, Time since,
                   const std::vector<KeyCount>& counts)
    : range_(range), excess_(excess), error_(error), since_(since) {
  double sum = 0;
  for (const KeyCount& count : counts) {
    sum += count.count;
    if (!counted_.empty() && counted_.back().first == count.key) {
      counted_.back().second = sum;
    } else {
      counted_.emplace_back(count.key, sum);
    }
  }
  for (auto& [key, share] : counted_) {
    share /= sum;
  }
}

double HotSlice::CountedBelow(Key key) const {
  const auto above = std::lower_bound(counted_.begin(), counted_.end(), key,
                                      [](const auto& entry, Key k) { return entry.first < k; });
  return above == counted_.begin() ? 0 : std::prev(above)->second;
}

double HotSlice::ExcessIn(const KeyRange& range) const {
  const Key first = std::max(range.first, range_.first);
  const Key last = std::min(range.last, range_.last);
  if (first > last) {
    return 0;
  }
  constexpr double kEvenShare = 0.7;
  const double even = static_cast<double>(last - first + 1) / range_.Size();
  const double counted = CountedBelow(last + 1) - CountedBelow(first);
  return excess_ * (kEvenShare * even + (1 - kEvenShare) * counted);
}

std::vector<HotSlice> FindHotSlices(const RecentLoad& recent, const KeyLoadTree& calm,
                                    double calm_scale, Time now) {
  const Recent merged = Merge(recent, now);
  std::vector<HotSlice> slices;
  if (merged.seconds <= 0) {
    return slices;
  }
  const Expectation expected(calm, calm_scale, merged.seconds);
  for (const Segment& segment : FindSegments(merged, expected)) {
    const std::vector<KeyCount> counts(
        merged.counts.begin() + static_cast<std::ptrdiff_t>(segment.begin),
        merged.counts.begin() + static_cast<std::ptrdiff_t>(segment.end));
    double count = 0;
    for (const KeyCount& entry : counts) {
      count += entry.count;
    }
    KeyRange range = Widened(merged, segment);
    if (!slices.empty() && slices.back().range().last >= range.first) {
      range.first = slices.back().range().last + 1;
    }
    const double calm_count = expected.Cautious(range);
    if (count < kLeastCount || count - calm_count < kLeastShare * merged.total ||
        Evidence(count, calm_count) < kLeastEvidence) {
      continue;
    }
    const double rate = RateSinceChange(recent, range, count / merged.seconds);
    const double excess = std::max(rate - expected.Count(range) / merged.seconds, 0.0);
    slices.emplace_back(range, excess, rate / std::sqrt(count), now, counts);
  }
  return slices;
}

double CalmScale(const RecentLoad& recent, const KeyLoadTree& calm,
                 const std::vector<HotSlice>& slices, Time now) {
  constexpr double kLowest = 0.5;
  constexpr double kHighest = 2.5;
  constexpr double kLeastCount = 20;
  const Recent merged = Merge(recent, now);
  double calm_count = calm.Total();
  double recent_count = merged.total;
  for (const HotSlice& slice : slices) {
    calm_count -= calm.Count(slice.range());
    for (const KeyCount& count : merged.counts) {
      recent_count -= slice.range().Contains(count.key) ? count.count : 0;
    }
  }
  const double expected = calm_count * merged.seconds / std::max(calm.ObservedSeconds(), 1e-9);
  if (expected < kLeastCount) {
    return 1;
  }
  return std::clamp(recent_count / expected, kLowest, kHighest);
}

}  // namespace ladderstream::partition
