#include "simulation/environment.h"

#include <algorithm>

namespace ladderstream::simulation {
namespace {

/// Each clock stays within this share of the drift bound, so that any two keep it.
constexpr double kShareOfDrift = 0.49;

}  // namespace

Environment::Environment(uint64_t seed, double max_clock_drift, const NetworkSettings& network)
    : random_(seed), max_clock_drift_(max_clock_drift), network_(network) {}

double Environment::Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

Duration Environment::DrawDuration(Duration min, Duration max) {
  return min + (max - min) * Draw();
}

HostId Environment::AddHost(const std::string& name) {
  Host host;
  host.name = name;
  host.clock_offset = absl::Hours(Draw() + 1);
  host.clock_rate = 1 + max_clock_drift_ * kShareOfDrift * (2 * Draw() - 1);
  hosts_.push_back(std::move(host));
  return hosts_.size() - 1;
}

Time Environment::LocalTime(HostId host) const {
  const Host& at = hosts_[host];
  return absl::UnixEpoch() + at.clock_offset + (now_ - absl::UnixEpoch()) * at.clock_rate;
}

Time Environment::TrueTime(HostId host, Time local) const {
  return now_ + (local - LocalTime(host)) / hosts_[host].clock_rate;
}

void Environment::Crash(HostId host) {
  hosts_[host].alive = false;
  ++hosts_[host].process;
}

void Environment::Restart(HostId host) {
  hosts_[host].alive = true;
  hosts_[host].paused_until = absl::InfinitePast();
  hosts_[host].pause_after_decision = absl::ZeroDuration();
}

void Environment::Pause(HostId host, Duration duration) {
  hosts_[host].paused_until = std::max(hosts_[host].paused_until, now_ + duration);
}

void Environment::PauseAfterNextDecision(HostId host, Duration duration) {
  hosts_[host].pause_after_decision = duration;
}

void Environment::Conclude(HostId host, std::function<void()> effects) {
  const Duration pause = std::exchange(hosts_[host].pause_after_decision, absl::ZeroDuration());
  if (pause == absl::ZeroDuration()) {
    effects();
    return;
  }
  Pause(host, pause);
  AtHost(host, absl::ZeroDuration(), std::move(effects));
}

void Environment::At(Time at, std::function<void()> action) {
  events_.push({std::max(at, now_), next_order_++, std::move(action)});
}

void Environment::AtHost(HostId host, Duration delay, std::function<void()> action) {
  At(now_ + delay, [this, host, process = hosts_[host].process, action = std::move(action)] {
    RunAtHost(host, process, action);
  });
}

void Environment::RunAtHost(HostId host, uint64_t process, const std::function<void()>& action) {
  if (!hosts_[host].alive || hosts_[host].process != process) {
    return;
  }
  if (hosts_[host].paused_until > now_) {
    At(hosts_[host].paused_until,
       [this, host, process, action] { RunAtHost(host, process, action); });
    return;
  }
  action();
}

void Environment::Heal(HostId from, HostId to) {
  const auto found = cuts_.find(std::pair(from, to));
  if (found != cuts_.end()) {
    cuts_.erase(found);
  }
}

void Environment::SetQuiet() {
  network_.loss = 0;
  network_.duplication = 0;
  network_.late = 0;
}

bool Environment::IsLost(HostId from, HostId to) {
  return cuts_.contains(std::pair(from, to)) || Draw() < network_.loss;
}

void Environment::Transmit(HostId from, HostId to, const std::function<void()>& arrive) {
  TransmitOnce(from, to, arrive);
  if (Draw() < network_.duplication) {
    TransmitOnce(from, to, arrive);
  }
}

void Environment::TransmitOnce(HostId from, HostId to, const std::function<void()>& arrive) {
  if (IsLost(from, to)) {
    return;
  }
  Duration delay = DrawDuration(network_.delay_min, network_.delay_max);
  if (Draw() < network_.late) {
    delay += DrawDuration(absl::ZeroDuration(), network_.late_max);
  }
  AtHost(to, delay, arrive);
}

bool Environment::Step(Time end) {
  if (events_.empty() || events_.top().at > end) {
    now_ = end;
    return false;
  }
  const Event event = events_.top();
  events_.pop();
  now_ = event.at;
  event.action();
  return true;
}

}  // namespace ladderstream::simulation
