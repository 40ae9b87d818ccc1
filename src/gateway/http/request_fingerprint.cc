#include "gateway/http/request_fingerprint.h"

#include <sodium/crypto_generichash_blake2b.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>

namespace ladderstream::gateway {
namespace {

constexpr size_t kHashBytes = 2 * sizeof(uint64_t);
static_assert(kHashBytes >= crypto_generichash_blake2b_BYTES_MIN);

class Hash {
 public:
  Hash() { crypto_generichash_blake2b_init(&state_, nullptr, 0, kHashBytes); }

  /// Each part with its length, so that no two lists of parts give the same bytes.
  void Add(std::string_view part) {
    const uint64_t size = part.size();
    Feed(&size, sizeof(size));
    Feed(part.data(), std::min(part.size(), kFingerprintedBodyBytes));
  }

  quarantine::Fingerprint Finish() {
    std::array<unsigned char, kHashBytes> bytes{};
    crypto_generichash_blake2b_final(&state_, bytes.data(), bytes.size());
    quarantine::Fingerprint fingerprint;
    std::memcpy(&fingerprint.high, bytes.data(), sizeof(fingerprint.high));
    std::memcpy(&fingerprint.low, bytes.data() + sizeof(fingerprint.high), sizeof(fingerprint.low));
    return fingerprint;
  }

 private:
  void Feed(const void* data, size_t size) {
    crypto_generichash_blake2b_update(&state_, static_cast<const unsigned char*>(data), size);
  }

  crypto_generichash_blake2b_state state_;
};

/// The first word of the request line.
std::string_view MethodOf(const CallerRequest& request) {
  return std::string_view(request.head).substr(0, request.head.find(' '));
}

}  // namespace

quarantine::Fingerprint FingerprintOf(const CallerRequest& request) {
  Hash hash;
  hash.Add(MethodOf(request));
  hash.Add(request.host);
  hash.Add(request.target);
  hash.Add(request.key.has_value() ? std::to_string(*request.key) : "");
  hash.Add(request.caller);
  hash.Add(request.body);
  return hash.Finish();
}

}  // namespace ladderstream::gateway
