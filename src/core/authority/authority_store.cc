// The table service: founding while no leader is known; configuration and checkpoints as leader.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/authority/authority_impl.h"
#include "wire/codec.h"
#include "wire/store_rows.h"

namespace ladderstream::authority {
namespace {

/// After this long without an answer a transaction counts as lost: its outcome is unknown.
constexpr Duration kStoreTimeout = absl::Seconds(10);
/// A machine list older than this proves nothing.
constexpr Duration kListingAge = absl::Minutes(1);
/// Nodes heard within this time may be founders.
constexpr Duration kHeardLately = absl::Seconds(2);

const StoreRow* FindRow(const StoreAnswered& answer, const std::string& key) {
  const auto found = std::find_if(answer.rows.begin(), answer.rows.end(),
                                  [&key](const StoreRow& row) { return row.key == key; });
  return found == answer.rows.end() ? nullptr : &*found;
}

}  // namespace

void Authority::Impl::RunStore(StoreUse use, StoreTransaction transaction) {
  store_use_ = use;
  store_correlation_ = NextCorrelation();
  store_sent_ = now_;
  actions_.emplace_back(RunStoreTransaction{store_correlation_, std::move(transaction)});
}

void Authority::Impl::OnEvent(const StoreAnswered& event) {
  if (event.correlation != store_correlation_) {
    return;
  }
  const StoreUse use = std::exchange(store_use_, StoreUse::kNone);
  if (use == StoreUse::kFounding) {
    OnFoundingAnswer(event);
  } else if (use == StoreUse::kLeader && IsReadyLeader()) {
    OnLeaderAnswer(event);
  }
}

void Authority::Impl::FoundIfDue() {
  if (store_use_ != StoreUse::kNone && now_ - store_sent_ > kStoreTimeout) {
    store_use_ = StoreUse::kNone;
  }
  if (KnownLeader().id != NodeId()) {
    founding_.NoteLeader(now_);
  }
  if (!IsReadyLeader() && !leaving_ && store_use_ == StoreUse::kNone && founding_.WantsRead(now_)) {
    RunStore(StoreUse::kFounding, founding_.ReadTransaction(now_));
  }
}

FoundingView Authority::Impl::ViewForFounding() {
  FoundingView view;
  view.own_generation = replica_ != nullptr ? replica_->generation() : lowest_generation_ - 1;
  view.own_version = state_.version();
  if (replica_ != nullptr) {
    view.own_members = replica_->members();
  }
  view.take_own_snapshot = [this] { return state_.TakeSnapshot(); };
  view.is_replaced = [this](const NodeDescriptor& node) { return nodes_.IsReplaced(node); };
  view.is_unlisted = [this](const NodeDescriptor& node) {
    return nodes_.IsUnlisted(node, now_ - kListingAge);
  };
  for (const NodeRecord* node : nodes_.ReportedSince(now_ - kHeardLately)) {
    view.heard.push_back(node->descriptor);
  }
  return view;
}

void Authority::Impl::OnFoundingAnswer(const StoreAnswered& answer) {
  const StoreRow* const row = FindRow(answer, GroupRowKey(settings_.group));
  if (row == nullptr || KnownLeader().id != NodeId()) {
    return;
  }
  const FoundingView view = ViewForFounding();
  if (const auto begin = founding_.BeginIfFounder(*row, view)) {
    AbandonReplica(begin->generation);
    state_ = OwnershipState();
    if (!begin->initial_checkpoint.empty()) {
      state_.RestoreInGeneration(begin->initial_checkpoint, begin->generation);
    }
    replication::Start start;
    start.group = settings_.group;
    start.generation = begin->generation;
    start.self = settings_.self;
    start.members.voters = begin->founders;
    start.initial_state = begin->initial_checkpoint.empty() ? "" : state_.TakeSnapshot();
    start.founding = true;
    AddNotice(absl::StrCat("founds generation ", begin->generation, " of group ",
                           settings_.group.value(), " with ", begin->founders.size(), " voters"));
    StartReplica(std::move(start));
    return;
  }
  if (row->version != 0) {
    const auto group = Decode<GroupRow>(row->value);
    nodes_.AddHints(group.members.voters);
    nodes_.AddHints(group.members.learners);
  }
  if (auto claim = founding_.Consider(*row, view, now_)) {
    RunStore(StoreUse::kFounding, std::move(*claim));
  }
}

void Authority::Impl::PollStoreIfDue() {
  if (!IsReadyLeader() || store_use_ != StoreUse::kNone || now_ < next_poll_) {
    return;
  }
  next_poll_ = now_ + settings_.store_poll_interval;
  StoreTransaction transaction;
  transaction.reads = {kConfigurationRow, GroupRowKey(settings_.group)};
  const bool members_changed = !(checkpointed_members_ == replica_->members());
  if (group_row_version_ && (now_ >= next_checkpoint_ || members_changed)) {
    AddCheckpoint(transaction);
  }
  RunStore(StoreUse::kLeader, std::move(transaction));
}

void Authority::Impl::AddCheckpoint(StoreTransaction& transaction) {
  GroupRow row;
  row.generation = replica_->generation();
  row.founders = founders_;
  row.members = replica_->members();
  row.leader_writes = leader_writes_ + 1;
  row.checkpoint_version = state_.version();
  row.checkpoint = state_.TakeSnapshot();
  if (row.checkpoint.size() > kMaxCheckpointBytes) {
    AddNotice(absl::StrCat("checkpoint of ", row.checkpoint.size(),
                           " bytes does not fit into the group's row"));
    row.checkpoint_version = GrantToken();
    row.checkpoint.clear();
  }
  const std::string key = GroupRowKey(settings_.group);
  transaction.conditions.push_back({key, *group_row_version_});
  transaction.writes.push_back({key, Encode(row)});
  checkpointed_members_ = row.members;
}

void Authority::Impl::OnLeaderAnswer(const StoreAnswered& answer) {
  const StoreRow* const group = FindRow(answer, GroupRowKey(settings_.group));
  const StoreRow* const configuration = FindRow(answer, kConfigurationRow);
  if (group != nullptr) {
    OnGroupRow(*group);
  }
  if (configuration != nullptr && IsReadyLeader()) {
    OnConfigurationRow(*configuration);
  }
}

void Authority::Impl::OnGroupRow(const StoreRow& row) {
  GroupRow group;
  if (row.version != 0) {
    group = Decode<GroupRow>(row.value);
  }
  if (group.generation > replica_->generation()) {
    AbandonReplica(group.generation);
    return;
  }
  const bool written = group_row_version_ && row.version > *group_row_version_;
  if (written) {
    next_checkpoint_ = now_ + settings_.checkpoint_interval;
  }
  group_row_version_ = row.version;
  leader_writes_ = group.leader_writes;
  if (!group.founders.empty()) {
    founders_ = group.founders;
  }
}

void Authority::Impl::OnConfigurationRow(const StoreRow& row) {
  if (row.version == 0) {
    return;
  }
  auto configuration = Decode<Configuration>(row.value);
  const Revision known = std::max(state_.configuration().revision, proposed_revision_);
  if (configuration.revision <= known) {
    return;
  }
  proposed_revision_ = configuration.revision;
  replica_->Propose(Encode(Command(AdoptConfiguration{std::move(configuration)})), now_);
}

}  // namespace ladderstream::authority
