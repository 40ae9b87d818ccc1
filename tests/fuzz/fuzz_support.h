// What the fuzz targets share.
//
// A target gets any bytes, and must neither crash nor break what it requires of its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace ladderstream::fuzz {

/// Ends the program, which the fuzzer counts as a finding, unless `condition` holds.
inline void Require(bool condition, const char* what) {
  if (!condition) {
    std::fprintf(stderr, "required: %s\n", what);
    std::abort();
  }
}

inline std::string_view ToText(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Takes the first byte off `bytes`; 0 when there is none.
inline uint8_t TakeByte(std::string_view* bytes) {
  if (bytes->empty()) {
    return 0;
  }
  const auto byte = static_cast<uint8_t>(bytes->front());
  bytes->remove_prefix(1);
  return byte;
}

}  // namespace ladderstream::fuzz

/// The entry that the fuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);
