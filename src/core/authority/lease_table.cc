#include "core/authority/lease_table.h"

#include <algorithm>
#include <utility>

namespace ladderstream::authority {

LeaseTable::LeaseTable(const AuthoritySettings& settings)
    : backend_lease_(settings.backend_lease),
      expiry_margin_(settings.expiry_margin),
      max_clock_drift_(settings.replication.max_clock_drift) {}

void LeaseTable::BeginTerm(Time now, Time earlier_leases_end, Time earliest_lease) {
  term_began_ = now;
  earlier_leases_end_ = earlier_leases_end;
  earliest_lease_ = earliest_lease;
  for (auto& [backend, record] : records_) {
    // Leases that this node gave as an earlier term's leader still count.
    Reset(record);
  }
  dirty_ = true;
}

LeaseResponse LeaseTable::Answer(const LeaseRequest& request, const OwnershipState& state,
                                 Duration leader_lease, Time now) {
  LeaseResponse response;
  const BackendRecord* const backend = state.FindBackendRecord(request.backend);
  if (backend == nullptr) {
    response.result = ResultCode::kUnknownName;
    return response;
  }
  response.result = ResultCode::kOk;
  response.home = backend->home.http;
  LeaseRecord& record = records_[request.backend];
  if (!backend->admitted || backend->incarnation != request.incarnation) {
    if (!backend->IsSuperseded(request.incarnation)) {
      NoteCandidate(record, request);
    }
    return response;
  }
  if (request.applied_version > record.applied_version) {
    record.applied_version = request.applied_version;
    dirty_ = true;
  }
  if (request.leaving && !record.leaving) {
    record.leaving = true;
    dirty_ = true;
  }
  response.grants.version = backend->grants_version;
  response.grants_included = request.applied_version < backend->grants_version;
  if (response.grants_included) {
    response.grants = state.GrantsOf(request.backend);
  }
  response.lease = GiveLease(record, leader_lease, now);
  return response;
}

Duration LeaseTable::GiveLease(LeaseRecord& record, Duration leader_lease, Time now) {
  const bool closed = record.expiring || record.candidate != BackendIncarnation();
  if (closed || now < earliest_lease_) {
    return absl::ZeroDuration();
  }
  const Duration whole = std::min(backend_lease_, leader_lease);
  if (whole <= absl::ZeroDuration()) {
    return absl::ZeroDuration();
  }
  if (record.ends <= now) {
    dirty_ = true;
  }
  record.ends = std::max(record.ends, now + whole);
  record.known_since = std::min(record.known_since, now);
  // Counted on a clock that may be slower than the leader's by the drift bound.
  return whole / (1 + max_clock_drift_);
}

void LeaseTable::NoteCandidate(LeaseRecord& record, const LeaseRequest& request) {
  if (record.candidate != request.incarnation) {
    record.candidate = request.incarnation;
    dirty_ = true;
  }
}

const LeaseRecord* LeaseTable::Find(const BackendId& backend) const {
  const auto found = records_.find(backend);
  return found == records_.end() ? nullptr : &found->second;
}

bool LeaseTable::IsLive(const BackendId& backend, Time now) const {
  const LeaseRecord* const record = Find(backend);
  return record != nullptr && record->ends > now;
}

Time LeaseTable::LeasesEnd(const BackendId& backend) const {
  const LeaseRecord* const record = Find(backend);
  const Time given_here = record == nullptr ? absl::InfinitePast() : record->ends;
  return std::max({given_here, earlier_leases_end_, earliest_lease_}) + expiry_margin_;
}

Time LeaseTable::ExpiresAt(const BackendId& backend) const {
  const LeaseRecord* const record = Find(backend);
  const Time admitted_at = record == nullptr ? absl::InfinitePast() : record->admitted_at;
  const Time may_ask_since = std::max({term_began_, earliest_lease_, admitted_at});
  return std::max(LeasesEnd(backend), may_ask_since + backend_lease_ + expiry_margin_);
}

void LeaseTable::MarkExpiring(const BackendId& backend) { records_[backend].expiring = true; }

void LeaseTable::NoteAdmitted(const BackendId& backend, Time now) {
  LeaseRecord& record = records_[backend];
  Reset(record);
  record.admitted_at = now;
}

void LeaseTable::NoteExpired(const BackendId& backend) { Reset(records_[backend]); }

void LeaseTable::Reset(LeaseRecord& record) {
  const Time ends = record.ends;
  record = LeaseRecord();
  record.ends = ends;
}

bool LeaseTable::TakeDirty() { return std::exchange(dirty_, false); }

}  // namespace ladderstream::authority
