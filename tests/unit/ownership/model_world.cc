#include "model_world.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

#include "scripted_partitioner.h"

namespace ladderstream::ownership {
namespace {

constexpr Duration kFaultDuration = absl::Seconds(25);
constexpr Duration kRecovery = absl::Seconds(15);
/// Balancing continues to move keys, so within this window before the end each key must be found
/// held and served at least once.
constexpr Duration kSettledWindow = absl::Seconds(1);
constexpr Duration kSettledCheckInterval = absl::Milliseconds(100);
constexpr size_t kTraceLines = 120;
constexpr size_t kRequestKeys = 10;
constexpr uint32_t kRandomMovesPercent = 25;

}  // namespace

ModelWorld::ModelWorld(uint64_t seed, const ModelOptions& options)
    : random_(seed), now_(absl::UnixEpoch()), options_(options) {
  settings_.commit_limits = options.commit_limits;
  partition::Script() = {{}, kRandomMovesPercent, seed};
  faults_end_ = now_ + kFaultDuration;
  services_.emplace_back("boards");
  if (Chance(40)) {
    services_.emplace_back("cards");
  }
  if (Chance(30)) {
    store_.SetVersionError(1 + Draw(2));
  }
  if (Chance(30)) {
    settings_.fences_before_new_epoch = 5;
  }
  if (Chance(30) && !options_.only_path_cuts) {
    // May be shorter than the time for which a map stays usable.
    settings_.hold = absl::Milliseconds(1000 + Draw(16) * 500);
    settings_.hold_renewal = std::min(settings_.hold_renewal, settings_.hold / 4);
  }
  if (Chance(30)) {
    settings_.lease = absl::Milliseconds(2500 + Draw(12) * 500);
  }
  for (const std::string& service : services_) {
    const uint64_t count = 3 + Draw(4);
    for (uint64_t i = 0; i < count; ++i) {
      StartBackend(service, ++last_port_);
    }
  }
  for (size_t i = 0; i < kRequestKeys; ++i) {
    keys_.push_back(static_cast<Key>(Draw(kLastKey + 1)));
  }
  nodes_.resize(3 + Draw(3));
  for (size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].index = i;
    nodes_[i].address = {"node", static_cast<uint16_t>(i)};
    After(DrawMs(0, 300), [this, i] { StartNode(i); });
  }
  After(absl::Milliseconds(100), [this] { HeartbeatLoop(); });
  After(absl::Seconds(3), [this] { FaultLoop(); });
  if (options_.only_path_cuts) {
    After(absl::Seconds(3), [this] { CheckNoKeyUnowned(); });
  }
  After(absl::Seconds(1), [this] { RequestLoop(); });
  At(faults_end_, [this] {
    Trace("faults end");
    partition::Script().random_moves_percent = 0;
  });
}

ModelWorld::~ModelWorld() = default;

std::string ModelWorld::Run() {
  const Time end = faults_end_ + kRecovery;
  RunUntil(end - kSettledWindow);
  RecordServedKeys();
  while (violation_.empty() && now_ < end) {
    RunUntil(now_ + kSettledCheckInterval);
    RecordServedKeys();
  }
  return violation_.empty() ? CheckSettled() : violation_;
}

void ModelWorld::RunUntil(Time end) {
  while (violation_.empty() && events_.top().at <= end) {
    Scheduled next = events_.top();
    events_.pop();
    now_ = next.at;
    next.event();
  }
  now_ = end;
}

Duration ModelWorld::DrawMs(uint64_t least, uint64_t most) {
  return absl::Milliseconds(least + Draw(most - least + 1)) + absl::Microseconds(Draw(1000));
}

void ModelWorld::At(Time at, Event event) {
  events_.push({std::max(at, now_), ++scheduled_, std::move(event)});
}

void ModelWorld::Trace(const std::string& line) {
  trace_.push_back(absl::StrCat(absl::ToInt64Milliseconds(now_ - absl::UnixEpoch()), "ms ", line));
  if (trace_.size() > kTraceLines) {
    trace_.pop_front();
  }
}

void ModelWorld::ReportViolation(const std::string& what) {
  if (violation_.empty()) {
    violation_ = what;
  }
}

std::string ModelWorld::TraceTail() const { return absl::StrJoin(trace_, "\n"); }

}  // namespace ladderstream::ownership
