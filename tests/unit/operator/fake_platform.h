// A table service and a group within the process, which may be made to fail.
#pragma once

#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "interfaces/control_plane.h"
#include "interfaces/table_client.h"

namespace ladderstream::daemon {

class FakeTable : public TableClient {
 public:
  TableResult Run(const authority::StoreTransaction& transaction) override {
    const absl::MutexLock lock(&mutex_);
    if (is_down) {
      return {authority::StoreStatus::kRefused, {}};
    }
    TableResult result;
    result.status = authority::StoreStatus::kCommitted;
    for (const auto& condition : transaction.conditions) {
      if (rows_[condition.key].version != condition.version) {
        result.status = authority::StoreStatus::kConflict;
      }
    }
    if (result.status == authority::StoreStatus::kCommitted) {
      for (const auto& write : transaction.writes) {
        ++rows_[write.key].version;
        rows_[write.key].value = write.value;
      }
    }
    for (const std::string& key : transaction.reads) {
      result.rows.push_back({key, rows_[key].version, rows_[key].value});
    }
    return result;
  }

  std::atomic<bool> is_down = false;

 private:
  absl::Mutex mutex_;
  std::map<std::string, authority::StoreRow> rows_;
};

/// Applies what is proposed at once, unless there is no leader.
class FakeControlPlane : public ControlPlane {
 public:
  std::shared_ptr<const authority::RoutingState> Routing() const override {
    const absl::MutexLock lock(&mutex_);
    return std::make_shared<authority::RoutingState>(state_);
  }

  ProposalResult Propose(const Command& command, Duration /*timeout*/) override {
    const absl::MutexLock lock(&mutex_);
    if (!has_leader) {
      return {};
    }
    commands_.push_back(command);
    if (const auto* const adoption = std::get_if<AdoptConfiguration>(&command)) {
      state_.configuration = adoption->configuration;
    }
    return {ResultCode::kOk, {}};
  }

  LeaseResponse RequestLease(const LeaseRequest& /*request*/, Duration /*timeout*/) override {
    return {};
  }

  authority::AuthorityStatus Status() const override {
    const absl::MutexLock lock(&mutex_);
    authority::AuthorityStatus status;
    status.role = replication::Role::kLeader;
    status.term = 4;
    status.revision = state_.configuration.revision;
    status.leader.id = NodeId(17);
    status.leader.name = "rennes-1";
    return status;
  }

  void SetAssignment(const Assignment& assignment) {
    const absl::MutexLock lock(&mutex_);
    state_.assignments = {assignment};
  }

  std::vector<Command> commands() const {
    const absl::MutexLock lock(&mutex_);
    return commands_;
  }

  std::atomic<bool> has_leader = true;

 private:
  mutable absl::Mutex mutex_;
  authority::RoutingState state_;
  std::vector<Command> commands_;
};

}  // namespace ladderstream::daemon
