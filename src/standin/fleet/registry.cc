#include "standin/fleet/registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

constexpr int kBeatsMissed = 3;
constexpr Duration kSweepInterval = absl::Milliseconds(200);
constexpr char kSoftwareVersion[] = "v1";

store::RowKey RowOf(const std::string& id) {
  return {.table = wire::kBackendTable, .partition = "", .key = id};
}

std::string EncodeBackend(const catalog::Backend& backend, uint64_t sequence) {
  nlohmann::json row = {{"service", backend.service},
                        {"address", FormatEndpoint(backend.address)},
                        {"zone", backend.zone},
                        {"version", kSoftwareVersion},
                        {"slots", backend.slots},
                        {"state", backend.draining ? "draining" : "ready"},
                        {"cold_left_s", absl::ToDoubleSeconds(backend.cold_left)},
                        {"seq", sequence}};
  if (backend.started_at_ms > 0) {
    row["born"] = backend.started_at_ms;
  }
  return row.dump();
}

}  // namespace

Registry::Registry(EventLoop* loop, StoreServer* store, History* history, Duration heartbeat)
    : loop_(loop), store_(store), history_(history), heartbeat_(heartbeat) {
  loop_->Every(kSweepInterval, [this] { DropSilent(); });
}

bool Registry::Beat(const catalog::Backend& backend) {
  const auto found = entries_.find(backend.id);
  const uint64_t sequence = found == entries_.end() ? 1 : found->second.sequence + 1;
  const bool changed = found == entries_.end() || found->second.backend != backend;
  store::Transaction transaction;
  if (changed) {
    transaction.puts.push_back({RowOf(backend.id), EncodeBackend(backend, sequence)});
  }
  TransactionResult result;
  if (!store_->Transact(transaction, &result)) {
    return false;
  }
  const bool was_draining = found != entries_.end() && found->second.backend.draining;
  entries_[backend.id] = {.backend = backend, .last_beat = EventLoop::Now(), .sequence = sequence};
  if (backend.draining && !was_draining) {
    NoteLeaving(backend.id);
  } else if (!backend.draining && sequence == 1) {
    NoteBack(backend.id);
  }
  return true;
}

bool Registry::Remove(const std::string& id) { return !entries_.contains(id) || Drop(id); }

bool Registry::Drop(const std::string& id) {
  store::Transaction transaction;
  transaction.removals.push_back(RowOf(id));
  TransactionResult result;
  if (!store_->Transact(transaction, &result)) {
    return false;
  }
  const bool was_draining = entries_.at(id).backend.draining;
  entries_.erase(id);
  if (!was_draining) {
    NoteLeaving(id);
  }
  return true;
}

void Registry::NoteLeaving(const std::string& id) {
  history_->leaves.push_back(
      {.backend = id, .at = EventLoop::Now(), .until = absl::InfiniteFuture()});
}

void Registry::NoteBack(const std::string& id) {
  for (LeaveEvent& event : history_->leaves) {
    if (event.backend == id) {
      event.until = std::min(event.until, EventLoop::Now());
    }
  }
}

void Registry::DropSilent() {
  // After an outage, everybody has the time of one round to be heard again.
  const Time now = EventLoop::Now();
  const Time heard_since = std::max(now - heartbeat_ * kBeatsMissed, store_->sound_since());
  if (now - store_->sound_since() < heartbeat_ * 2) {
    return;
  }
  std::vector<std::string> silent;
  for (const auto& [id, entry] : entries_) {
    if (entry.last_beat < heard_since) {
      silent.push_back(id);
    }
  }
  for (const std::string& id : silent) {
    Drop(id);
  }
}

}  // namespace ladderstream::fleet
