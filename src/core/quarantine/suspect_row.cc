#include "core/quarantine/suspect_row.h"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>

#include "wire/codec.h"

namespace ladderstream::quarantine {

/// Times in milliseconds.
struct SuspectRowCodec::StoredRecord {
  std::vector<std::string> backends;
  std::vector<int64_t> lost_at_ms;
  std::vector<uint8_t> states;
  uint32_t trials = 0;
  int64_t tried_at_ms = 0;
  MSGPACK_DEFINE_ARRAY(backends, lost_at_ms, states, trials, tried_at_ms);
};

namespace {

/// Several records in one value; the lists are of the same length.
template <typename Stored>
struct StoredRecords {
  std::vector<uint64_t> high;
  std::vector<uint64_t> low;
  std::vector<Stored> records;
  MSGPACK_DEFINE_ARRAY(high, low, records);
};

}  // namespace

int64_t SuspectRowCodec::ToStoreTime(Time time) const {
  return absl::ToInt64Milliseconds(time - absl::UnixEpoch() + store_ahead_);
}

Time SuspectRowCodec::FromStoreTime(int64_t milliseconds) const {
  return absl::UnixEpoch() + absl::Milliseconds(milliseconds) - store_ahead_;
}

SuspectRowCodec::StoredRecord SuspectRowCodec::ToStored(const SuspectRecord& record) const {
  StoredRecord stored;
  for (const Loss& loss : record.losses) {
    stored.backends.push_back(loss.backend);
    stored.lost_at_ms.push_back(ToStoreTime(loss.at));
    stored.states.push_back(static_cast<uint8_t>(loss.state));
  }
  stored.trials = record.trials;
  stored.tried_at_ms = record.trials == 0 ? 0 : ToStoreTime(record.tried_at);
  return stored;
}

SuspectRecord SuspectRowCodec::FromStored(const Fingerprint& request,
                                          const StoredRecord& stored) const {
  SuspectRecord record = EmptyRecord(request);
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
  return record;
}

std::string SuspectRowCodec::EncodeRecord(const SuspectRecord& record) const {
  return Encode(ToStored(record));
}

SuspectRecord SuspectRowCodec::DecodeRecord(const Fingerprint& request,
                                            const std::string& value) const {
  try {
    return FromStored(request, Decode<StoredRecord>(value));
  } catch (const std::exception& /*error*/) {
    return EmptyRecord(request);
  }
}

std::string SuspectRowCodec::EncodeRecords(const std::vector<SuspectRecord>& records) const {
  StoredRecords<StoredRecord> stored;
  for (const SuspectRecord& record : records) {
    stored.high.push_back(record.request.high);
    stored.low.push_back(record.request.low);
    stored.records.push_back(ToStored(record));
  }
  return Encode(stored);
}

std::vector<SuspectRecord> SuspectRowCodec::DecodeRecords(const std::string& value) const {
  try {
    const auto stored = Decode<StoredRecords<StoredRecord>>(value);
    const size_t count = std::min({stored.high.size(), stored.low.size(), stored.records.size()});
    std::vector<SuspectRecord> records;
    for (size_t i = 0; i < count; ++i) {
      records.push_back(FromStored({stored.high[i], stored.low[i]}, stored.records[i]));
    }
    return records;
  } catch (const std::exception& /*error*/) {
    return {};
  }
}

}  // namespace ladderstream::quarantine
