// The lease: challenge, take over, renew, step down.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"
#include "wire/result_code.h"

namespace ladderstream::ownership {
namespace {

/// Delays between failing writes, doubled from the minimum to the maximum. Only the holder retries
/// so often, to detect the end of a store outage soon: some 30 writes in 8 s of refusals.
constexpr Duration kMinBackoff = absl::Milliseconds(50);
constexpr Duration kMaxHolderBackoff = absl::Milliseconds(300);
constexpr Duration kMaxChallengeBackoff = absl::Milliseconds(1600);

}  // namespace

void Coordinator::Impl::StandbyStep(Time now) {
  if (read_call_ && now - read_sent_ >= settings_.store_timeout) {
    ReadFailed(now);
  }
  if (challenging_) {
    WriteStep(now);
  } else if (has_catalog_ && !read_call_ && now >= watch_.ReadDue()) {
    read_rows_.clear();
    StartRead("", now);
  }
}

Time Coordinator::Impl::StandbyWake() const {
  if (challenging_) {
    return chain_.InFlight() ? chain_.NextTimeout() : write_not_before_;
  }
  if (read_call_) {
    return read_sent_ + settings_.store_timeout;
  }
  return has_catalog_ ? watch_.ReadDue() : absl::InfiniteFuture();
}

void Coordinator::Impl::StartRead(const std::string& from_key, Time now) {
  read_call_ = NextCall();
  read_sent_ = now;
  actions_.emplace_back(ReadAction{*read_call_, {settings_.table, settings_.partition, from_key}});
}

void Coordinator::Impl::ReadFailed(Time now) {
  read_call_.reset();
  watch_.OnFailure(now);
}

void Coordinator::Impl::OnRead(const store::StoreReply& reply, Time now) {
  if (reply.status != store::StoreStatus::kDone) {
    ReadFailed(now);
    return;
  }
  read_call_.reset();
  read_rows_.insert(read_rows_.end(), reply.rows.begin(), reply.rows.end());
  if (reply.more && !reply.rows.empty()) {
    StartRead(reply.rows.back().key.key + '\0', now);
    return;
  }
  OnRowsRead(now);
}

bool Coordinator::Impl::FindLeaseRow(std::optional<LeaseRow>* lease, store::RowVersion* version) {
  for (const store::Row& row : read_rows_) {
    if (row.key.key != kLeaseRowKey || row.removed) {
      continue;
    }
    try {
      *lease = DecodeLeaseRow(row.value);
    } catch (const Error& error) {
      ReportStateChange(state_change::kRowUnreadable,
                        absl::StrCat(row.key.key, ": ", error.what()));
      return false;
    }
    *version = row.version;
  }
  return true;
}

void Coordinator::Impl::OnRowsRead(Time now) {
  std::optional<LeaseRow> lease;
  store::RowVersion version = 0;
  if (!FindLeaseRow(&lease, &version)) {
    // Without the epoch of the last holder no fence is certain to be high enough.
    watch_.OnFailure(now);
    return;
  }
  UpdateMapFromRows(lease);
  if (watch_.OnRow(lease, version, now)) {
    Challenge(lease, version, now);
  }
}

void Coordinator::Impl::UpdateMapFromRows(const std::optional<LeaseRow>& lease) {
  const MapVersion version{lease ? lease->epoch : 0, 0};
  if (version < map_.version) {
    return;
  }
  map_ = {version, {}};
  for (auto& [service, stored] : ReadServices(read_rows_)) {
    for (const std::string& fault : stored.faults) {
      ReportStateChange(state_change::kRowUnreadable, fault);
    }
    if (stored.unreadable.empty()) {
      map_.services[service].assignments = std::move(stored.row.assignments);
    }
  }
}

void Coordinator::Impl::Challenge(const std::optional<LeaseRow>& lease, store::RowVersion version,
                                  Time now) {
  challenge_epoch_ = lease ? lease->epoch : 0;
  std::map<std::string, store::RowVersion> versions;
  for (const store::Row& row : read_rows_) {
    if (IsAssignmentKey(row.key.key) && !row.removed) {
      versions[row.key.key] = row.version;
    }
  }
  for (const auto& [name, ownership] : map_.services) {
    for (const Assignment& assignment : ownership.assignments) {
      challenge_epoch_ = std::max(challenge_epoch_, assignment.fence / kFencesPerEpoch);
    }
  }
  ++challenge_epoch_;
  const bool never_held = version == 0 && versions.empty();
  challenged_known_since_ = never_held ? absl::InfinitePast() : watch_.KnownSince(version, now);
  chain_.Restart(version, versions);
  challenging_ = true;
  ReportStateChange(
      state_change::kLeaseChallenged,
      lease ? absl::StrCat("epoch ", lease->epoch, " of ", FormatEndpoint(lease->peer_address))
            : "no lease row in the store");
  WriteStep(now);
}

bool Coordinator::Impl::WriteDue(Time now) const {
  if (chain_.InFlight() || now < write_not_before_) {
    return false;
  }
  return challenging_ || !chain_.attempts().empty() ||
         now >= chain_.confirmed_sent() + settings_.lease_renewal || HasReadyChanges(now);
}

void Coordinator::Impl::WriteStep(Time now) {
  if (chain_.MarkTimedOut(now) > 0) {
    OnWriteFailed(absl::StrCat("no answer from the store within ",
                               absl::FormatDuration(settings_.store_timeout)),
                  now);
  }
  if (!WriteDue(now)) {
    return;
  }
  std::map<std::string, std::string> rows;
  std::vector<OwnershipChange> changes;
  uint64_t epoch = challenge_epoch_;
  if (role_ == Role::kHolder) {
    epoch = fences_drawn_ < settings_.fences_before_new_epoch ? epoch_ : epoch_ + 1;
    changes = CollectChanges(now, &rows);
  }
  const CallId call = NextCall();
  actions_.emplace_back(
      CommitAction{call, chain_.Begin(call, epoch, std::move(rows), std::move(changes), now)});
}

void Coordinator::Impl::OnWriteFailed(const std::string& detail, Time now) {
  if (!write_failure_reported_) {
    write_failure_reported_ = true;
    ReportStateChange(state_change::kStoreWriteFailed, detail);
  }
  const Duration last = role_ == Role::kHolder ? kMaxHolderBackoff : kMaxChallengeBackoff;
  write_backoff_ = std::clamp(write_backoff_ * 2, kMinBackoff, last);
  const double share = static_cast<double>((self_.incarnation + last_call_) % 64) / 64;
  write_not_before_ = now + write_backoff_ * (0.5 + share / 2);
}

void Coordinator::Impl::OnChainOutcome(const ChainOutcome& outcome, const store::StoreReply& reply,
                                       Time now) {
  switch (outcome.kind) {
    case ChainOutcome::Kind::kOpen:
      if (reply.status == store::StoreStatus::kUnknown && !chain_.attempts().empty()) {
        OnWriteFailed(absl::StrCat("no answer from the store: ", reply.detail), now);
      }
      return;
    case ChainOutcome::Kind::kNotApplied:
      OnWriteFailed(absl::StrCat("refused by the store: ", reply.detail), now);
      return;
    case ChainOutcome::Kind::kRejected:
      OnCommitRejected(outcome.attempt, reply.detail, now);
      OnWriteFailed(absl::StrCat("rejected by the store: ", reply.detail), now);
      return;
    case ChainOutcome::Kind::kCorrected:
      return;
    case ChainOutcome::Kind::kLost:
      if (role_ != Role::kHolder && !challenging_) {
        return;
      }
      if (role_ == Role::kHolder) {
        StepDown(state_change::kLeaseLost, "another node wrote the lease row or a service row",
                 now);
      }
      challenging_ = false;
      watch_.OnSuperseded(outcome.other, outcome.other_version, now);
      return;
    case ChainOutcome::Kind::kApplied:
      break;
  }
  write_backoff_ = absl::ZeroDuration();
  write_not_before_ = absl::InfinitePast();
  write_failure_reported_ = false;
  renewed_for_degraded_store_ = false;
  moves_deferred_reported_ = false;
  if (role_ == Role::kHolder) {
    if (outcome.attempt.epoch > epoch_) {
      epoch_ = outcome.attempt.epoch;
      fences_drawn_ = 0;
      sequence_ = 0;
    }
    ApplyCommitted(outcome.attempt, now);
  } else if (challenging_) {
    TakeOver(outcome.attempt, now);
  } else {
    // Applied after this node had abandoned its challenge; the rows read for it are gone.
    chain_.Forfeit();
    watch_.Begin(now);
  }
  if (role_ == Role::kHolder) {
    watch_.SetHolder(View());
  }
}

void Coordinator::Impl::TakeOver(const LeaseAttempt& attempt, Time now) {
  role_ = Role::kHolder;
  challenging_ = false;
  epoch_ = attempt.epoch;
  fences_drawn_ = 0;
  sequence_ = 0;
  expiry_reported_ = false;
  took_over_at_ = now;
  // The challenge succeeded on the version known at that time, so the write that last confirmed a
  // predecessor's lease was sent earlier.
  predecessor_until_ = challenged_known_since_ + settings_.lease * (1 + settings_.clock_drift);
  services_.clear();
  orders_.Clear();
  commit_limits_ = settings_.commit_limits;
  for (const auto& [service, stored] : ReadServices(read_rows_)) {
    AdoptService(service, stored, now);
  }
  read_rows_.clear();
  map_changed_ = true;
  ReportStateChange(state_change::kLeaseAcquired, absl::StrCat("epoch ", epoch_));
}

Coordinator::Impl::ServiceState& Coordinator::Impl::AddService(const std::string& name) {
  ServiceState& service = services_[name];
  service.name = name;
  service.rows = ServiceRows(name);
  service.partitioner = std::make_unique<partition::Partitioner>(settings_.partition_weights);
  return service;
}

void Coordinator::Impl::AdoptService(const std::string& name, const StoredService& stored,
                                     Time now) {
  ServiceState& service = AddService(name);
  for (const auto& [owner, address] : stored.row.addresses) {
    directory_.AddOwner(owner, name, address);
  }
  service.rows.Adopt(stored);
  service.committed = AssignmentTable(stored.row.assignments);
  // The predecessor's last grants were shortened, and end no later than a full one of that time.
  const Time last_full_grant = predecessor_until_ - (settings_.hold - LastHold());
  service.table = RangeTable(stored.row.assignments, LatestArrival(last_full_grant));
  for (const std::string& fault : stored.faults) {
    ReportStateChange(state_change::kRowUnreadable, fault);
  }
  for (const KeyRange& range : stored.unreadable) {
    WaitOutUnreadable(service, range, now);
  }
}

void Coordinator::Impl::WaitOutUnreadable(ServiceState& service, const KeyRange& range, Time now) {
  service.table.SplitAt(range.first);
  service.table.SplitAt(range.last + 1);
  for (RangeState* state : service.table.Overlapping(range)) {
    state->phase = RangePhase::kReleasing;
    state->last_grant = LatestArrival(predecessor_until_);
    state->moving = true;
    state->moving_since = now;
    state->next_fence = NextFence();
  }
}

void Coordinator::Impl::StepDown(std::string_view event, std::string detail, Time now) {
  ReportStateChange(event, std::move(detail));
  role_ = Role::kStandby;
  services_.clear();
  orders_.Clear();
  chain_.Forfeit();
  write_backoff_ = absl::ZeroDuration();
  write_not_before_ = absl::InfinitePast();
  watch_.OnSuperseded(std::nullopt, 0, now);
  if (resign_by_) {
    role_ = Role::kResigned;
  }
}

void Coordinator::Impl::ReportLeaseValidity(Time now) {
  const bool expired = !chain_.Valid(now);
  if (expired == expiry_reported_) {
    return;
  }
  expiry_reported_ = expired;
  ReportStateChange(expired ? state_change::kLeaseLapsed : state_change::kLeaseRegained,
                    absl::StrCat("epoch ", epoch_));
  if (!expired) {
    RenewAll(now);
    RunAllPartitionersSoon(now);
  }
}

void Coordinator::Impl::RenewIfStoreDegraded(Time now) {
  if (renewed_for_degraded_store_ || !StoreDegraded(now)) {
    return;
  }
  renewed_for_degraded_store_ = true;
  RenewAll(now);
}

bool Coordinator::Impl::ResignIfDone(Time now) {
  if (!resign_by_) {
    return false;
  }
  bool unfinished = !chain_.attempts().empty() || HasReadyChanges(now);
  for (const auto& [name, service] : services_) {
    unfinished = unfinished || (IsListed(name) && CountMoves(service) > 0);
  }
  if (unfinished && now < *resign_by_) {
    return false;
  }
  StepDown(state_change::kResigned, absl::StrCat("epoch ", epoch_), now);
  return true;
}

}  // namespace ladderstream::ownership
