// True time, hosts with clocks of their own, and the network between them, for one simulated run.
//
// A host is where one process runs; a crash ends its process and a restart begins another. Events
// for a paused host wait until it wakes. Not thread-safe; the same seed gives the same run.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "wire/time.h"

namespace ladderstream::simulation {

/// The index of a host.
using HostId = size_t;

/// Something that must always hold did not.
class InvariantViolation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct NetworkSettings {
  Duration delay_min = absl::Microseconds(200);
  Duration delay_max = absl::Milliseconds(4);
  /// Shares of messages that are lost, sent twice, or held back for up to `late_max`.
  double loss = 0.01;
  double duplication = 0.01;
  double late = 0.01;
  Duration late_max = absl::Milliseconds(400);
};

class Environment {
 public:
  Environment(uint64_t seed, double max_clock_drift, const NetworkSettings& network);

  Time now() const { return now_; }
  /// Gives a number in [0, 1).
  double Draw();
  uint64_t DrawNumber() { return random_(); }
  Duration DrawDuration(Duration min, Duration max);

  HostId AddHost(const std::string& name);
  const std::string& NameOf(HostId host) const { return hosts_[host].name; }
  bool IsAlive(HostId host) const { return hosts_[host].alive; }
  bool IsPaused(HostId host) const { return hosts_[host].paused_until > now_; }
  /// Reads the host's clock.
  Time LocalTime(HostId host) const;
  /// When the host's clock shows `local`.
  Time TrueTime(HostId host, Time local) const;

  void Crash(HostId host);
  void Restart(HostId host);
  void Pause(HostId host, Duration duration);
  /// Pauses the host between its next decision and what comes of it.
  void PauseAfterNextDecision(HostId host, Duration duration);
  /// Runs `effects` of a decision that the host just took; later if it is to be paused first.
  void Conclude(HostId host, std::function<void()> effects);

  /// Gives `call`, to be run only as long as the host's present process lives.
  template <typename Argument>
  std::function<void(const Argument&)> Guard(HostId host,
                                             std::function<void(const Argument&)> call) const {
    return [this, host, process = hosts_[host].process, call](const Argument& argument) {
      if (hosts_[host].alive && hosts_[host].process == process) {
        call(argument);
      }
    };
  }

  /// Cuts messages from one host to another, until as many calls of Heal.
  void Cut(HostId from, HostId to) { cuts_.emplace(from, to); }
  void Heal(HostId from, HostId to);
  /// From now on nothing is lost, doubled or late.
  void SetQuiet();

  /// Runs `action` at a moment of true time, whatever happens to hosts.
  void At(Time at, std::function<void()> action);
  /// Runs `action` at the host after `delay`, unless its process has ended.
  void AtHost(HostId host, Duration delay, std::function<void()> action);
  /// Sends a message: `arrive` runs at the receiver if it arrives.
  void Transmit(HostId from, HostId to, const std::function<void()>& arrive);
  /// The same over a connection: never doubled.
  void TransmitOnce(HostId from, HostId to, const std::function<void()>& arrive);

  /// Runs the next event unless it is after `end`; gives false then.
  bool Step(Time end);

 private:
  struct Host {
    std::string name;
    bool alive = true;
    /// Counts the processes that ran here.
    uint64_t process = 0;
    Time paused_until = absl::InfinitePast();
    Duration pause_after_decision = absl::ZeroDuration();
    Duration clock_offset = absl::ZeroDuration();
    double clock_rate = 1;
  };

  struct Event {
    Time at;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  bool IsLost(HostId from, HostId to);
  void RunAtHost(HostId host, uint64_t process, const std::function<void()>& action);

  Time now_ = absl::FromUnixSeconds(0);
  std::mt19937_64 random_;
  double max_clock_drift_;
  NetworkSettings network_;
  std::vector<Host> hosts_;
  std::multiset<std::pair<HostId, HostId>> cuts_;
  uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace ladderstream::simulation
