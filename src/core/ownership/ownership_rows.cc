#include "core/ownership/ownership_rows.h"

#include <vector>

#include "core/ownership/assignments.h"
#include "wire/codec.h"
#include "wire/result_code.h"

namespace ladderstream::ownership {
namespace {

constexpr std::string_view kServicePrefix = "service/";

/// Nobody, in the column of owners.
constexpr uint32_t kNoOwner = 0;

struct EncodedOwner {
  std::string id;
  Endpoint address;
  MSGPACK_DEFINE_ARRAY(id, address);
};

/// A range ends where the next one begins.
struct EncodedRange {
  Key first = 0;
  /// kNoOwner, or one more than the owner's place.
  uint32_t owner = kNoOwner;
  Fence fence = 0;
  MSGPACK_DEFINE_ARRAY(first, owner, fence);
};

struct EncodedService {
  std::vector<EncodedOwner> owners;
  std::vector<EncodedRange> ranges;
  MSGPACK_DEFINE_ARRAY(owners, ranges);
};

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

std::string EncodeLeaseRow(const LeaseRow& row) { return Encode(row); }

LeaseRow DecodeLeaseRow(std::string_view value) { return Decode<LeaseRow>(value); }

std::string EncodeServiceRow(const ServiceRow& row) {
  EncodedService encoded;
  std::map<std::string, uint32_t> places;
  for (const Assignment& assignment : row.assignments) {
    uint32_t owner = kNoOwner;
    if (!assignment.owner.empty()) {
      const auto next = static_cast<uint32_t>(encoded.owners.size()) + 1;
      const auto [place, is_new] = places.emplace(assignment.owner, next);
      if (is_new) {
        const auto address = row.addresses.find(assignment.owner);
        encoded.owners.push_back(
            {assignment.owner, address == row.addresses.end() ? Endpoint{} : address->second});
      }
      owner = place->second;
    }
    encoded.ranges.push_back({assignment.range.first, owner, assignment.fence});
  }
  return Encode(encoded);
}

ServiceRow DecodeServiceRow(std::string_view value) {
  const auto encoded = Decode<EncodedService>(value);
  ServiceRow row;
  for (const EncodedOwner& owner : encoded.owners) {
    row.addresses[owner.id] = owner.address;
  }
  for (size_t i = 0; i < encoded.ranges.size(); ++i) {
    const EncodedRange& range = encoded.ranges[i];
    const Key end = i + 1 < encoded.ranges.size() ? encoded.ranges[i + 1].first : kLastKey + 1;
    if (range.owner > encoded.owners.size() || end <= range.first) {
      throw Error(ResultCode::kMalformedMessage, "row of a service: bad range");
    }
    const std::string owner = range.owner == kNoOwner ? "" : encoded.owners[range.owner - 1].id;
    row.assignments.push_back({{range.first, end - 1}, owner, range.fence});
  }
  if (!CoversAllKeys(row.assignments)) {
    throw Error(ResultCode::kMalformedMessage, "row of a service: keys are missing");
  }
  return row;
}

}  // namespace ladderstream::ownership
