#include "core/partition/partitioner.h"

#include <algorithm>
#include <optional>

#include "core/partition/cutting.h"
#include "core/partition/fleet.h"
#include "core/partition/hot_slices.h"
#include "core/partition/key_load_tree.h"
#include "core/partition/load_view.h"
#include "core/partition/planning.h"
#include "core/partition/recent_load.h"
#include "core/partition/service_times.h"

namespace ladderstream::partition {
namespace {

/// How slowly the picture of the calm load changes.
constexpr Duration kCalmHalfLife = absl::Seconds(15);
/// The first report is taken to cover this; later ones the time since the one before, at most the
/// longest.
constexpr Duration kFirstReport = absl::Milliseconds(300);
constexpr Duration kLongestReport = absl::Seconds(1);
/// A slice that stays hot for longer than this is part of the calm load.
constexpr Duration kHotForGood = absl::Seconds(8);
/// Proposals are remembered for this long.
constexpr Duration kMemory = absl::Seconds(6);

}  // namespace

class Partitioner::Impl {
 public:
  explicit Impl(const PartitionWeights& weights) : weights_(weights), calm_(kCalmHalfLife) {}

  void AddLoad(const std::vector<KeyCount>& counts, Time now);
  void AddServiceTimes(const std::vector<ServiceTimeSample>& samples, Time now) {
    service_times_.Add(samples, now);
  }
  std::vector<ProposedMove> Initial(const std::vector<PartitionBackend>& backends) const;
  std::vector<ProposedMove> Propose(const ownership::Assignments& assignments,
                                    const std::vector<KeyRange>& busy,
                                    const std::vector<PartitionBackend>& backends, Time now);

 private:
  void AddCalm(const KeyCount& count, Time now);
  void RefreshHotSlices(Time now);
  void Remember(const std::vector<ProposedMove>& moves, Time now);

  PartitionWeights weights_;
  KeyLoadTree calm_;
  RecentLoad recent_;
  ServiceTimes service_times_;
  std::vector<HotSlice> hot_;
  double calm_scale_ = 1;
  std::optional<Time> last_report_;
  std::vector<RecentMove> recent_moves_;
};

void Partitioner::Impl::AddLoad(const std::vector<KeyCount>& counts, Time now) {
  const Duration elapsed =
      last_report_ ? std::max(now - *last_report_, absl::ZeroDuration()) : kFirstReport;
  const Duration observed = std::min(elapsed, kLongestReport);
  last_report_ = now;
  calm_.Advance(elapsed, observed);
  recent_.Add(counts, observed, now);
  for (const KeyCount& count : counts) {
    AddCalm(count, now);
  }
}

void Partitioner::Impl::AddCalm(const KeyCount& count, Time now) {
  double share = 1;
  for (const HotSlice& slice : hot_) {
    if (slice.range().Contains(count.key) && now - slice.since() < kHotForGood) {
      const double calm =
          calm_scale_ * calm_.Count(slice.range()) / std::max(calm_.ObservedSeconds(), 1e-9);
      share = calm / (calm + slice.excess());
    }
  }
  calm_.Add(count.key, share * count.count);
}

void Partitioner::Impl::RefreshHotSlices(Time now) {
  if (recent_.Batches().empty()) {
    return;
  }
  // Decay runs from the last report: while none comes, nothing is known to have changed.
  const Time seen = std::min(now, *last_report_);
  std::vector<HotSlice> found = FindHotSlices(recent_, calm_, calm_scale_, seen);
  for (HotSlice& slice : found) {
    for (const HotSlice& before : hot_) {
      if (slice.range().first <= before.range().last &&
          before.range().first <= slice.range().last) {
        slice.set_since(std::min(slice.since(), before.since()));
      }
    }
  }
  hot_ = std::move(found);
  calm_scale_ = CalmScale(recent_, calm_, hot_, seen);
}

void Partitioner::Impl::Remember(const std::vector<ProposedMove>& moves, Time now) {
  for (const ProposedMove& move : moves) {
    recent_moves_.push_back({move.range, move.to, now});
  }
}

std::vector<ProposedMove> Partitioner::Impl::Initial(
    const std::vector<PartitionBackend>& backends) const {
  const ownership::Assignments nobody = {{{0, ownership::kLastKey}, "", 0}};
  const std::vector<HotSlice> none_hot;
  const LoadView load(calm_, 1, none_hot);
  const Fleet fleet({nobody, {}, backends, {}}, service_times_, load, absl::UnixEpoch());
  std::vector<Part> parts;
  for (size_t i = 0; i < fleet.members().size(); ++i) {
    if (fleet.members()[i].accepts) {
      parts.push_back({i, fleet.members()[i].comfortable});
    }
  }
  if (parts.empty()) {
    return {{{0, ownership::kLastKey}, ""}};
  }
  constexpr double kCellsPerPart = 32;
  const double max_cell =
      load.Of({0, ownership::kLastKey}).total / (kCellsPerPart * static_cast<double>(parts.size()));
  std::vector<ProposedMove> moves;
  for (const Piece& piece : CutPieces(load.Cells({0, ownership::kLastKey}, max_cell), parts)) {
    moves.push_back({piece.range, fleet.members()[piece.member].id});
  }
  return moves;
}

std::vector<ProposedMove> Partitioner::Impl::Propose(const ownership::Assignments& assignments,
                                                     const std::vector<KeyRange>& busy,
                                                     const std::vector<PartitionBackend>& backends,
                                                     Time now) {
  service_times_.Keep(backends);
  for (const PartitionBackend& backend : backends) {
    if (backend.cold_left > absl::ZeroDuration()) {
      service_times_.SetColdUntil(backend.id, now + backend.cold_left);
    }
  }
  std::erase_if(recent_moves_, [&](const RecentMove& move) { return now - move.at > kMemory; });
  RefreshHotSlices(now);
  const LoadView load(calm_, calm_scale_, hot_);
  Fleet fleet({assignments, busy, backends, recent_moves_}, service_times_, load, now);
  std::vector<ProposedMove> moves = PlanEvacuation(fleet, weights_);
  const size_t left = weights_.max_moves - std::min<size_t>(weights_.max_moves, moves.size());
  const std::vector<ProposedMove> balance = PlanBalance(fleet, weights_, left);
  moves.insert(moves.end(), balance.begin(), balance.end());
  if (moves.empty()) {
    moves = PlanMerges(fleet, recent_moves_);
  }
  Remember(moves, now);
  return moves;
}

Partitioner::Partitioner(const PartitionWeights& weights)
    : impl_(std::make_unique<Impl>(weights)) {}
Partitioner::~Partitioner() = default;

void Partitioner::AddLoad(const std::vector<KeyCount>& counts, Time now) {
  impl_->AddLoad(counts, now);
}

void Partitioner::AddServiceTimes(const std::vector<ServiceTimeSample>& samples, Time now) {
  impl_->AddServiceTimes(samples, now);
}

std::vector<ProposedMove> Partitioner::Initial(
    const std::vector<PartitionBackend>& backends) const {
  return impl_->Initial(backends);
}

std::vector<ProposedMove> Partitioner::Propose(const ownership::Assignments& assignments,
                                               const std::vector<ownership::KeyRange>& busy,
                                               const std::vector<PartitionBackend>& backends,
                                               Time now) {
  return impl_->Propose(assignments, busy, backends, now);
}

}  // namespace ladderstream::partition
