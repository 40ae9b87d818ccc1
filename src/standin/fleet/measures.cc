#include "standin/fleet/measures.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace ladderstream::fleet {
namespace {

using ownership::Key;

constexpr double kKeys = ownership::kLastKey + 1;

/// Follows one range of keys, of which every event concerns all or none.
class RangeFollower {
 public:
  RangeFollower(double share, Measures* measures) : share_(share), measures_(measures) {}

  void Follow(const HoldEvent& event) {
    if (event.kind != HoldEvent::Kind::kGrant) {
      Time& until = held_until_[event.backend];
      until = std::min(until, event.at);
      return;
    }
    if (owner_ != event.backend) {
      measures_->churn += owner_.empty() ? 0 : share_;
      owner_ = event.backend;
    }
    NoteGap(event.at);
    Time& until = held_until_[event.backend];
    until = std::max(until, event.until);
  }

 private:
  /// Somebody holds the keys again, from `now`.
  void NoteGap(Time now) {
    Time covered = absl::InfinitePast();
    for (const auto& [backend, until] : held_until_) {
      covered = std::max(covered, until);
    }
    if (covered > absl::InfinitePast() && now > covered) {
      measures_->unavailable = std::max(measures_->unavailable, now - covered);
    }
  }

  double share_;
  Measures* measures_;
  std::string owner_;
  std::map<std::string, Time> held_until_;
};

void MeasureOwnership(const std::vector<const HoldEvent*>& events, Measures* measures) {
  std::set<Key> boundaries = {0, ownership::kLastKey + 1};
  for (const HoldEvent* event : events) {
    boundaries.insert(event->range.first);
    boundaries.insert(event->range.last + 1);
  }
  for (auto at = boundaries.begin(); std::next(at) != boundaries.end(); ++at) {
    RangeFollower follower((*std::next(at) - *at) / kKeys, measures);
    for (const HoldEvent* event : events) {
      if (event->range.Contains(*at)) {
        follower.Follow(*event);
      }
    }
  }
}

double ImbalanceOf(const std::map<std::string, Duration>& work) {
  Duration sum;
  Duration most;
  for (const auto& [backend, time] : work) {
    sum += time;
    most = std::max(most, time);
  }
  if (sum == absl::ZeroDuration()) {
    return 0;
  }
  return absl::FDivDuration(most, sum) * static_cast<double>(work.size());
}

}  // namespace

Measures Measure(const History& history) {
  Measures measures;
  std::map<std::string, std::vector<const HoldEvent*>> events;
  for (const HoldEvent& event : history.holds) {
    if (!event.held_up) {
      events[event.service].push_back(&event);
    }
  }
  for (const auto& [service, of_service] : events) {
    MeasureOwnership(of_service, &measures);
  }
  std::map<std::string, std::map<std::string, Duration>> work;
  for (const Arrival& arrival : history.arrivals) {
    if (arrival.ran() && arrival.ended < absl::InfiniteFuture()) {
      work[arrival.service][arrival.backend] += arrival.ended - arrival.begun;
    }
  }
  for (const auto& [service, of_service] : work) {
    measures.imbalance = std::max(measures.imbalance, ImbalanceOf(of_service));
  }
  return measures;
}

}  // namespace ladderstream::fleet
