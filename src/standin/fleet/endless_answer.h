// Answers without an end: bytes that go on until the other side closes.
//
// Pure: no I/O and no clock.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "standin/fleet/http_message.h"

namespace ladderstream::fleet {

/// The part of an answer that does not end.
enum class EndlessForm : uint8_t {
  kStatusLine,
  kField,
  kFields,
  kInterimAnswers,
  kChunkSizeLine,
  kChunks,
  kSmallChunks,
  kTrailers,
  kBodyWithLength,
  kBodyUntilClose,
  /// Bytes follow a whole answer.
  kAfterAnswer,
  kCount,
};

inline constexpr size_t kEndlessForms = static_cast<size_t>(EndlessForm::kCount);

std::string_view NameOf(EndlessForm form);

struct EndlessAnswer {
  std::string first;
  /// Follows again and again.
  std::string block;
};

/// `answer`, of which `form` does not end.
EndlessAnswer MakeEndless(EndlessForm form, const Answer& answer);

}  // namespace ladderstream::fleet
