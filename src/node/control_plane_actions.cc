// Executes the actions of the coordinator and the membership, and publishes this node's suspects
// and limits to other nodes.
#include <utility>
#include <vector>

#include "node/control_plane.h"
#include "node/load_exchange.h"

namespace ladderstream::node {

// Actions of the coordinator.

void ControlPlane::Execute(const ownership::CommitAction& commit) {
  store_.Execute(commit.transaction, settings_.ownership.store_timeout,
                 [this, call = commit.call, sent = Now()](const store::StoreReply& reply) {
                   const bool wrote = reply.status == store::StoreStatus::kDone;
                   OnStoreReply(call, {sent, reply.version, wrote}, reply);
                 });
}

void ControlPlane::Execute(const ownership::ReadAction& read) {
  store_.Read(read.query, settings_.ownership.store_timeout,
              [this, call = read.call, sent = Now()](const store::StoreReply& reply) {
                OnStoreReply(call, {sent, reply.version, /*wrote=*/false}, reply);
              });
}

void ControlPlane::Execute(const ownership::PublishAction& publish) {
  membership_.OnMap(publish.map, Now());
}

// Actions of the membership.

void ControlPlane::Execute(const membership::SendAction& send) {
  peers_.Send(send.to, send.message);
}

void ControlPlane::Execute(const membership::ReportDueAction&) {
  membership_.SendReport(ToReports(listener_->TakeLoad(), catalog_.configuration().get()), {},
                         Now());
}

void ControlPlane::Execute(const membership::HeartbeatReceivedAction& received) {
  coordinator_.OnHeartbeat(received.lease, Now());
}

void ControlPlane::Execute(const membership::CoordinatorEndedAction& ended) {
  coordinator_.OnCoordinatorEnded(ended.incarnation, Now());
}

void ControlPlane::Execute(const membership::MapChangedAction& changed) {
  beliefs_->OnMap(*changed.map, absl::ZeroDuration(), holds_lease_ ? "own" : "coordinator");
  listener_->OnOwnership(changed.map);
}

void ControlPlane::Execute(const membership::MapConfirmedAction& confirmed) {
  beliefs_->OnMapConfirmed(Now());
  listener_->OnMapConfirmed(confirmed.until);
}

void ControlPlane::Execute(const membership::MembersChangedAction& changed) {
  UpdateStoreShare();
  std::vector<uint64_t> others;
  others.reserve(changed.count);
  for (const membership::PeerIdentity& member : membership_.members()) {
    if (member.incarnation != incarnation_) {
      others.push_back(member.incarnation);
    }
  }
  orders_.SetPeers(std::move(others));
  listener_->OnMembers(membership_.members());
}

void ControlPlane::Execute(const membership::MembersConfirmedAction& confirmed) {
  listener_->OnMembersConfirmed(confirmed.until);
}

void ControlPlane::Execute(const membership::SuspectsReceivedAction& received) {
  listener_->OnSuspects(received.suspects);
  if (received.are_all) {
    suspect_store_.OnVouched();
    ApplySuspectStore();
  }
}

void ControlPlane::SaveSuspects(const std::vector<quarantine::StoredChange>& changes) {
  for (const quarantine::StoredChange& change : changes) {
    suspect_store_.Save(change);
  }
  if (!changes.empty()) {
    SchedulePump();
  }
}

void ControlPlane::SaveWitnessed(std::vector<quarantine::SuspectRecord> records) {
  suspect_store_.SaveWitnessed(std::move(records));
  if (suspect_store_.NextWake() < armed_for_) {
    SchedulePump();
  }
}

void ControlPlane::RequestTrials(const std::vector<quarantine::SuspectRecord>& records) {
  for (const quarantine::SuspectRecord& record : records) {
    suspect_store_.WantTrial(record, Now());
  }
  if (!records.empty()) {
    SchedulePump();
  }
}

void ControlPlane::PublishSuspects(std::vector<quarantine::SuspectRecord> suspects, bool own) {
  membership_.OnSuspects(std::move(suspects), own, Now());
  SchedulePump();
}

void ControlPlane::Execute(const membership::LimitsReceivedAction& received) {
  listener_->OnLimits(received.limits);
}

void ControlPlane::Execute(const membership::PermitRequestedAction& request) {
  membership_.SendPermitAnswer(request.from, listener_->OnPermitQuestion(request.question));
}

void ControlPlane::Execute(const membership::PermitAnsweredAction& answered) {
  listener_->OnPermitReply(answered.reply);
}

void ControlPlane::PublishLimits(std::vector<allowance::LimitRecord> own_limits,
                                 std::vector<allowance::LimitRecord> all, bool own) {
  membership_.OnLimits(std::move(own_limits), std::move(all), own, Now());
  SchedulePump();
}

void ControlPlane::RequestPermits(const std::vector<allowance::PermitQuestion>& questions) {
  for (const allowance::PermitQuestion& question : questions) {
    membership_.SendPermitRequest(question);
  }
  SchedulePump();
}

void ControlPlane::Execute(const membership::ReportReceivedAction& report) {
  ReportToCoordinator(report.loads, Now(), &coordinator_);
}

void ControlPlane::Execute(const membership::TablesMergedAction&) {}

void ControlPlane::Execute(const membership::WatchesRestartedAction&) {
  beliefs_->OnWatchesRestarted(configuration_follower_.as_of(), backend_follower_.as_of());
}

}  // namespace ladderstream::node
