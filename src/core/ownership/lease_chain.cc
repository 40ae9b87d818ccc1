#include "core/ownership/lease_chain.h"

#include <algorithm>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::ownership {

LeaseChain::LeaseChain(const CoordinatorSettings& settings, const NodeIdentity& self)
    : settings_(settings), self_(self) {}

store::RowKey LeaseChain::KeyOf(const std::string& key) const {
  return {settings_.table, settings_.partition, key};
}

void LeaseChain::Restart(store::RowVersion lease_version,
                         const std::map<std::string, store::RowVersion>& rows) {
  if (lease_version != lease_version_) {
    attempts_.clear();
  }
  lease_version_ = lease_version;
  confirmed_nonce_ = 0;
  confirmed_sent_ = absl::InfinitePast();
  rows_.clear();
  for (const auto& [key, version] : rows) {
    rows_[key].version = version;
  }
}

store::Transaction LeaseChain::Begin(CallId call, uint64_t epoch,
                                     std::map<std::string, std::string> rows,
                                     std::vector<OwnershipChange> changes, Time now) {
  const uint64_t nonce = ++last_nonce_;
  store::Transaction transaction;
  transaction.conditions.push_back({KeyOf(kLeaseRowKey), lease_version_});
  const LeaseRow lease{epoch, self_.incarnation, nonce, self_.peer_address};
  transaction.puts.push_back({KeyOf(kLeaseRowKey), EncodeLeaseRow(lease)});
  for (const auto& [key, value] : rows) {
    const auto known = rows_.find(key);
    const store::RowVersion version = known == rows_.end() ? 0 : known->second.version;
    transaction.conditions.push_back({KeyOf(key), version});
    transaction.puts.push_back({KeyOf(key), value});
  }
  LeaseAttempt attempt;
  attempt.call = call;
  attempt.nonce = nonce;
  attempt.epoch = epoch;
  attempt.sent = now;
  attempt.changes = std::move(changes);
  attempt.rows = std::move(rows);
  attempts_.push_back(std::move(attempt));
  return transaction;
}

ChainOutcome LeaseChain::OnReply(CallId call, const store::StoreReply& reply) {
  const auto found =
      std::find_if(attempts_.begin(), attempts_.end(),
                   [call](const LeaseAttempt& attempt) { return attempt.call == call; });
  if (found == attempts_.end()) {
    return {};
  }
  ChainOutcome outcome;
  switch (reply.status) {
    case store::StoreStatus::kDone:
      return Applied(static_cast<size_t>(found - attempts_.begin()), reply.version);
    case store::StoreStatus::kConflict:
      return OnConflict(call, reply);
    case store::StoreStatus::kInvalid:
      outcome.attempt = std::move(*found);
      attempts_.erase(found);
      outcome.kind = ChainOutcome::Kind::kRejected;
      return outcome;
    case store::StoreStatus::kRefused:
    case store::StoreStatus::kHistoryGone:
      attempts_.erase(found);
      outcome.kind = ChainOutcome::Kind::kNotApplied;
      return outcome;
    case store::StoreStatus::kUnknown:
      found->timed_out = true;
      return outcome;
  }
  return outcome;
}

ChainOutcome LeaseChain::Applied(size_t index, store::RowVersion version) {
  ChainOutcome outcome;
  outcome.kind = ChainOutcome::Kind::kApplied;
  outcome.attempt = std::move(attempts_[index]);
  attempts_.clear();
  lease_version_ = version;
  confirmed_nonce_ = outcome.attempt.nonce;
  confirmed_sent_ = outcome.attempt.sent;
  for (const auto& [key, value] : outcome.attempt.rows) {
    rows_[key] = {version, value};
  }
  return outcome;
}

ChainOutcome LeaseChain::OnConflict(CallId call, const store::StoreReply& reply) {
  ChainOutcome outcome;
  outcome.kind = ChainOutcome::Kind::kLost;
  const store::RowKey lease_key = KeyOf(kLeaseRowKey);
  const auto row =
      std::find_if(reply.rows.begin(), reply.rows.end(), [&lease_key](const store::Row& candidate) {
        return candidate.key == lease_key && !candidate.removed && candidate.version != 0;
      });
  if (row == reply.rows.end()) {
    return outcome;
  }
  LeaseRow lease;
  try {
    lease = DecodeLeaseRow(row->value);
  } catch (const Error&) {
    return outcome;
  }
  if (lease.incarnation == self_.incarnation) {
    for (size_t i = 0; i < attempts_.size(); ++i) {
      if (attempts_[i].nonce == lease.nonce) {
        return Applied(i, row->version);
      }
    }
    if (lease.nonce == confirmed_nonce_ && row->version != lease_version_) {
      lease_version_ = row->version;
      attempts_.clear();
      outcome.kind = ChainOutcome::Kind::kCorrected;
      return outcome;
    }
    if (lease.nonce == confirmed_nonce_) {
      return OnOtherRows(call, reply);
    }
  }
  outcome.other = lease;
  outcome.other_version = row->version;
  return outcome;
}

ChainOutcome LeaseChain::OnOtherRows(CallId call, const store::StoreReply& reply) {
  ChainOutcome outcome;
  outcome.kind = ChainOutcome::Kind::kCorrected;
  for (const store::Row& row : reply.rows) {
    if (row.key == KeyOf(kLeaseRowKey)) {
      continue;
    }
    const auto known = rows_.find(row.key.key);
    if (known != rows_.end() && known->second.version == row.version) {
      continue;
    }
    if (known == rows_.end() || known->second.value.empty() || known->second.value != row.value) {
      outcome.kind = ChainOutcome::Kind::kLost;
      return outcome;
    }
    known->second.version = row.version;
  }
  std::erase_if(attempts_, [call](const LeaseAttempt& attempt) { return attempt.call == call; });
  return outcome;
}

size_t LeaseChain::MarkTimedOut(Time now) {
  size_t count = 0;
  for (LeaseAttempt& attempt : attempts_) {
    if (!attempt.timed_out && now - attempt.sent >= settings_.store_timeout) {
      attempt.timed_out = true;
      ++count;
    }
  }
  return count;
}

void LeaseChain::Forfeit() {
  confirmed_sent_ = absl::InfinitePast();
  attempts_.clear();
}

bool LeaseChain::InFlight() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const LeaseAttempt& attempt) { return !attempt.timed_out; });
}

bool LeaseChain::Commits(const std::string& service, Fence fence) const {
  for (const LeaseAttempt& attempt : attempts_) {
    for (const OwnershipChange& change : attempt.changes) {
      if (change.service == service && change.fence == fence) {
        return true;
      }
    }
  }
  return false;
}

Time LeaseChain::NextTimeout() const {
  Time next = absl::InfiniteFuture();
  for (const LeaseAttempt& attempt : attempts_) {
    if (!attempt.timed_out) {
      next = std::min(next, attempt.sent + settings_.store_timeout);
    }
  }
  return next;
}

}  // namespace ladderstream::ownership
