// The store of the fleet model, and the news that its nodes exchange.
#include <algorithm>
#include <utility>
#include <variant>

#include "fleet_model_state.h"

namespace ladderstream::model {

using quarantine::Fingerprint;

void FleetModel::PollStore(size_t number) {
  Node& node = *nodes_[number];
  const auto call = node.store->Poll(now_);
  ApplyStore(number);
  if (!call.has_value()) {
    return;
  }
  if (store_away_) {
    AtNode(number, absl::Seconds(2), [this, number] { PollStore(number); });
    return;
  }
  AtNode(number, kMessageTime, [this, number, call = *call] {
    nodes_[number]->store->OnReply(call.call, CallStore(call), now_);
    ApplyStore(number);
  });
}

store::StoreReply FleetModel::CallStore(const quarantine::SuspectStore::Call& call) {
  store::StoreReply reply;
  reply.clock = now_ - absl::FromUnixSeconds(7);
  reply.version = store_version_;
  reply.status = store::StoreStatus::kDone;
  if (std::holds_alternative<store::ReadQuery>(call.query)) {
    for (const auto& [key, row] : rows_) {
      reply.rows.push_back(row);
    }
    return reply;
  }
  const auto& transaction = std::get<store::Transaction>(call.query);
  for (const auto& condition : transaction.conditions) {
    const auto row = rows_.find(condition.key.key);
    const store::RowVersion version = row == rows_.end() ? 0 : row->second.version;
    if (version != condition.version) {
      reply.status = store::StoreStatus::kConflict;
    }
    if (row != rows_.end()) {
      reply.rows.push_back(row->second);
    }
  }
  if (reply.status == store::StoreStatus::kConflict) {
    return reply;
  }
  reply.rows.clear();
  ++store_writes_;
  reply.version = ++store_version_;
  for (const auto& put : transaction.puts) {
    rows_[put.key.key] = {put.key, put.value, store_version_};
  }
  for (const auto& removal : transaction.removals) {
    rows_.erase(removal.key);
  }
  return reply;
}

void FleetModel::ApplyStore(size_t number) {
  Node& node = *nodes_[number];
  const auto heard = node.store->TakeHeard();
  if (!heard.empty() && node.dispatcher->OnSuspectsReceived(heard, now_)) {
    PublishOwn(number, /*own=*/false);
  }
  node.dispatcher->suspects().Inherit(node.store->TakeInherited());
  for (const Fingerprint& request : node.store->TakeGrantedTrials()) {
    node.dispatcher->suspects().OnTrialGranted(request, now_);
  }
  for (const Fingerprint& request : node.store->TakeDeniedTrials()) {
    node.dispatcher->suspects().OnTrialDenied(request);
  }
  for (const Fingerprint& request : node.store->TakeCleared()) {
    node.dispatcher->suspects().Release(request, now_);
  }
  if (node.store->IsKnown()) {
    node.dispatcher->SetSuspectsKnown();
  }
}

// News between nodes.

void FleetModel::PublishOwn(size_t number, bool own) {
  Node& node = *nodes_[number];
  node.news.Set(node.dispatcher->suspects().Shared(now_), own, now_);
  if (coordinator_ == number) {
    const auto shared = node.news.ForHeartbeat(now_);
    for (size_t other = 0; other < nodes_.size(); ++other) {
      if (other != number) {
        Deliver(number, other, shared);
      }
    }
  } else if (own && coordinator_) {
    Deliver(number, *coordinator_, node.news.ForReport(now_));
  }
}

void FleetModel::Deliver(size_t from, size_t to,
                         const std::vector<membership::SharedSuspect>& suspects) {
  const int64_t sent_us = membership::TransitClock::Stamp(now_);
  AtNode(to, kMessageTime, [this, sender = nodes_[from]->incarnation, to, suspects, sent_us] {
    const Duration age = nodes_[to]->transit.AgeOf(sender, sent_us, now_);
    const auto records = membership::SuspectExchange::Decode(suspects, now_ - age);
    if (nodes_[to]->dispatcher->OnSuspectsReceived(records, now_)) {
      PublishOwn(to, /*own=*/false);
    }
  });
}

void FleetModel::Report(size_t number) {
  AtNode(number, kReportInterval, [this, number] { Report(number); });
  // Without a coordinator, a node asks another one, and both hear what the other knows.
  const size_t other = coordinator_.value_or(random_() % nodes_.size());
  if (other == number || !nodes_[other]->alive) {
    return;
  }
  Deliver(number, other, nodes_[number]->news.ForReport(now_));
  AtNode(other, 2 * kMessageTime, [this, number, other] {
    Deliver(other, number, nodes_[other]->news.ForHeartbeat(now_));
    if (nodes_[other]->store->IsComplete()) {
      AtNode(number, kMessageTime, [this, number] {
        nodes_[number]->store->OnVouched();
        ApplyStore(number);
      });
    }
  });
}

GuiltyTally FleetModel::Tally(const Fingerprint& request) const {
  GuiltyTally tally;
  const auto ends = ends_.find(request);
  if (ends != ends_.end()) {
    tally.ended = ends->second.size();
  }
  const Time bound = tally.ended >= kCrashesPromised ? ends->second[kCrashesPromised - 1] + kPromise
                                                     : absl::InfiniteFuture();
  for (const Arrival& arrival : guilty_arrivals_) {
    if (arrival.request == request) {
      ++tally.sent;
      tally.sent_late += arrival.at > bound ? 1 : 0;
    }
  }
  return tally;
}

}  // namespace ladderstream::model
