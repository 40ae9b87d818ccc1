// Keeps the records of suspects in the metadata store, so that they outlive all nodes.
//
// A row a request, written by a node that concluded something of it; conditions on the row's
// version let concurrent writers merge. A trial of a held request is a write as well: whoever
// increases the row's count may send it, so that one node tries at a time, whichever nodes start
// or end. While the store is away, writes wait and trials are not granted.
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
#include "core/store/back_off.h"
#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::quarantine {

struct SuspectStoreSettings {
  std::string table = "quarantine";
  std::string partition = "quarantine";
  Duration call_timeout = absl::Seconds(1);
  /// Without an answer for so long after the start, a node serves without knowing the records.
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

  /// Another node knows the records and has told them.
  void OnVouched() { is_known_ = true; }
  /// Whether this node knows which requests are held.
  bool IsKnown() const { return is_known_; }

  /// Writes a record, or removes its row when it has no losses.
  void Save(const SuspectRecord& record);
  /// Asks for one trial more of the record's request.
  void WantTrial(const SuspectRecord& record);
  /// Rows that are out of date are removed by this node, which coordinates.
  void SetCleaner() { is_cleaner_ = true; }

  /// What was read.
  std::vector<SuspectRecord> TakeHeard() { return std::exchange(heard_, {}); }
  std::vector<Fingerprint> TakeGrantedTrials() { return std::exchange(granted_, {}); }

 private:
  /// A write that was not confirmed yet.
  struct Pending {
    SuspectRecord record;
    bool is_trial = false;
    /// Numbers what was to be written, so that a reply to an older write ends no newer one.
    uint64_t revision = 0;
  };
  enum class CallKind { kNone, kRead, kWrite, kClean };

  bool HasWork() const { return !pending_.empty() || (is_cleaner_ && !outdated_.empty()); }
  Call MakeRead();
  Call MakeWrite(Time now);
  Call MakeCleaning();
  void OnRead(const store::StoreReply& reply, Time now);
  void OnWritten(const store::StoreReply& reply, Time now);
  void OnConflict(const store::StoreReply& reply, Time now);
  void TakeRow(const store::Row& row, Time now);
  void SetClock(const store::StoreReply& reply, Time now);
  store::RowKey KeyOf(const Fingerprint& request) const;
  /// In milliseconds of the store's clock.
  int64_t ToStoreTime(Time time) const;
  Time FromStoreTime(int64_t milliseconds) const;
  std::string Encode(const SuspectRecord& record) const;
  SuspectRecord Decode(const store::Row& row) const;

  const SuspectStoreSettings settings_;
  store::BackOff back_off_;
  bool is_known_ = false;
  /// The table was read by this node, whose writes need the rows' versions and the store's clock.
  bool is_read_ = false;
  bool is_cleaner_ = false;
  Time started_ = absl::InfiniteFuture();
  Time next_call_ = absl::InfinitePast();
  uint64_t last_call_ = 0;
  CallKind outstanding_ = CallKind::kNone;
  Time outstanding_until_;
  std::string read_from_;
  /// The store's clock was this far ahead of this node's.
  Duration clock_offset_;
  std::map<std::string, store::RowVersion> versions_;
  std::vector<store::RowKey> outdated_;
  std::map<Fingerprint, Pending> pending_;
  std::optional<Fingerprint> writing_;
  uint64_t writing_revision_ = 0;
  uint64_t last_revision_ = 0;
  std::vector<SuspectRecord> heard_;
  std::vector<Fingerprint> granted_;
};

}  // namespace ladderstream::quarantine
