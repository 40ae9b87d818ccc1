// Names what a request asks.
#pragma once

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ladderstream::quarantine {

/// A cryptographic hash: nobody can make another request of the same fingerprint. Says nothing of
/// what was hashed.
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

/// Reads what Format gives; nothing when `text` is no fingerprint.
inline std::optional<Fingerprint> ParseFingerprint(std::string_view text) {
  constexpr size_t kDigits = 16;
  Fingerprint fingerprint;
  const absl::string_view digits(text.data(), text.size());
  if (text.size() != 2 * kDigits ||
      !absl::SimpleHexAtoi(digits.substr(0, kDigits), &fingerprint.high) ||
      !absl::SimpleHexAtoi(digits.substr(kDigits), &fingerprint.low)) {
    return std::nullopt;
  }
  return fingerprint;
}

}  // namespace ladderstream::quarantine
