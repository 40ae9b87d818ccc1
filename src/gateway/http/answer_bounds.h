// Bounds on the parts of an answer that are not its body, as a server in trouble may send any of
// them without an end.
#pragma once

#include <cstddef>

namespace ladderstream::gateway {

constexpr size_t kMaxHeadBytes = 65536;
/// Of one chunk size line, or of all trailers.
constexpr size_t kMaxChunkOverheadBytes = 8192;
constexpr int kMaxInterimAnswers = 16;

}  // namespace ladderstream::gateway
