#include "bench/partition_model.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <queue>

#include "bench/partition_traffic.h"

namespace ladderstream::bench {
namespace {

using ownership::Key;
using ownership::KeyRange;
using partition::PartitionBackend;

constexpr Duration kReportEvery = absl::Milliseconds(300);
constexpr Duration kReportLag = absl::Milliseconds(40);
constexpr Duration kProposeEvery = absl::Milliseconds(400);
/// Keys on the move have no owner for this long.
constexpr Duration kMoveTime = absl::Milliseconds(100);
constexpr Duration kRetryAfter = absl::Milliseconds(60);
constexpr uint32_t kMaxTries = 3;
constexpr Duration kIncidentAt = absl::Seconds(15);
constexpr Duration kIncidentLength = absl::Seconds(8);
constexpr double kSlowFactor = 4;
constexpr double kBurstFactor = 1.5;
constexpr double kSpeeds[] = {0.6, 1.0, 1.4};

struct SimulatedBackend {
  PartitionBackend info;
  double speed = 1;
  bool alive = true;
  /// When each slot is free again.
  std::vector<Time> slots;
  /// When the requests that wait will start.
  std::deque<Time> starts;
  uint32_t unqueued = 0;
  Duration unqueued_work;
};

struct Request {
  Time at;
  Time first_try;
  Key key = 0;
  uint32_t tries = 0;
  bool counted = false;
  bool operator>(const Request& other) const { return at > other.at; }
};

struct OngoingMove {
  KeyRange range;
  std::string to;
  Time done;
};

class Model {
 public:
  Model(const PartitionScenario& scenario, PartitionPolicy& policy, uint64_t seed);
  PartitionResult Run();

 private:
  void AddBackend();
  void Serve(Request request);
  void Fail(Request request);
  void Report(Time now);
  void Propose(Time now);
  void FinishMoves(Time now);
  void StartIncident();
  void EndIncident();
  void Assign(const KeyRange& range, const std::string& owner);
  std::vector<PartitionBackend> Views() const;

  const PartitionScenario& scenario_;
  PartitionPolicy& policy_;
  PartitionTraffic traffic_;
  std::vector<SimulatedBackend> backends_;
  ownership::Assignments assignments_;
  std::vector<OngoingMove> moves_;
  std::map<Key, double> counts_;
  std::priority_queue<Request, std::vector<Request>, std::greater<>> requests_;
  PartitionResult result_;
  double propose_us_ = 0;
  uint64_t proposals_ = 0;
};

Model::Model(const PartitionScenario& scenario, PartitionPolicy& policy, uint64_t seed)
    : scenario_(scenario), policy_(policy), traffic_(scenario, seed) {
  for (uint32_t i = 0; i < scenario_.backends; ++i) {
    AddBackend();
  }
  assignments_ = {{{0, ownership::kLastKey}, "", 0}};
}

void Model::AddBackend() {
  SimulatedBackend backend;
  backend.info.id = absl::StrCat("backend-", 100 + backends_.size());
  backend.info.slots = scenario_.slots;
  backend.speed = kSpeeds[backends_.size() % std::size(kSpeeds)];
  backend.slots.assign(scenario_.slots, absl::UnixEpoch());
  backends_.push_back(std::move(backend));
}

void Model::Fail(Request request) {
  if (request.tries < kMaxTries) {
    request.at += kRetryAfter;
    requests_.push(request);
  }
}

void Model::Serve(Request request) {
  if (!request.counted) {
    counts_[request.key] += 1;
    request.counted = true;
  }
  for (const OngoingMove& move : moves_) {
    if (move.range.Contains(request.key)) {
      request.at = move.done;
      requests_.push(request);
      return;
    }
  }
  ++request.tries;
  const auto owner =
      std::find_if(assignments_.begin(), assignments_.end(),
                   [&](const ownership::Assignment& a) { return a.range.Contains(request.key); });
  const auto backend =
      std::find_if(backends_.begin(), backends_.end(),
                   [&](const SimulatedBackend& b) { return b.info.id == owner->owner; });
  if (backend == backends_.end() || !backend->alive) {
    Fail(request);
    return;
  }
  while (!backend->starts.empty() && backend->starts.front() <= request.at) {
    backend->starts.pop_front();
  }
  if (backend->starts.size() >= scenario_.queue) {
    Fail(request);
    return;
  }
  const auto slot = std::min_element(backend->slots.begin(), backend->slots.end());
  const Time start = std::max(request.at, *slot);
  const Duration work = traffic_.DrawWork() / backend->speed;
  if (start > request.at) {
    backend->starts.push_back(start);
  } else {
    ++backend->unqueued;
    backend->unqueued_work += work;
  }
  *slot = start + work;
  ++result_.answered;
  result_.in_time += *slot - request.first_try <= scenario_.late_after ? 1 : 0;
}

void Model::Report(Time now) {
  std::vector<partition::KeyCount> counts;
  for (const auto& [key, count] : counts_) {
    counts.push_back({key, count});
  }
  std::vector<partition::ServiceTimeSample> samples;
  for (SimulatedBackend& backend : backends_) {
    samples.push_back({backend.info.id, backend.unqueued, backend.unqueued_work});
    backend.unqueued = 0;
    backend.unqueued_work = absl::ZeroDuration();
  }
  counts_.clear();
  policy_.AddLoad(counts, samples, now + kReportLag);
}

std::vector<PartitionBackend> Model::Views() const {
  std::vector<PartitionBackend> views;
  for (const SimulatedBackend& backend : backends_) {
    if (backend.alive) {
      views.push_back(backend.info);
    }
  }
  return views;
}

void Model::Propose(Time now) {
  std::vector<KeyRange> busy;
  for (const OngoingMove& move : moves_) {
    busy.push_back(move.range);
  }
  const auto begin = std::chrono::steady_clock::now();
  const std::vector<partition::ProposedMove> proposed =
      policy_.Propose(assignments_, busy, Views(), now);
  const auto taken = std::chrono::steady_clock::now() - begin;
  const double us = std::chrono::duration<double, std::micro>(taken).count();
  propose_us_ += us;
  ++proposals_;
  result_.max_propose_us = std::max(result_.max_propose_us, us);
  for (const partition::ProposedMove& move : proposed) {
    const bool first = now <= absl::UnixEpoch();
    moves_.push_back({move.range, move.to, first ? now : now + kMoveTime});
    result_.moves += first ? 0 : 1;
    result_.keys_moved += first ? 0 : move.range.Size() / (ownership::kLastKey + 1.0);
  }
}

void Model::FinishMoves(Time now) {
  for (const OngoingMove& move : moves_) {
    if (move.done <= now) {
      Assign(move.range, move.to);
    }
  }
  std::erase_if(moves_, [&](const OngoingMove& move) { return move.done <= now; });
  result_.most_ranges = std::max(result_.most_ranges, assignments_.size());
}

void Model::Assign(const KeyRange& range, const std::string& owner) {
  ownership::Assignments next;
  const auto append = [&next](const KeyRange& keys, const std::string& id) {
    if (keys.first > keys.last || keys.last > ownership::kLastKey) {
      return;
    }
    if (!next.empty() && next.back().owner == id) {
      next.back().range.last = keys.last;
    } else {
      next.push_back({keys, id, 0});
    }
  };
  for (const ownership::Assignment& old : assignments_) {
    if (old.range.last < range.first || old.range.first > range.last) {
      append(old.range, old.owner);
      continue;
    }
    if (old.range.first < range.first) {
      append({old.range.first, range.first - 1}, old.owner);
    }
    append({std::max(old.range.first, range.first), std::min(old.range.last, range.last)}, owner);
    if (old.range.last > range.last) {
      append({range.last + 1, old.range.last}, old.owner);
    }
  }
  assignments_ = std::move(next);
}

void Model::StartIncident() {
  switch (scenario_.incident) {
    case Incident::kCrash:
      backends_[1].alive = false;
      backends_[5].alive = false;
      break;
    case Incident::kScaleOut:
      for (int i = 0; i < 3; ++i) {
        AddBackend();
      }
      break;
    case Incident::kSlow:
      backends_[1].speed /= kSlowFactor;
      backends_[5].speed /= kSlowFactor;
      break;
    case Incident::kBurst:
      traffic_.set_factor(kBurstFactor);
      break;
    case Incident::kNone:
      break;
  }
}

void Model::EndIncident() {
  traffic_.set_factor(1);
  if (scenario_.incident == Incident::kSlow) {
    backends_[1].speed *= kSlowFactor;
    backends_[5].speed *= kSlowFactor;
  }
}

PartitionResult Model::Run() {
  const Time start = absl::UnixEpoch();
  const Time end = start + scenario_.length;
  Time arrival = start;
  Time report = start + kReportEvery;
  Time propose = start;
  bool incident_due = true;
  bool recovery_due = true;
  for (Time now = start; now < end;) {
    const Time retry = requests_.empty() ? absl::InfiniteFuture() : requests_.top().at;
    now = std::min({arrival, report, propose, retry});
    FinishMoves(now);
    if (incident_due && now >= start + kIncidentAt) {
      incident_due = false;
      StartIncident();
    }
    if (recovery_due && now >= start + kIncidentAt + kIncidentLength) {
      recovery_due = false;
      EndIncident();
    }
    if (now == propose) {
      Propose(now);
      propose += kProposeEvery;
    } else if (now == report) {
      Report(now);
      report += kReportEvery;
    } else if (now == retry) {
      const Request request = requests_.top();
      requests_.pop();
      Serve(request);
    } else {
      ++result_.requests;
      Serve({now, now, traffic_.DrawKey(now), 0, false});
      arrival += traffic_.DrawGap(now);
    }
  }
  result_.mean_propose_us = propose_us_ / static_cast<double>(proposals_);
  return result_;
}

}  // namespace

PartitionResult RunPartitionModel(const PartitionScenario& scenario, PartitionPolicy& policy,
                                  uint64_t seed) {
  return Model(scenario, policy, seed).Run();
}

}  // namespace ladderstream::bench
