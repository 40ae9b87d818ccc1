// How many lines of each kind a node may log a second, and how many were left out.
//
// Pure: no I/O and no clock.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "observability/event_list.h"
#include "wire/time.h"

namespace ladderstream::observability {

/// Why a line was left out.
enum class OmissionCause : uint8_t {
  /// Its kind had used up its budget.
  kBudget,
  /// Whoever reads standard output does not keep up.
  kOutput,
  kCount,
};

constexpr size_t kOmissionCauseCount = static_cast<size_t>(OmissionCause::kCount);

/// Gives "budget" or "output".
std::string_view NameOf(OmissionCause cause);

/// What one kind may use.
struct KindBudget {
  double lines_per_second = 0;
  /// Lines that may come at once after a quiet time.
  double burst = 0;
};

struct Omission {
  EventKind kind = EventKind::kProcess;
  OmissionCause cause = OmissionCause::kBudget;
  uint64_t count = 0;
};

/// One token bucket for each kind.
class EventBudget {
 public:
  using Budgets = std::array<KindBudget, kEventKindCount>;

  /// The budgets of a node, together at most 460 lines a second.
  static const Budgets& Default();

  explicit EventBudget(const Budgets& budgets);

  /// Takes `lines` from the budget of `kind`. False, and the lines count as left out, if it has not
  /// that many: lines that belong together are kept or left out together. More lines than the whole
  /// burst are taken when the bucket is full.
  bool Take(EventKind kind, uint32_t lines, Time now);

  /// Counts lines that were left out for another cause than the budget.
  void CountOmitted(EventKind kind, OmissionCause cause, uint64_t lines);

  bool HasOmissions() const { return has_omissions_; }

  /// What was left out since the last call.
  std::vector<Omission> TakeOmissions();

  /// Has `omission` come with the next TakeOmissions again: it could not be told.
  void Return(const Omission& omission);

  /// Lines left out since the start.
  uint64_t TotalOmitted(EventKind kind, OmissionCause cause) const;

 private:
  struct Bucket {
    double tokens = 0;
    Time filled_at = absl::InfinitePast();
    std::array<uint64_t, kOmissionCauseCount> omitted = {};
    std::array<uint64_t, kOmissionCauseCount> reported = {};
  };

  const Budgets budgets_;
  std::array<Bucket, kEventKindCount> buckets_;
  bool has_omissions_ = false;
};

}  // namespace ladderstream::observability
