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

/// A row's value. Times are the store's clock, in milliseconds.
struct StoredSuspect {
  std::vector<std::string> backends;
  std::vector<int64_t> lost_at_ms;
  std::vector<uint8_t> states;
  uint32_t trials = 0;
  int64_t tried_at_ms = 0;
  MSGPACK_DEFINE_ARRAY(backends, lost_at_ms, states, trials, tried_at_ms);
};

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

store::RowKey SuspectStore::KeyOf(const Fingerprint& request) const {
  return {settings_.table, settings_.partition, Format(request)};
}

int64_t SuspectStore::ToStoreTime(Time time) const {
  return absl::ToInt64Milliseconds(time - absl::UnixEpoch() + clock_offset_);
}

Time SuspectStore::FromStoreTime(int64_t milliseconds) const {
  return absl::UnixEpoch() + absl::Milliseconds(milliseconds) - clock_offset_;
}

std::string SuspectStore::Encode(const SuspectRecord& record) const {
  StoredSuspect stored;
  for (const Loss& loss : record.losses) {
    stored.backends.push_back(loss.backend);
    stored.lost_at_ms.push_back(ToStoreTime(loss.at));
    stored.states.push_back(static_cast<uint8_t>(loss.state));
  }
  stored.trials = record.trials;
  stored.tried_at_ms = record.trials == 0 ? 0 : ToStoreTime(record.tried_at);
  return ladderstream::Encode(stored);
}

SuspectRecord SuspectStore::Decode(const store::Row& row) const {
  SuspectRecord record;
  const std::optional<Fingerprint> request = ParseFingerprint(row.key.key);
  if (!request.has_value()) {
    return record;
  }
  record.request = *request;
  try {
    const auto stored = ladderstream::Decode<StoredSuspect>(row.value);
    const size_t count = std::min(
        {stored.backends.size(), stored.lost_at_ms.size(), stored.states.size(), kMostLosses});
    for (size_t i = 0; i < count; ++i) {
      const auto last = static_cast<uint8_t>(LossState::kCount) - 1;
      record.losses.push_back({stored.backends[i], FromStoreTime(stored.lost_at_ms[i]),
                               static_cast<LossState>(std::min<int>(stored.states[i], last))});
    }
    record.trials = stored.trials;
    if (stored.trials > 0) {
      record.tried_at = FromStoreTime(stored.tried_at_ms);
    }
  } catch (const std::exception& /*error*/) {
    // A row that cannot be read holds nobody; it is removed like one that is out of date.
    record.losses.clear();
  }
  return record;
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

void SuspectStore::WantTrial(const SuspectRecord& record) {
  if (!pending_.contains(record.request)) {
    pending_[record.request] = {record, true, ++last_revision_};
  }
}

std::optional<SuspectStore::Call> SuspectStore::Poll(Time now) {
  started_ = std::min(started_, now);
  if (now - started_ >= settings_.longest_wait) {
    is_known_ = true;
  }
  if (outstanding_ != CallKind::kNone && now < outstanding_until_) {
    return std::nullopt;
  }
  outstanding_ = CallKind::kNone;
  if (now < next_call_ || (is_known_ && !HasWork())) {
    return std::nullopt;
  }
  outstanding_until_ = now + 2 * settings_.call_timeout;
  // Until the reply says otherwise.
  next_call_ = now + back_off_.Next();
  if (!is_read_) {
    return MakeRead();
  }
  return pending_.empty() ? MakeCleaning() : MakeWrite(now);
}

Time SuspectStore::NextWake() const {
  if (is_known_ && !HasWork()) {
    return absl::InfiniteFuture();
  }
  const Time due = outstanding_ != CallKind::kNone ? outstanding_until_ : next_call_;
  const Time given_up = is_known_ || started_ == absl::InfiniteFuture()
                            ? absl::InfiniteFuture()
                            : started_ + settings_.longest_wait;
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
  if (pending.record.losses.empty()) {
    transaction.removals.push_back(key);
  } else {
    const auto version = versions_.find(key.key);
    transaction.conditions.push_back({key, version == versions_.end() ? 0 : version->second});
    SuspectRecord written = pending.record;
    if (pending.is_trial) {
      ++written.trials;
      written.tried_at = now;
    }
    transaction.puts.push_back({key, Encode(written)});
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
    clock_offset_ = *reply.clock - (now - absl::UnixEpoch());
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
}

void SuspectStore::TakeRow(const store::Row& row, Time now) {
  if (row.removed) {
    versions_.erase(row.key.key);
    return;
  }
  versions_[row.key.key] = row.version;
  SuspectRecord record = Decode(row);
  if (record.losses.empty() || now >= record.ForgottenAt()) {
    outdated_.push_back(row.key);
  } else {
    heard_.push_back(std::move(record));
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
  } else if (reply.status == store::StoreStatus::kDone) {
    versions_[key] = reply.version;
    if (found->second.is_trial) {
      granted_.push_back(found->first);
    }
  }
  if (found->second.revision == writing_revision_) {
    pending_.erase(found);
  }
}

void SuspectStore::OnConflict(const store::StoreReply& reply, Time now) {
  const std::string key = Format(*writing_);
  versions_.erase(key);
  for (const store::Row& row : reply.rows) {
    TakeRow(row, now);
  }
  const auto found = pending_.find(*writing_);
  if (found->second.is_trial) {
    // Somebody else may have tried it meanwhile; whoever asks for it next begins anew.
    pending_.erase(found);
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
