// The values of the rows in which the metadata store keeps what is known of suspects.
//
// Times are the store's clock: the clocks of nodes begin anew with each process.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/quarantine/suspect_record.h"
#include "wire/time.h"

namespace ladderstream::quarantine {

/// Translates times of this process, of which the store's clock is `store_ahead` ahead.
class SuspectRowCodec {
 public:
  void SetStoreAhead(Duration store_ahead) { store_ahead_ = store_ahead; }

  std::string EncodeRecord(const SuspectRecord& record) const;
  /// A value that cannot be read gives a record without losses, which holds nobody.
  SuspectRecord DecodeRecord(const Fingerprint& request, const std::string& value) const;

  std::string EncodeRecords(const std::vector<SuspectRecord>& records) const;
  /// A value that cannot be read gives no records.
  std::vector<SuspectRecord> DecodeRecords(const std::string& value) const;

 private:
  int64_t ToStoreTime(Time time) const;
  Time FromStoreTime(int64_t milliseconds) const;

  Duration store_ahead_;

  struct StoredRecord;
  StoredRecord ToStored(const SuspectRecord& record) const;
  SuspectRecord FromStored(const Fingerprint& request, const StoredRecord& stored) const;
};

}  // namespace ladderstream::quarantine
