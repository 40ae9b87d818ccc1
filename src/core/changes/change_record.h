// What is stored with a change under its operation id, so that a repeated call gets its outcome.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace ladderstream::changes {

/// The table of the records; a record's key is its operation id, its partition the configuration's.
inline constexpr char kOperationTable[] = "operations";

struct ChangeRecord {
  /// A hash of the change, to tell a repeated call from a reused id.
  uint64_t digest = 0;
  /// The revision that the change made.
  uint64_t revision = 0;
  bool operator==(const ChangeRecord&) const = default;
  MSGPACK_DEFINE_ARRAY(digest, revision);
};

std::string EncodeChangeRecord(const ChangeRecord& record);
/// Throws Error(kMalformedMessage).
ChangeRecord DecodeChangeRecord(std::string_view value);

/// A hash that is the same in every process and build.
uint64_t DigestOf(std::string_view bytes);

}  // namespace ladderstream::changes
