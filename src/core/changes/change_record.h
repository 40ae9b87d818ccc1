// The record stored under a change's operation id, from which a repeated call gets the same
// outcome.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace ladderstream::changes {

/// The table of the records. A record's key is the operation id; its partition is that of the
/// configuration row.
inline constexpr char kOperationTable[] = "operations";

struct ChangeRecord {
  /// A hash of the change; distinguishes a repeated call from a reused operation id.
  uint64_t digest = 0;
  /// The revision that the change created.
  uint64_t revision = 0;
  bool operator==(const ChangeRecord&) const = default;
  MSGPACK_DEFINE_ARRAY(digest, revision);
};

std::string EncodeChangeRecord(const ChangeRecord& record);
/// Throws Error(kMalformedMessage).
ChangeRecord DecodeChangeRecord(std::string_view value);

/// Returns a hash of `bytes` that is equal in every process and build.
uint64_t DigestOf(std::string_view bytes);

}  // namespace ladderstream::changes
