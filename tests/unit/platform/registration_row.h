// Rows of the store as back ends of this platform write them, for tests.
#pragma once

#include <absl/strings/str_cat.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace ladderstream::platform {

/// The registration of a back end that listens at `port` and started at this Unix millisecond.
inline std::string RegistrationRow(size_t port, const std::string& state, size_t sequence,
                                   uint64_t started_at_ms) {
  return absl::StrCat(R"({"service":"cards","address":"10.0.0.1:)", port,
                      R"(","zone":"a","version":"1","slots":2,"state":")", state,
                      R"(","cold_left_s":0,"born":)", started_at_ms, R"(,"seq":)", sequence, "}");
}

}  // namespace ladderstream::platform
