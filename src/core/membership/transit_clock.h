// Age of a message on arrival, without synchronized clocks.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <optional>

#include "wire/time.h"

namespace ladderstream::membership {

/// Tells how much longer a message took than the fastest one on the same connection. A message that
/// waited in the buffers of a suspended or overloaded receiver shows its age; what every message of
/// the connection takes does not count.
class TransitClock {
 public:
  /// Returns the age of a message that was sent at `sent_us` of the sender's clock. The first
  /// message of a connection has none.
  Duration AgeOf(uint64_t connection, int64_t sent_us, Time now) {
    const int64_t offset = absl::ToUnixMicros(now) - sent_us;
    const auto [fastest, is_new] = offsets_.try_emplace(connection, offset);
    fastest->second = std::min(fastest->second, offset);
    return absl::Microseconds(offset - fastest->second);
  }
  /// The same; nullopt for the first message of a connection, which may have been held up.
  std::optional<Duration> KnownAgeOf(uint64_t connection, int64_t sent_us, Time now) {
    const bool is_first = !offsets_.contains(connection);
    const Duration age = AgeOf(connection, sent_us, now);
    return is_first ? std::nullopt : std::make_optional(age);
  }
  void Forget(uint64_t connection) { offsets_.erase(connection); }
  size_t size() const { return offsets_.size(); }

  /// The value that AgeOf() takes as `sent_us`.
  static int64_t Stamp(Time now) { return absl::ToUnixMicros(now); }

 private:
  /// Of the fastest message of each connection.
  absl::flat_hash_map<uint64_t, int64_t> offsets_;
};

}  // namespace ladderstream::membership
