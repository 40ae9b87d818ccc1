// The lease: challenge, take over, renew, step down.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"
#include "wire/result_code.h"

namespace ladderstream::ownership {
namespace {

/// Waits between writes that fail; doubled from the first to the last. The holder alone finds out
/// so soon that the store is back: some 30 writes in 8 s of refusals.
constexpr Duration kFirstBackoff = absl::Milliseconds(50);
constexpr Duration kLastHolderBackoff = absl::Milliseconds(300);
constexpr Duration kLastChallengeBackoff = absl::Milliseconds(1600);

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
    return chain_.InFlight() ? chain_.NextGiveUp() : write_not_before_;
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
      Believe(belief::kRowUnreadable, absl::StrCat(row.key.key, ": ", error.what()));
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
    // Without the epoch no fence is known to be high enough.
    watch_.OnFailure(now);
    return;
  }
  ShowReadMap(lease);
  if (watch_.OnRow(lease, version, now)) {
    Challenge(lease, version, now);
  }
}

void Coordinator::Impl::ShowReadMap(const std::optional<LeaseRow>& lease) {
  const MapVersion version{lease ? lease->epoch : 0, 0};
  if (version < map_.version) {
    return;
  }
  map_ = {version, {}};
  for (auto& [service, stored] : ReadServices(read_rows_)) {
    for (const std::string& fault : stored.faults) {
      Believe(belief::kRowUnreadable, fault);
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
  Believe(belief::kLeaseChallenged,
          lease ? absl::StrCat("epoch ", lease->epoch, " of ", FormatEndpoint(lease->peer_address))
                : "there is none");
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
  if (chain_.GiveUp(now) > 0) {
    OnWriteFailed("no answer in time", now);
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
  if (!write_failure_noted_) {
    write_failure_noted_ = true;
    Believe(belief::kStoreWriteFailed, detail);
  }
  const Duration last = role_ == Role::kHolder ? kLastHolderBackoff : kLastChallengeBackoff;
  write_backoff_ = std::clamp(write_backoff_ * 2, kFirstBackoff, last);
  const double share = static_cast<double>((self_.incarnation + last_call_) % 64) / 64;
  write_not_before_ = now + write_backoff_ * (0.5 + share / 2);
}

void Coordinator::Impl::OnChainOutcome(const ChainOutcome& outcome, const store::StoreReply& reply,
                                       Time now) {
  switch (outcome.kind) {
    case ChainOutcome::Kind::kOpen:
      if (reply.status == store::StoreStatus::kUnknown && !chain_.attempts().empty()) {
        OnWriteFailed(absl::StrCat("no answer: ", reply.detail), now);
      }
      return;
    case ChainOutcome::Kind::kNotApplied:
      OnWriteFailed(absl::StrCat("refused: ", reply.detail), now);
      return;
    case ChainOutcome::Kind::kRejected:
      OnCommitRejected(outcome.attempt, reply.detail, now);
      OnWriteFailed(absl::StrCat("rejected: ", reply.detail), now);
      return;
    case ChainOutcome::Kind::kCorrected:
      return;
    case ChainOutcome::Kind::kLost:
      if (role_ != Role::kHolder && !challenging_) {
        return;
      }
      if (role_ == Role::kHolder) {
        StepDown(belief::kLeaseLost, "the row was written by another", now);
      }
      challenging_ = false;
      watch_.OnOvertaken(outcome.other, outcome.other_version, now);
      return;
    case ChainOutcome::Kind::kApplied:
      break;
  }
  write_backoff_ = absl::ZeroDuration();
  write_not_before_ = absl::InfinitePast();
  write_failure_noted_ = false;
  trouble_noted_ = false;
  moves_put_off_noted_ = false;
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
    // Applied after this node had let its challenge go: the rows read with it are not at hand.
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
  lapse_noted_ = false;
  took_over_at_ = now;
  // The challenge succeeded at the version that was known then: whatever confirmed a predecessor's
  // lease last was sent before.
  predecessor_until_ = challenged_known_since_ + settings_.lease * (1 + settings_.clock_drift);
  services_.clear();
  orders_.Clear();
  commit_limits_ = settings_.commit_limits;
  for (const auto& [service, stored] : ReadServices(read_rows_)) {
    AdoptService(service, stored, now);
  }
  read_rows_.clear();
  map_changed_ = true;
  Believe(belief::kLeaseAcquired, absl::StrCat("epoch ", epoch_));
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
  // The predecessor's last grants were cut short, and end no later than a whole one of then.
  const Time last_whole_grant = predecessor_until_ - (settings_.hold - LastHold());
  service.table = RangeTable(stored.row.assignments, last_whole_grant);
  for (const std::string& fault : stored.faults) {
    Believe(belief::kRowUnreadable, fault);
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
    state->last_grant = predecessor_until_;
    state->moving = true;
    state->moving_since = now;
    state->next_fence = NextFence();
  }
}

void Coordinator::Impl::StepDown(std::string_view event, std::string detail, Time now) {
  Believe(event, std::move(detail));
  role_ = Role::kStandby;
  services_.clear();
  orders_.Clear();
  chain_.Forfeit();
  write_backoff_ = absl::ZeroDuration();
  write_not_before_ = absl::InfinitePast();
  watch_.OnOvertaken(std::nullopt, 0, now);
  if (resign_by_) {
    role_ = Role::kResigned;
  }
}

void Coordinator::Impl::NoteLapse(Time now) {
  const bool lapsed = !chain_.Valid(now);
  if (lapsed == lapse_noted_) {
    return;
  }
  lapse_noted_ = lapsed;
  Believe(lapsed ? belief::kLeaseLapsed : belief::kLeaseRegained, absl::StrCat("epoch ", epoch_));
  if (!lapsed) {
    RenewAll(now);
    AskAllSoon(now);
  }
}

void Coordinator::Impl::NoteTrouble(Time now) {
  if (trouble_noted_ || !StoreTroubled(now)) {
    return;
  }
  trouble_noted_ = true;
  RenewAll(now);
}

bool Coordinator::Impl::ResignIfDone(Time now) {
  if (!resign_by_) {
    return false;
  }
  bool half_done = !chain_.attempts().empty() || HasReadyChanges(now);
  for (const auto& [name, service] : services_) {
    half_done = half_done || (IsListed(name) && CountMoves(service) > 0);
  }
  if (half_done && now < *resign_by_) {
    return false;
  }
  StepDown(belief::kResigned, absl::StrCat("epoch ", epoch_), now);
  return true;
}

}  // namespace ladderstream::ownership
