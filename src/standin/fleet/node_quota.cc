#include "standin/fleet/node_quota.h"

#include <csignal>
#include <ctime>
#include <optional>
#include <utility>

namespace ladderstream::fleet {
namespace {

constexpr Duration kPeriod = absl::Milliseconds(100);

/// The processor time that a process has used; empty when it has ended.
std::optional<Duration> ProcessorTimeOf(pid_t process) {
  clockid_t clock{};
  timespec used{};
  if (clock_getcpuclockid(process, &clock) != 0 || clock_gettime(clock, &used) != 0) {
    return std::nullopt;
  }
  return absl::DurationFromTimespec(used);
}

}  // namespace

NodeQuota::NodeQuota(NodeProcesses* nodes, double share, std::function<bool(size_t)> is_paused)
    : nodes_(nodes),
      share_(kPeriod * share),
      is_paused_(std::move(is_paused)),
      spendings_(nodes->count()) {}

void NodeQuota::Enforce(Time now) {
  const bool new_period = now >= period_end_;
  if (new_period) {
    period_end_ = now + kPeriod;
  }
  for (size_t node = 0; node < spendings_.size(); ++node) {
    if (!is_paused_(node) && nodes_->IsRunning(node)) {
      Check(node, new_period);
    }
  }
}

void NodeQuota::Check(size_t node, bool new_period) {
  Spending& spending = spendings_[node];
  const pid_t process = nodes_->group().ProcessId(nodes_->nodes()[node].name);
  const std::optional<Duration> used = ProcessorTimeOf(process);
  if (!used.has_value()) {
    return;
  }
  if (new_period || process != spending.process) {
    if (std::exchange(spending.stopped, false)) {
      nodes_->Signal(node, SIGCONT);
    }
    spending = {process, *used, false};
  } else if (!spending.stopped && *used - spending.at_period_start > share_) {
    nodes_->Signal(node, SIGSTOP);
    spending.stopped = true;
  }
}

}  // namespace ladderstream::fleet
