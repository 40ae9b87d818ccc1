// Names a request by what it asks and who asks it.
#pragma once

#include <absl/strings/str_format.h>

#include <compare>
#include <cstdint>
#include <string>

namespace ladderstream::quarantine {

/// A cryptographic hash of method, host, target, key, body and the caller's address: nobody can
/// make a request whose fingerprint is another caller's. Says nothing of what was hashed.
struct Fingerprint {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const Fingerprint&) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash hash, const Fingerprint& fingerprint) {
    return Hash::combine(std::move(hash), fingerprint.high, fingerprint.low);
  }
};

/// 32 hexadecimal digits.
inline std::string Format(const Fingerprint& fingerprint) {
  return absl::StrFormat("%016x%016x", fingerprint.high, fingerprint.low);
}

}  // namespace ladderstream::quarantine
