#include "core/ownership/ownership_rows.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "core/ownership/assignments.h"
#include "wire/codec.h"
#include "wire/result_code.h"

namespace ladderstream::ownership {
namespace {

constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kSegmentPrefix = "segment/";

/// Owner index of keys without an owner.
constexpr uint32_t kNoOwner = 0;

/// Maximum encoded size of a segment without its owners and ranges.
constexpr size_t kSegmentOverheadBytes = 24;

struct EncodedOwner {
  std::string id;
  Endpoint address;
  MSGPACK_DEFINE_ARRAY(id, address);
};

/// A range ends where the next one begins.
struct EncodedRange {
  Key first = 0;
  /// kNoOwner, or the index in `owners` plus 1.
  uint32_t owner = kNoOwner;
  Fence fence = 0;
  MSGPACK_DEFINE_ARRAY(first, owner, fence);
};

struct EncodedService {
  std::vector<EncodedOwner> owners;
  std::vector<EncodedRange> ranges;
  MSGPACK_DEFINE_ARRAY(owners, ranges);
};

struct EncodedSegment {
  EncodedService service;
  /// Inclusive. Stored because a segment does not contain the first key of the next one.
  Key last = 0;
  MSGPACK_DEFINE_ARRAY(service, last);
};

/// An array of one element, which cannot be decoded as an EncodedService.
struct EncodedSegmentList {
  std::vector<Key> firsts;
  MSGPACK_DEFINE_ARRAY(firsts);
};

template <typename Entry>
size_t EncodedBytes(const Entry& entry) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, entry);
  return buffer.size();
}

EncodedService ToEncoded(const ServiceRow& row) {
  EncodedService encoded;
  std::map<std::string, uint32_t> indexes;
  for (const Assignment& assignment : row.assignments) {
    uint32_t owner = kNoOwner;
    if (!assignment.owner.empty()) {
      const auto next = static_cast<uint32_t>(encoded.owners.size()) + 1;
      const auto [index, is_new] = indexes.emplace(assignment.owner, next);
      if (is_new) {
        const auto address = row.addresses.find(assignment.owner);
        encoded.owners.push_back(
            {assignment.owner, address == row.addresses.end() ? Endpoint{} : address->second});
      }
      owner = index->second;
    }
    encoded.ranges.push_back({assignment.range.first, owner, assignment.fence});
  }
  return encoded;
}

/// Throws Error(kMalformedMessage) if the assignments do not cover exactly `range`.
ServiceRow FromEncoded(const EncodedService& encoded, const KeyRange& range) {
  ServiceRow row;
  for (const EncodedOwner& owner : encoded.owners) {
    row.addresses[owner.id] = owner.address;
  }
  Key next = range.first;
  for (size_t i = 0; i < encoded.ranges.size(); ++i) {
    const EncodedRange& entry = encoded.ranges[i];
    const Key end = i + 1 < encoded.ranges.size() ? encoded.ranges[i + 1].first : range.last + 1;
    if (entry.owner > encoded.owners.size() || entry.first != next || end <= entry.first) {
      throw Error(ResultCode::kMalformedMessage,
                  absl::StrCat("service row: range ", i, " begins at ", entry.first,
                               " and ends before ", end, ", expected to begin at ", next,
                               "; owner index ", entry.owner, " of ", encoded.owners.size()));
    }
    const std::string owner = entry.owner == kNoOwner ? "" : encoded.owners[entry.owner - 1].id;
    row.assignments.push_back({{entry.first, end - 1}, owner, entry.fence});
    next = end;
  }
  if (next != range.last + 1) {
    throw Error(ResultCode::kMalformedMessage,
                absl::StrCat("service row: assignments end before key ", next,
                             ", expected to end at ", range.last));
  }
  return row;
}

/// Appends the assignments and addresses of a segment to its service's row.
void Append(const ServiceRow& segment, ServiceRow* row) {
  for (const Assignment& assignment : segment.assignments) {
    AppendCoalesced(assignment, &row->assignments);
  }
  row->addresses.insert(segment.addresses.begin(), segment.addresses.end());
}

void AppendUnreadable(const KeyRange& range, std::string fault, StoredService* stored) {
  AppendCoalesced({range, "", 0}, &stored->row.assignments);
  stored->unreadable.push_back(range);
  stored->faults.push_back(std::move(fault));
}

using RowsByKey = std::map<std::string_view, const store::Row*>;

void AppendSegment(const std::string& service, const KeyRange& range, const RowsByKey& rows,
                   StoredService* stored) {
  const std::string key = SegmentRowKey(service, range.first);
  const auto row = rows.find(key);
  if (row == rows.end()) {
    AppendUnreadable(range, absl::StrCat(key, ": row is missing"), stored);
    return;
  }
  try {
    const ServiceRow segment = DecodeSegment(row->second->value, range.first);
    if (segment.assignments.back().range.last != range.last) {
      throw Error(ResultCode::kMalformedMessage,
                  absl::StrCat("segment ends at ", segment.assignments.back().range.last,
                               ", head row expects ", range.last));
    }
    Append(segment, &stored->row);
  } catch (const Error& error) {
    AppendUnreadable(range, absl::StrCat(key, ": ", error.what()), stored);
  }
}

StoredService ReadService(const std::string& service, const store::Row& head,
                          const RowsByKey& rows) {
  StoredService stored;
  try {
    if (!IsSegmentList(head.value)) {
      stored.row = DecodeServiceRow(head.value);
      stored.segment_firsts = {0};
      return stored;
    }
    stored.segment_firsts = DecodeSegmentList(head.value);
    stored.has_segments = true;
  } catch (const Error& error) {
    stored.segment_firsts = {0};
    AppendUnreadable({0, kLastKey}, absl::StrCat(head.key.key, ": ", error.what()), &stored);
    return stored;
  }
  const std::vector<Key>& firsts = stored.segment_firsts;
  for (size_t i = 0; i < firsts.size(); ++i) {
    const Key last = i + 1 < firsts.size() ? firsts[i + 1] - 1 : kLastKey;
    AppendSegment(service, {firsts[i], last}, rows, &stored);
  }
  return stored;
}

}  // namespace

std::string ServiceRowKey(const std::string& service) {
  return std::string(kServicePrefix) + service;
}

std::string ServiceOfRowKey(std::string_view key) {
  if (key.substr(0, kServicePrefix.size()) != kServicePrefix) {
    return "";
  }
  return std::string(key.substr(kServicePrefix.size()));
}

std::string SegmentRowKey(const std::string& service, Key first) {
  return absl::StrCat(std::string(kSegmentPrefix), service, "/", absl::Hex(first, absl::kZeroPad4));
}

std::optional<SegmentId> SegmentOfRowKey(std::string_view key) {
  const size_t slash = key.rfind('/');
  Key first = 0;
  if (key.substr(0, kSegmentPrefix.size()) != kSegmentPrefix || slash < kSegmentPrefix.size() ||
      !absl::SimpleHexAtoi(std::string(key.substr(slash + 1)), &first) || first > kLastKey) {
    return std::nullopt;
  }
  const size_t begin = kSegmentPrefix.size();
  return SegmentId{std::string(key.substr(begin, slash - begin)), first};
}

bool IsAssignmentKey(std::string_view key) {
  return !ServiceOfRowKey(key).empty() || SegmentOfRowKey(key).has_value();
}

std::string EncodeLeaseRow(const LeaseRow& row) { return Encode(row); }

LeaseRow DecodeLeaseRow(std::string_view value) { return Decode<LeaseRow>(value); }

std::string EncodeServiceRow(const ServiceRow& row) { return Encode(ToEncoded(row)); }

ServiceRow DecodeServiceRow(std::string_view value) {
  return FromEncoded(Decode<EncodedService>(value), {0, kLastKey});
}

std::string EncodeSegmentList(const std::vector<Key>& firsts) {
  return Encode(EncodedSegmentList{firsts});
}

bool IsSegmentList(std::string_view value) {
  // The msgpack header of an array of one element.
  constexpr char kOneElement = static_cast<char>(0x91);
  return !value.empty() && value.front() == kOneElement;
}

std::vector<Key> DecodeSegmentList(std::string_view value) {
  auto list = Decode<EncodedSegmentList>(value);
  const auto unordered =
      std::adjacent_find(list.firsts.begin(), list.firsts.end(), std::greater_equal<>());
  if (list.firsts.empty() || list.firsts.front() != 0 || list.firsts.back() > kLastKey ||
      unordered != list.firsts.end()) {
    throw Error(ResultCode::kMalformedMessage,
                "service row: segment list must ascend from 0 to at most the last key");
  }
  return std::move(list.firsts);
}

std::string EncodeSegment(const ServiceRow& row) {
  const Key last = row.assignments.empty() ? 0 : row.assignments.back().range.last;
  return Encode(EncodedSegment{ToEncoded(row), last});
}

ServiceRow DecodeSegment(std::string_view value, Key first) {
  const auto segment = Decode<EncodedSegment>(value);
  if (segment.last < first || segment.last > kLastKey) {
    throw Error(
        ResultCode::kMalformedMessage,
        absl::StrCat("segment ends at ", segment.last, ", expected ", first, " to ", kLastKey));
  }
  return FromEncoded(segment.service, {first, segment.last});
}

std::vector<ServiceRow> SplitRow(const ServiceRow& row, size_t max_bytes) {
  std::vector<ServiceRow> parts;
  size_t bytes = 0;
  for (const Assignment& assignment : row.assignments) {
    const auto address = row.addresses.find(assignment.owner);
    const auto owner_bytes = [&](const ServiceRow& part) {
      const bool named = address == row.addresses.end() || part.addresses.contains(address->first);
      return named ? 0 : EncodedBytes(EncodedOwner{address->first, address->second});
    };
    const size_t range_bytes =
        EncodedBytes(EncodedRange{assignment.range.first, kLastKey, assignment.fence});
    if (parts.empty() || bytes + range_bytes + owner_bytes(parts.back()) > max_bytes) {
      parts.emplace_back();
      bytes = kSegmentOverheadBytes;
    }
    bytes += range_bytes + owner_bytes(parts.back());
    parts.back().assignments.push_back(assignment);
    if (address != row.addresses.end()) {
      parts.back().addresses.insert(*address);
    }
  }
  return parts;
}

std::map<std::string, StoredService> ReadServices(const std::vector<store::Row>& rows) {
  RowsByKey by_key;
  for (const store::Row& row : rows) {
    if (!row.removed) {
      by_key[row.key.key] = &row;
    }
  }
  std::map<std::string, StoredService> services;
  for (const auto& [key, row] : by_key) {
    const std::string service = ServiceOfRowKey(key);
    if (!service.empty()) {
      services[service] = ReadService(service, *row, by_key);
    }
  }
  return services;
}

}  // namespace ladderstream::ownership
