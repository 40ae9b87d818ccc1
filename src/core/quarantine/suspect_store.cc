#include "core/quarantine/suspect_store.h"

#include <algorithm>
#include <msgpack.hpp>

#include "wire/codec.h"
#include "wire/result_code.h"

namespace ladderstream::quarantine {
namespace {

constexpr Duration kShortestBackOff = absl::Milliseconds(200);
constexpr Duration kLongestBackOff = absl::Seconds(2);
/// Rows removed by one transaction.
constexpr size_t kMostCleaned = 50;
/// Writes that wait; of more, those with the fewest crashes are dropped.
constexpr size_t kMostPending = 64;

/// Between two writes of a node's own row: it changes with each loss and verdict.
constexpr Duration kBetweenWitnessedWrites = absl::Milliseconds(500);
/// Begins the keys of the nodes' rows. No fingerprint holds a dash.
constexpr std::string_view kNodePrefix = "node-";
/// Held requests are tried one after the other, so that the guilty one takes no innocent one down
/// once more: the key of the row of the latest trial.
constexpr char kTrialKey[] = "trial";
/// A trial that is granted is used within a second, rarely takes as long again, and most crash
/// their back end at once.
constexpr Duration kTrialUnderWay = absl::Milliseconds(2500);

/// Takes over what `other` knows of the same request. Gives whether that changed anything.
bool MergeInto(SuspectRecord* record, const SuspectRecord& other) {
  bool changed = other.trials > record->trials;
  if (changed) {
    record->trials = other.trials;
    record->tried_at = other.tried_at;
  }
  for (const Loss& loss : other.losses) {
    const auto same =
        std::find_if(record->losses.begin(), record->losses.end(),
                     [&loss](const Loss& one) { return one.backend == loss.backend; });
    if (same == record->losses.end()) {
      record->losses.push_back(loss);
      changed = true;
    } else if (same->state < loss.state) {
      same->state = loss.state;
      changed = true;
    }
  }
  return changed;
}

}  // namespace

SuspectStore::SuspectStore(SuspectStoreSettings settings)
    : settings_(std::move(settings)),
      back_off_(kShortestBackOff, kLongestBackOff, settings_.seed) {}

store::RowKey SuspectStore::KeyOf(const std::string& key) const {
  return {settings_.table, settings_.partition, key};
}

store::RowKey SuspectStore::KeyOf(const Fingerprint& request) const {
  return KeyOf(Format(request));
}

store::RowKey SuspectStore::OwnKey() const {
  return KeyOf(std::string(kNodePrefix) + settings_.node);
}

void SuspectStore::Save(const SuspectRecord& record) {
  pending_[record.request] = {record, false, ++last_revision_};
  if (pending_.size() <= kMostPending) {
    return;
  }
  const auto least =
      std::min_element(pending_.begin(), pending_.end(), [](const auto& one, const auto& other) {
        return one.second.record.CountCrashes() < other.second.record.CountCrashes();
      });
  pending_.erase(least);
}

void SuspectStore::SaveWitnessed(std::vector<SuspectRecord> records) {
  witnessed_ = std::move(records);
}

Time SuspectStore::WitnessedDue() const {
  return witnessed_ == witnessed_written_ ? absl::InfiniteFuture() : next_witnessed_write_;
}

void SuspectStore::WantTrial(const SuspectRecord& record, Time now) {
  const auto pending = pending_.find(record.request);
  if (pending == pending_.end()) {
    pending_[record.request] = {record, true, ++last_revision_};
    DenyTrials(now);
  } else if (!pending->second.is_trial) {
    denied_.push_back(record.request);
  }
}

std::optional<SuspectStore::Call> SuspectStore::Poll(Time now) {
  if (now - waits_since_ >= settings_.longest_wait) {
    is_known_ = true;
  }
  if (outstanding_ != CallKind::kNone && now < outstanding_until_) {
    return std::nullopt;
  }
  is_unanswered_ = is_unanswered_ || outstanding_ != CallKind::kNone;
  outstanding_ = CallKind::kNone;
  DenyTrials(now);
  if (now < next_call_ || (is_known_ && !HasWork(now))) {
    return std::nullopt;
  }
  outstanding_until_ = now + 2 * settings_.call_timeout;
  // Until the reply says otherwise.
  next_call_ = now + back_off_.Next();
  if (!is_read_) {
    return MakeRead();
  }
  if (!pending_.empty()) {
    return MakeWrite(now);
  }
  return now >= WitnessedDue() ? MakeWitnessedWrite(now) : MakeCleaning();
}

Time SuspectStore::NextWake() const {
  if (is_known_ && outstanding_ == CallKind::kNone && !HasWork(next_call_)) {
    return WitnessedDue();
  }
  const Time due = outstanding_ != CallKind::kNone ? outstanding_until_ : next_call_;
  const Time given_up = is_known_ ? absl::InfiniteFuture() : waits_since_ + settings_.longest_wait;
  return std::min(due, given_up);
}

SuspectStore::Call SuspectStore::MakeRead() {
  outstanding_ = CallKind::kRead;
  store::ReadQuery query;
  query.table = settings_.table;
  query.partition = settings_.partition;
  query.from_key = read_from_;
  return {++last_call_, query, settings_.call_timeout};
}

SuspectStore::Call SuspectStore::MakeWrite(Time now) {
  outstanding_ = CallKind::kWrite;
  const auto& [request, pending] = *pending_.begin();
  writing_ = request;
  writing_revision_ = pending.revision;
  const store::RowKey key = KeyOf(request);
  store::Transaction transaction;
  if (pending.is_trial) {
    AddTrial(pending, now, &transaction);
  } else if (pending.record.losses.empty()) {
    transaction.removals.push_back(key);
    if (latest_trial_ == request) {
      // It was served, so that the next one need not wait.
      transaction.removals.push_back(KeyOf(kTrialKey));
    }
  } else {
    transaction.conditions.push_back({key, VersionOf(key)});
    transaction.puts.push_back({key, codec_.EncodeRecord(pending.record)});
  }
  return {++last_call_, transaction, settings_.call_timeout};
}

store::RowVersion SuspectStore::VersionOf(const store::RowKey& key) const {
  const auto version = versions_.find(key.key);
  return version == versions_.end() ? 0 : version->second;
}

void SuspectStore::AddTrial(const Pending& pending, Time now,
                            store::Transaction* transaction) const {
  SuspectRecord tried = pending.record;
  ++tried.trials;
  tried.tried_at = now;
  const store::RowKey key = KeyOf(tried.request);
  const store::RowKey trial_key = KeyOf(kTrialKey);
  transaction->conditions.push_back({key, VersionOf(key)});
  transaction->conditions.push_back({trial_key, VersionOf(trial_key)});
  transaction->puts.push_back({key, codec_.EncodeRecord(tried)});
  transaction->puts.push_back({trial_key, codec_.EncodeRecords({tried})});
}

void SuspectStore::DenyTrials(Time now) {
  if (!TrialUnderWay(now) && !is_unanswered_) {
    return;
  }
  std::erase_if(pending_, [this](const auto& entry) {
    if (entry.second.is_trial) {
      denied_.push_back(entry.first);
    }
    return entry.second.is_trial;
  });
}

bool SuspectStore::TrialUnderWay(Time now) const { return now - latest_trial_at_ < kTrialUnderWay; }

SuspectStore::Call SuspectStore::MakeWitnessedWrite(Time now) {
  outstanding_ = CallKind::kWriteWitnessed;
  next_witnessed_write_ = now + kBetweenWitnessedWrites;
  witnessed_writing_ = witnessed_;
  store::Transaction transaction;
  if (witnessed_.empty()) {
    transaction.removals.push_back(OwnKey());
  } else {
    transaction.puts.push_back({OwnKey(), codec_.EncodeRecords(witnessed_)});
  }
  return {++last_call_, transaction, settings_.call_timeout};
}

SuspectStore::Call SuspectStore::MakeCleaning() {
  outstanding_ = CallKind::kClean;
  store::Transaction transaction;
  const size_t count = std::min(outdated_.size(), kMostCleaned);
  transaction.removals.assign(outdated_.end() - static_cast<std::ptrdiff_t>(count),
                              outdated_.end());
  outdated_.resize(outdated_.size() - count);
  return {++last_call_, transaction, settings_.call_timeout};
}

void SuspectStore::SetClock(const store::StoreReply& reply, Time now) {
  if (reply.clock.has_value()) {
    codec_.SetStoreAhead(*reply.clock - (now - absl::UnixEpoch()));
  }
}

void SuspectStore::OnReply(uint64_t call, const store::StoreReply& reply, Time now) {
  if (call != last_call_ || outstanding_ == CallKind::kNone) {
    return;
  }
  const CallKind kind = std::exchange(outstanding_, CallKind::kNone);
  const bool answered = reply.status == store::StoreStatus::kDone ||
                        reply.status == store::StoreStatus::kConflict ||
                        reply.status == store::StoreStatus::kInvalid;
  is_unanswered_ = !answered;
  if (!answered) {
    return;
  }
  back_off_.Reset();
  next_call_ = now;
  SetClock(reply, now);
  if (kind == CallKind::kRead) {
    OnRead(reply, now);
  } else if (kind == CallKind::kWrite) {
    OnWritten(reply, now);
  } else if (kind == CallKind::kWriteWitnessed) {
    witnessed_written_ = std::move(witnessed_writing_);
  }
}

void SuspectStore::OnRead(const store::StoreReply& reply, Time now) {
  for (const store::Row& row : reply.rows) {
    TakeRow(row, now);
  }
  if (reply.more && !reply.rows.empty()) {
    read_from_ = reply.rows.back().key.key + '\0';
    return;
  }
  is_read_ = true;
  is_known_ = true;
  is_complete_ = true;
}

void SuspectStore::TakeRow(const store::Row& row, Time now) {
  if (row.removed) {
    versions_.erase(row.key.key);
    return;
  }
  versions_[row.key.key] = row.version;
  if (const std::optional<Fingerprint> request = ParseFingerprint(row.key.key)) {
    TakeRequestRow(row, *request, now);
  } else if (row.key.key == kTrialKey) {
    TakeTrialRow(row, now);
  } else {
    TakeNodeRow(row, now);
  }
}

void SuspectStore::TakeRequestRow(const store::Row& row, const Fingerprint& request, Time now) {
  SuspectRecord record = codec_.DecodeRecord(request, row.value);
  if (record.losses.empty() || now >= record.ForgottenAt()) {
    outdated_.push_back(row.key);
  } else {
    heard_.push_back(std::move(record));
  }
}

void SuspectStore::TakeTrialRow(const store::Row& row, Time now) {
  const std::vector<SuspectRecord> records = codec_.DecodeRecords(row.value);
  if (!records.empty()) {
    latest_trial_ = records.front().request;
    latest_trial_at_ = records.front().tried_at;
  }
  if (records.empty() || !TrialUnderWay(now)) {
    outdated_.push_back(row.key);
  }
}

void SuspectStore::TakeNodeRow(const store::Row& row, Time now) {
  const std::vector<SuspectRecord> records = codec_.DecodeRecords(row.value);
  const bool is_own = row.key == OwnKey();
  bool counts = false;
  for (const SuspectRecord& record : records) {
    if (now < record.ForgottenAt()) {
      counts = true;
      heard_.push_back(record);
      if (is_own) {
        inherited_.push_back(record);
      }
    }
  }
  if (is_own) {
    witnessed_written_ = records;
    if (witnessed_.empty()) {
      // Kept until this process has taken it over.
      witnessed_ = records;
    }
  } else if (!counts) {
    outdated_.push_back(row.key);
  }
}

void SuspectStore::OnWritten(const store::StoreReply& reply, Time now) {
  const auto found = writing_.has_value() ? pending_.find(*writing_) : pending_.end();
  writing_.reset();
  if (found == pending_.end()) {
    return;
  }
  if (reply.status == store::StoreStatus::kConflict) {
    writing_ = found->first;
    OnConflict(reply, now);
    writing_.reset();
    return;
  }
  const std::string key = Format(found->first);
  if (reply.status == store::StoreStatus::kDone && found->second.record.losses.empty()) {
    versions_.erase(key);
    if (latest_trial_ == found->first) {
      versions_.erase(kTrialKey);
      latest_trial_at_ = absl::InfinitePast();
    }
  } else if (reply.status == store::StoreStatus::kDone) {
    versions_[key] = reply.version;
    if (found->second.is_trial) {
      versions_[kTrialKey] = reply.version;
      latest_trial_ = found->first;
      latest_trial_at_ = now;
      granted_.push_back(found->first);
    }
  }
  if (found->second.revision == writing_revision_) {
    pending_.erase(found);
  }
}

void SuspectStore::OnConflict(const store::StoreReply& reply, Time now) {
  const auto found = pending_.find(*writing_);
  const std::string key = Format(*writing_);
  const store::RowVersion known = VersionOf(KeyOf(key));
  versions_.erase(key);
  if (found->second.is_trial) {
    versions_.erase(kTrialKey);
    latest_trial_at_ = absl::InfinitePast();
  }
  for (const store::Row& row : reply.rows) {
    TakeRow(row, now);
  }
  if (found->second.is_trial) {
    const store::RowVersion stored = VersionOf(KeyOf(key));
    if (stored == 0 && known != 0) {
      cleared_.push_back(found->first);
      pending_.erase(found);
    } else if (stored != known || TrialUnderWay(now)) {
      // Somebody else may have tried it meanwhile; whoever asks for it next begins anew.
      denied_.push_back(found->first);
      pending_.erase(found);
    }
    return;
  }
  const auto stored =
      std::find_if(heard_.rbegin(), heard_.rend(),
                   [this](const SuspectRecord& record) { return record.request == *writing_; });
  if (stored == heard_.rend()) {
    return;
  }
  SuspectRecord merged = *stored;
  if (!MergeInto(&merged, found->second.record)) {
    pending_.erase(found);
  } else {
    found->second.record = merged;
  }
}

}  // namespace ladderstream::quarantine
