#include "standin/fleet/soak_schedule.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <random>
#include <span>

#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr size_t kKinds = static_cast<size_t>(FaultKind::kCount);

/// Kinds that came after seeds had been kept: single faults leave them out, so that these seeds
/// draw what they drew.
constexpr bool IsOfSeriesOnly(FaultKind kind) {
  return kind == FaultKind::kNodeReloads || kind == FaultKind::kStoreConnectionsSilent ||
         kind == FaultKind::kBackendRests || kind == FaultKind::kBackendLimits ||
         kind >= FaultKind::kRouteChanges;
}
constexpr size_t kSingleKinds = kKinds - 18;
constexpr std::array<FaultKind, kSingleKinds> SingleKinds() {
  std::array<FaultKind, kSingleKinds> kinds = {};
  size_t count = 0;
  for (size_t kind = 0; kind < kKinds; ++kind) {
    if (!IsOfSeriesOnly(static_cast<FaultKind>(kind))) {
      kinds.at(count++) = static_cast<FaultKind>(kind);
    }
  }
  return kinds;
}
/// Between the starts of two faults, on average: with faults of up to 5 s, three at once.
constexpr int64_t kMeanPauseMs = 900;
constexpr int64_t kShortestMs = 300;
/// Longer than a lease, a hold and the wait for a silent owner.
constexpr int64_t kLongestMs = 5500;
constexpr uint64_t kTargets = 1000;

constexpr std::array<std::string_view, kKinds> kNames = {
    "node_killed",           "coordinator_killed",
    "node_paused",           "node_stopped",
    "all_nodes_killed",      "node_reloads",
    "links_delayed",         "links_cut",
    "links_silent",          "links_one_way",
    "store_unavailable",     "store_silent",
    "store_silent_for_one",  "store_slow",
    "store_loses_answers",   "store_writes_late",
    "store_forgets",         "store_connections_silent",
    "backend_crashes",       "backend_freezes",
    "backend_drains",        "backend_cut_from_store",
    "backend_rests",         "backend_limits",
    "address_reused",        "orders_late",
    "orders_unanswered",     "answers_lost",
    "answers_damaged",       "configuration_changes",
    "other_keys_hot",        "route_changes",
    "store_refuses_some",    "store_compacts",
    "connections_silent",    "nodes_cut_off",
    "coordinator_cut_off",   "zone_cut_off",
    "requests_end_backends", "callers_end_backends",
    "drawn_change",          "configuration_damaged",
    "answers_endless",       "late_registration",
    "foreign_registration",
};

/// Faults of one kind that follow each other, with targets in turn.
struct Series {
  FaultKind kind;
  uint64_t steps;
  int64_t gap_ms;
  int64_t lasts_ms;
};

/// Overlapping, a series lasts 1 to 6 s.
constexpr std::array<Series, 6> kSeries = {{
    {FaultKind::kNodeStopped, 4, 700, 400},
    {FaultKind::kNodeReloads, 6, 150, 0},
    {FaultKind::kBackendDrains, 8, 250, 1500},
    {FaultKind::kConfigurationChanges, 6, 120, 0},
    {FaultKind::kStoreConnectionsSilent, 3, 400, 0},
    {FaultKind::kNodeKilled, 3, 300, 600},
}};
constexpr std::array<Series, 5> kRestSeries = {{
    {FaultKind::kBackendRests, 4, 200, 3000},
    {FaultKind::kBackendRests, 2, 1500, 5000},
    {FaultKind::kBackendDrains, 8, 250, 1500},
    {FaultKind::kBackendCutFromStore, 3, 300, 4000},
    {FaultKind::kNodeKilled, 3, 300, 600},
}};
constexpr std::array<Series, 6> kLimitSeries = {{
    {FaultKind::kBackendLimits, 4, 100, 8000},
    {FaultKind::kBackendLimits, 8, 50, 6000},
    {FaultKind::kBackendRests, 2, 1500, 5000},
    {FaultKind::kBackendDrains, 8, 250, 1500},
    {FaultKind::kCoordinatorKilled, 2, 2500, 600},
    {FaultKind::kNodeKilled, 3, 300, 600},
}};
/// Changes of routes are a third of the draws: the others are to overlap with them.
constexpr std::array<Series, 16> kChangeSeries = {{
    {FaultKind::kRouteChanges, 1, 0, 0},
    {FaultKind::kRouteChanges, 6, 120, 0},
    {FaultKind::kRouteChanges, 5, 400, 0},
    {FaultKind::kRouteChanges, 3, 900, 0},
    {FaultKind::kRouteChanges, 2, 30, 0},
    {FaultKind::kNodeStopped, 4, 700, 400},
    {FaultKind::kNodeReloads, 6, 150, 0},
    {FaultKind::kNodeKilled, 3, 300, 600},
    {FaultKind::kCoordinatorKilled, 2, 1500, 400},
    {FaultKind::kStoreRefusesSome, 1, 0, 7000},
    {FaultKind::kStoreCompacts, 1, 0, 0},
    {FaultKind::kStoreLosesAnswers, 1, 0, 3000},
    {FaultKind::kStoreSilentForOne, 2, 500, 4000},
    {FaultKind::kStoreConnectionsSilent, 3, 400, 0},
    {FaultKind::kConnectionsSilent, 1, 0, 0},
    {FaultKind::kLinksSilent, 3, 200, 3000},
}};
/// Cuts last longer than a hold.
constexpr std::array<Series, 8> kPathSeries = {{
    {FaultKind::kNodesCutOff, 1, 0, 9000},
    {FaultKind::kNodesCutOff, 1, 0, 6000},
    {FaultKind::kCoordinatorCutOff, 1, 0, 9000},
    {FaultKind::kZoneCutOff, 1, 0, 8000},
    {FaultKind::kNodeKilled, 2, 900, 600},
    {FaultKind::kNodeStopped, 2, 900, 400},
    {FaultKind::kBackendDrains, 3, 400, 1500},
    {FaultKind::kBackendCrashes, 1, 0, 3000},
}};
/// The first fault of every schedule is a request that ends back ends; later ones overlap with it.
constexpr Series kFirstCrashSeries = {FaultKind::kRequestsEndBackends, 1, 0, 60000};
constexpr std::array<Series, 12> kCrashSeries = {{
    {FaultKind::kRequestsEndBackends, 1, 0, 60000},
    {FaultKind::kRequestsEndBackends, 2, 700, 60000},
    {FaultKind::kNodesCutOff, 1, 0, 6000},
    {FaultKind::kZoneCutOff, 1, 0, 4000},
    {FaultKind::kCoordinatorCutOff, 1, 0, 5000},
    {FaultKind::kAllNodesKilled, 1, 0, 300},
    {FaultKind::kCoordinatorKilled, 1, 0, 600},
    {FaultKind::kNodePaused, 2, 300, 4000},
    {FaultKind::kStoreSilent, 1, 0, 4000},
    {FaultKind::kBackendCrashes, 3, 50, 3000},
    {FaultKind::kBackendDrains, 4, 250, 1500},
    {FaultKind::kAnswersLost, 2, 500, 4000},
}};
constexpr Series kFirstSharedCrashSeries = {FaultKind::kCallersEndBackends, 1, 0, 60000};
constexpr std::array<Series, 12> kSharedCrashSeries = {{
    {FaultKind::kCallersEndBackends, 1, 0, 60000},
    {FaultKind::kCallersEndBackends, 2, 700, 60000},
    {FaultKind::kNodesCutOff, 1, 0, 6000},
    {FaultKind::kZoneCutOff, 1, 0, 4000},
    {FaultKind::kCoordinatorCutOff, 1, 0, 5000},
    {FaultKind::kAllNodesKilled, 1, 0, 300},
    {FaultKind::kNodeStopped, 2, 700, 400},
    {FaultKind::kNodePaused, 2, 300, 4000},
    {FaultKind::kStoreSilent, 1, 0, 4000},
    {FaultKind::kBackendCrashes, 3, 50, 3000},
    {FaultKind::kBackendDrains, 4, 250, 1500},
    {FaultKind::kConfigurationChanges, 6, 120, 0},
}};
constexpr std::array<Series, 32> kConfigurationSeries = {{
    {FaultKind::kDrawnChange, 1, 0, 0},
    {FaultKind::kDrawnChange, 8, 30, 0},
    {FaultKind::kDrawnChange, 6, 120, 0},
    {FaultKind::kDrawnChange, 5, 400, 0},
    {FaultKind::kDrawnChange, 3, 900, 0},
    {FaultKind::kDrawnChange, 3, 2500, 0},
    {FaultKind::kDrawnChange, 2, 50, 0},
    {FaultKind::kDrawnChange, 2, 1500, 0},
    {FaultKind::kConfigurationDamaged, 1, 0, 0},
    {FaultKind::kConfigurationDamaged, 2, 900, 0},
    {FaultKind::kNodePaused, 3, 10, 3500},
    {FaultKind::kNodePaused, 6, 150, 900},
    {FaultKind::kNodeStopped, 4, 700, 400},
    {FaultKind::kNodeReloads, 6, 150, 0},
    {FaultKind::kNodeKilled, 3, 300, 600},
    {FaultKind::kCoordinatorKilled, 2, 1500, 400},
    {FaultKind::kAllNodesKilled, 1, 0, 300},
    {FaultKind::kLinksDelayed, 3, 200, 4000},
    {FaultKind::kLinksOneWay, 2, 300, 3000},
    {FaultKind::kLinksSilent, 3, 200, 3000},
    {FaultKind::kNodesCutOff, 1, 0, 5000},
    {FaultKind::kStoreRefusesSome, 1, 0, 7000},
    {FaultKind::kStoreCompacts, 1, 0, 0},
    {FaultKind::kStoreLosesAnswers, 1, 0, 3000},
    {FaultKind::kStoreSlow, 1, 0, 4000},
    {FaultKind::kStoreSilent, 1, 0, 3000},
    {FaultKind::kStoreUnavailable, 1, 0, 3000},
    {FaultKind::kStoreSilentForOne, 2, 500, 4000},
    {FaultKind::kStoreConnectionsSilent, 3, 400, 0},
    {FaultKind::kConnectionsSilent, 1, 0, 0},
    {FaultKind::kAnswersEndless, 3, 300, 4000},
    {FaultKind::kBackendDrains, 8, 250, 1500},
}};
/// A late row comes after the registration of the crashed back end has expired.
constexpr std::array<Series, 16> kRegistrationSeries = {{
    {FaultKind::kLateRegistration, 1, 0, 3000},
    {FaultKind::kLateRegistration, 1, 0, 5000},
    {FaultKind::kLateRegistration, 3, 400, 2500},
    {FaultKind::kLateRegistration, 2, 900, 4000},
    {FaultKind::kForeignRegistration, 1, 0, 4000},
    {FaultKind::kForeignRegistration, 5, 150, 2500},
    {FaultKind::kForeignRegistration, 3, 700, 6000},
    {FaultKind::kNodeStopped, 4, 700, 400},
    {FaultKind::kNodeKilled, 3, 300, 600},
    {FaultKind::kCoordinatorKilled, 2, 1500, 400},
    {FaultKind::kAllNodesKilled, 1, 0, 300},
    {FaultKind::kBackendCrashes, 2, 300, 1500},
    {FaultKind::kAddressReused, 1, 0, 2000},
    {FaultKind::kBackendCutFromStore, 3, 300, 4000},
    {FaultKind::kStoreSilent, 1, 0, 3000},
    {FaultKind::kConnectionsSilent, 1, 0, 0},
}};
/// Of the draws, so many in ten begin a series; the others are single faults.
constexpr uint64_t kSeriesInTen = 6;
constexpr uint64_t kTenths = 10;

/// What a seed draws, in order.
class Draw {
 public:
  explicit Draw(uint64_t seed) : random_(seed) {}

  uint64_t Below(uint64_t end) { return random_() % end; }
  int64_t Between(int64_t least, int64_t most) {
    return least + static_cast<int64_t>(Below(static_cast<uint64_t>(most - least + 1)));
  }
  FaultKind SingleKind() { return SingleKinds().at(Below(kSingleKinds)); }
  /// Calls `strike` with each moment at which faults begin, and with the end, in milliseconds.
  template <typename Strike>
  void AtMoments(Duration length, Strike strike) {
    const int64_t end = absl::ToInt64Milliseconds(length);
    for (int64_t at = Between(0, kMeanPauseMs); at + kShortestMs < end;
         at += Between(0, 2 * kMeanPauseMs)) {
      strike(at, end);
    }
  }

 private:
  std::mt19937_64 random_;
};

[[noreturn]] void Refuse(size_t line, const std::string& what) {
  throw Error(ResultCode::kMalformedMessage, absl::StrCat("schedule, line ", line, ": ", what));
}

SoakFault ParseFault(const std::string& text, size_t line) {
  const std::vector<std::string> words = absl::StrSplit(text, ' ', absl::SkipEmpty());
  constexpr size_t kWords = 4;
  if (words.size() != kWords) {
    Refuse(line, "wanted a kind, two times in milliseconds and a target");
  }
  const auto name = std::find(kNames.begin(), kNames.end(), words[0]);
  if (name == kNames.end()) {
    Refuse(line, absl::StrCat("no fault is named ", words[0]));
  }
  int64_t at = 0;
  int64_t lasts = 0;
  SoakFault fault;
  fault.kind = static_cast<FaultKind>(name - kNames.begin());
  if (!absl::SimpleAtoi(words[1], &at) || !absl::SimpleAtoi(words[2], &lasts) ||
      !absl::SimpleAtoi(words[3], &fault.target) || at < 0 || lasts < 0) {
    Refuse(line, "a number is not one");
  }
  fault.at = absl::Milliseconds(at);
  fault.lasts = absl::Milliseconds(lasts);
  return fault;
}

std::vector<SoakFault> DrawSeriesOf(std::span<const Series> all, uint64_t seed, Duration length) {
  Draw draw(seed);
  std::vector<SoakFault> schedule;
  draw.AtMoments(length, [&](int64_t at, int64_t end) {
    const uint64_t target = draw.Below(kTargets);
    Series series = {draw.SingleKind(), 1, 0, draw.Between(kShortestMs, kLongestMs)};
    if (draw.Below(kTenths) < kSeriesInTen) {
      series = all[draw.Below(all.size())];
    }
    for (uint64_t step = 0; step < series.steps; ++step) {
      const int64_t begins = at + static_cast<int64_t>(step) * series.gap_ms;
      if (begins + kShortestMs < end) {
        const int64_t lasts = std::min(series.lasts_ms, end - begins);
        schedule.push_back(
            {series.kind, absl::Milliseconds(begins), absl::Milliseconds(lasts), target + step});
      }
    }
  });
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const SoakFault& a, const SoakFault& b) { return a.at < b.at; });
  return schedule;
}

}  // namespace

std::string_view NameOf(FaultKind kind) { return kNames.at(static_cast<size_t>(kind)); }

std::vector<SoakFault> DrawSchedule(uint64_t seed, Duration length) {
  Draw draw(seed);
  std::vector<SoakFault> schedule;
  draw.AtMoments(length, [&](int64_t at, int64_t end) {
    SoakFault fault;
    fault.kind = draw.SingleKind();
    fault.at = absl::Milliseconds(at);
    fault.lasts = absl::Milliseconds(std::min(draw.Between(kShortestMs, kLongestMs), end - at));
    fault.target = draw.Below(kTargets);
    schedule.push_back(fault);
  });
  return schedule;
}

std::vector<SoakFault> DrawSeries(uint64_t seed, Duration length) {
  return DrawSeriesOf(kSeries, seed, length);
}

std::vector<SoakFault> DrawRests(uint64_t seed, Duration length) {
  return DrawSeriesOf(kRestSeries, seed, length);
}

std::vector<SoakFault> DrawLimits(uint64_t seed, Duration length) {
  return DrawSeriesOf(kLimitSeries, seed, length);
}

std::vector<SoakFault> DrawChanges(uint64_t seed, Duration length) {
  return DrawSeriesOf(kChangeSeries, seed, length);
}

std::vector<SoakFault> DrawPathCuts(uint64_t seed, Duration length) {
  return DrawSeriesOf(kPathSeries, seed, length);
}

std::vector<SoakFault> DrawCrashes(uint64_t seed, Duration length) {
  std::vector<SoakFault> schedule = DrawSeriesOf(kCrashSeries, seed, length);
  schedule.insert(schedule.begin(), {kFirstCrashSeries.kind, absl::ZeroDuration(), length, seed});
  return schedule;
}

std::vector<SoakFault> DrawSharedCrashes(uint64_t seed, Duration length) {
  std::vector<SoakFault> schedule = DrawSeriesOf(kSharedCrashSeries, seed, length);
  schedule.insert(schedule.begin(),
                  {kFirstSharedCrashSeries.kind, absl::ZeroDuration(), length, seed});
  return schedule;
}

std::vector<SoakFault> DrawConfigurations(uint64_t seed, Duration length) {
  return DrawSeriesOf(kConfigurationSeries, seed, length);
}

std::vector<SoakFault> DrawRegistrations(uint64_t seed, Duration length) {
  return DrawSeriesOf(kRegistrationSeries, seed, length);
}

std::string FormatSchedule(const std::vector<SoakFault>& schedule) {
  std::string text;
  for (const SoakFault& fault : schedule) {
    absl::StrAppend(&text, std::string(NameOf(fault.kind)), " ",
                    absl::ToInt64Milliseconds(fault.at), " ",
                    absl::ToInt64Milliseconds(fault.lasts), " ", fault.target, "\n");
  }
  return text;
}

std::vector<SoakFault> ParseSchedule(const std::string& text) {
  std::vector<SoakFault> schedule;
  size_t number = 0;
  for (const std::string& line : std::vector<std::string>(absl::StrSplit(text, '\n'))) {
    ++number;
    if (!line.empty() && line.front() != '#') {
      schedule.push_back(ParseFault(line, number));
    }
  }
  return schedule;
}

}  // namespace ladderstream::fleet
