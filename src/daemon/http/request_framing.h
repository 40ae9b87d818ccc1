// Where a request's head ends and how its body is framed, before the HTTP library reads it.
//
// This only decides when a request is complete enough to be given to a thread, and refuses framings
// on which two HTTP implementations could disagree.
#pragma once

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>

namespace ladderstream {

enum class HeadState {
  /// More bytes are needed.
  kIncomplete,
  kComplete,
  /// Bare line feeds, contradictory or unreadable lengths, unknown transfer codings.
  kMalformed,
};

struct RequestHead {
  HeadState state = HeadState::kIncomplete;
  /// Request line and headers with the empty line.
  size_t head_bytes = 0;
  /// Zero when none is declared.
  uint64_t content_length = 0;
  bool chunked = false;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
};

/// Reads the head at the beginning of `input`.
RequestHead ScanHead(absl::string_view input);

}  // namespace ladderstream
