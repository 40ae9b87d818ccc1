// Keeps the records of suspects in the metadata store, so that they outlive all nodes.
//
// A row a request, written by a node that concluded something of it; conditions on the row's
// version let concurrent writers merge. A row a node with the losses that it saw and that are not
// in a row of their request yet, rewritten as a whole and removed when nothing of it counts. A
// trial of a held request is a write as well: whoever increases the row's count may send it, so
// that one node tries at a time, whichever nodes start or end. While the store is away, writes wait
// and trials are not granted.
//
// Deterministic: replies and time in, calls out; no I/O, no thread, no clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/quarantine/suspect_record.h"
#include "core/quarantine/suspect_row.h"
#include "core/store/back_off.h"
#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::quarantine {

struct SuspectStoreSettings {
  std::string table = "quarantine";
  std::string partition = "quarantine";
  /// Names this node's own row; the same for each process that runs on its machine.
  std::string node = "node";
  Duration call_timeout = absl::Seconds(1);
  /// Without an answer for so long after BeginWait, a node serves without knowing the records.
  Duration longest_wait = absl::Seconds(5);
  /// Of the jitter.
  uint64_t seed = 0;
};

class SuspectStore {
 public:
  /// A call to make. `call` is passed to OnReply with the reply.
  struct Call {
    uint64_t call = 0;
    std::variant<store::ReadQuery, store::Transaction> query;
    Duration timeout;
  };

  explicit SuspectStore(SuspectStoreSettings settings);

  /// Returns the call to make now, if one is due. At most one is outstanding.
  std::optional<Call> Poll(Time now);
  Time NextWake() const;
  void OnReply(uint64_t call, const store::StoreReply& reply, Time now);

  /// Only the records keep this node from serving. A store that is away as a whole gives it no
  /// configuration either, so that waiting for it costs nothing.
  void BeginWait(Time now) { waits_since_ = std::min(waits_since_, now); }
  /// Another node knows the records and has told them.
  void OnVouched() {
    is_known_ = true;
    is_complete_ = true;
  }
  /// Whether this node may serve: it knows which requests are held, or has waited in vain.
  bool IsKnown() const { return is_known_; }
  /// Whether this node knows which requests are held.
  bool IsComplete() const { return is_complete_; }

  /// Writes a record, or removes its row when it has no losses.
  void Save(const SuspectRecord& record);
  /// What this node's own row is to hold; nothing removes it. See CrashSuspects::Witnessed.
  void SaveWitnessed(std::vector<SuspectRecord> records);
  /// Asks for one trial more of the record's request. It is denied while another one is under way
  /// or the store does not answer.
  void WantTrial(const SuspectRecord& record, Time now);
  /// Rows that are out of date are removed by this node, which coordinates.
  void SetCleaner() { is_cleaner_ = true; }

  /// What was read.
  std::vector<SuspectRecord> TakeHeard() { return std::exchange(heard_, {}); }
  /// Those of TakeHeard that an earlier process of this node had saved.
  std::vector<SuspectRecord> TakeInherited() { return std::exchange(inherited_, {}); }
  std::vector<Fingerprint> TakeGrantedTrials() { return std::exchange(granted_, {}); }
  std::vector<Fingerprint> TakeDeniedTrials() { return std::exchange(denied_, {}); }
  /// Requests whose rows went while a trial of them was asked for: they were served elsewhere, or
  /// released.
  std::vector<Fingerprint> TakeCleared() { return std::exchange(cleared_, {}); }

 private:
  /// A write that was not confirmed yet.
  struct Pending {
    SuspectRecord record;
    bool is_trial = false;
    /// Numbers what was to be written, so that a reply to an older write ends no newer one.
    uint64_t revision = 0;
  };
  enum class CallKind { kNone, kRead, kWrite, kWriteWitnessed, kClean };

  bool HasWork(Time now) const {
    return !pending_.empty() || (is_cleaner_ && !outdated_.empty()) || now >= WitnessedDue();
  }
  /// Infinite when this node's own row holds what it should.
  Time WitnessedDue() const;
  Call MakeRead();
  Call MakeWrite(Time now);
  Call MakeWitnessedWrite(Time now);
  Call MakeCleaning();
  void OnRead(const store::StoreReply& reply, Time now);
  void OnWritten(const store::StoreReply& reply, Time now);
  void OnConflict(const store::StoreReply& reply, Time now);
  void TakeRow(const store::Row& row, Time now);
  void TakeRequestRow(const store::Row& row, const Fingerprint& request, Time now);
  void TakeNodeRow(const store::Row& row, Time now);
  void TakeTrialRow(const store::Row& row, Time now);
  /// Whether the latest trial, of whichever request, may not have ended yet.
  bool TrialUnderWay(Time now) const;
  /// Denies those that were asked for and not granted, if none can be granted now.
  void DenyTrials(Time now);
  void AddTrial(const Pending& pending, Time now, store::Transaction* transaction) const;
  void SetClock(const store::StoreReply& reply, Time now);
  store::RowKey KeyOf(const std::string& key) const;
  store::RowKey KeyOf(const Fingerprint& request) const;
  store::RowKey OwnKey() const;
  /// 0 when the row is not there, as far as is known.
  store::RowVersion VersionOf(const store::RowKey& key) const;

  const SuspectStoreSettings settings_;
  store::BackOff back_off_;
  bool is_known_ = false;
  bool is_complete_ = false;
  /// The table was read by this node, whose writes need the rows' versions and the store's clock.
  bool is_read_ = false;
  bool is_cleaner_ = false;
  Time waits_since_ = absl::InfiniteFuture();
  Time next_call_ = absl::InfinitePast();
  uint64_t last_call_ = 0;
  CallKind outstanding_ = CallKind::kNone;
  Time outstanding_until_;
  /// The latest call got no answer.
  bool is_unanswered_ = false;
  std::string read_from_;
  SuspectRowCodec codec_;
  std::map<std::string, store::RowVersion> versions_;
  std::vector<store::RowKey> outdated_;
  std::map<Fingerprint, Pending> pending_;
  std::optional<Fingerprint> writing_;
  uint64_t writing_revision_ = 0;
  uint64_t last_revision_ = 0;
  /// What this node's own row should hold, and holds as far as is known.
  std::vector<SuspectRecord> witnessed_;
  std::vector<SuspectRecord> witnessed_written_;
  std::vector<SuspectRecord> witnessed_writing_;
  Time next_witnessed_write_ = absl::InfinitePast();
  /// The latest one of all nodes that this node knows of.
  Fingerprint latest_trial_;
  Time latest_trial_at_ = absl::InfinitePast();
  std::vector<SuspectRecord> heard_;
  std::vector<SuspectRecord> inherited_;
  std::vector<Fingerprint> granted_;
  std::vector<Fingerprint> denied_;
  std::vector<Fingerprint> cleared_;
};

}  // namespace ladderstream::quarantine
