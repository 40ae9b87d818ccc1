// Carries out what the coordinator and the membership want, and tells other nodes what this one
// knows.
#include <utility>
#include <vector>

#include "node/control_plane.h"
#include "node/load_exchange.h"

namespace ladderstream::node {

// Actions of the coordinator.

void ControlPlane::Carry(const ownership::CommitAction& commit) {
  store_.Execute(commit.transaction, settings_.ownership.store_timeout,
                 [this, call = commit.call, sent = Now()](const store::StoreReply& reply) {
                   OnStoreReply(call, sent, reply);
                 });
}

void ControlPlane::Carry(const ownership::ReadAction& read) {
  store_.Read(read.query, settings_.ownership.store_timeout,
              [this, call = read.call, sent = Now()](const store::StoreReply& reply) {
                OnStoreReply(call, sent, reply);
              });
}

void ControlPlane::Carry(const ownership::PublishAction& publish) {
  membership_.OnMap(publish.map, Now());
}

// Actions of the membership.

void ControlPlane::Carry(const membership::SendAction& send) { peers_.Send(send.to, send.message); }

void ControlPlane::Carry(const membership::ReportDueAction&) {
  membership_.SendReport(ToReports(listener_->TakeLoad(), catalog_.configuration().get()), {},
                         Now());
}

void ControlPlane::Carry(const membership::HeartbeatReceivedAction& heard) {
  coordinator_.OnHeartbeat(heard.lease, Now());
}

void ControlPlane::Carry(const membership::CoordinatorEndedAction& ended) {
  coordinator_.OnCoordinatorEnded(ended.incarnation, Now());
}

void ControlPlane::Carry(const membership::MapChangedAction& changed) {
  beliefs_->OnMap(*changed.map, absl::ZeroDuration(), holds_lease_ ? "own" : "coordinator");
  listener_->OnOwnership(changed.map);
}

void ControlPlane::Carry(const membership::MapConfirmedAction& confirmed) {
  beliefs_->OnMapConfirmed(Now());
  listener_->OnMapConfirmed(confirmed.until);
}

void ControlPlane::Carry(const membership::MembersChangedAction& changed) {
  ShareStore();
  std::vector<uint64_t> members;
  members.reserve(changed.count);
  for (const membership::PeerIdentity& member : membership_.members()) {
    members.push_back(member.incarnation);
  }
  listener_->OnMembers(members);
}

void ControlPlane::Carry(const membership::MembersConfirmedAction& confirmed) {
  listener_->OnMembersConfirmed(confirmed.until);
}

void ControlPlane::Carry(const membership::SuspectsReceivedAction& heard) {
  listener_->OnSuspects(heard.suspects);
}

void ControlPlane::TellSuspects(std::vector<quarantine::SuspectRecord> suspects, bool own) {
  membership_.OnSuspects(std::move(suspects), own, Now());
  PumpSoon();
}

void ControlPlane::Carry(const membership::LimitsReceivedAction& heard) {
  listener_->OnLimits(heard.limits);
}

void ControlPlane::Carry(const membership::PermitRequestedAction& asked) {
  membership_.SendPermitAnswer(asked.from, listener_->OnPermitQuestion(asked.question));
}

void ControlPlane::Carry(const membership::PermitAnsweredAction& answered) {
  listener_->OnPermitReply(answered.reply);
}

void ControlPlane::TellLimits(std::vector<allowance::LimitRecord> own_limits,
                              std::vector<allowance::LimitRecord> all, bool own) {
  membership_.OnLimits(std::move(own_limits), std::move(all), own, Now());
  PumpSoon();
}

void ControlPlane::AskPermits(const std::vector<allowance::PermitQuestion>& questions) {
  for (const allowance::PermitQuestion& question : questions) {
    membership_.SendPermitRequest(question);
  }
  PumpSoon();
}

void ControlPlane::Carry(const membership::ReportReceivedAction& report) {
  TellCoordinator(report.loads, Now(), &coordinator_);
}

void ControlPlane::Carry(const membership::TablesMergedAction&) {}

}  // namespace ladderstream::node
