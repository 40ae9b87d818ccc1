#include "standin/fleet/endless_answer.h"

#include <absl/strings/str_cat.h>

namespace ladderstream::fleet {
namespace {

constexpr size_t kBlockBytes = 16384;
constexpr std::array<std::string_view, kEndlessForms> kNames = {
    "status line",     "field",        "fields",   "interim answers",    "chunk size",
    "chunks",          "small chunks", "trailers", "body with a length", "body until close",
    "after an answer",
};

std::string Repeat(std::string_view text) {
  std::string block;
  while (block.size() < kBlockBytes) {
    block.append(text);
  }
  return block;
}

/// The status line and the fields, without the blank line behind them.
std::string HeadOf(const Answer& answer) {
  std::string head = absl::StrCat("HTTP/1.1 ", answer.status, " OK\r\n");
  for (const auto& [name, value] : answer.headers) {
    absl::StrAppend(&head, name, ": ", value, "\r\n");
  }
  return head;
}

}  // namespace

std::string_view NameOf(EndlessForm form) { return kNames.at(static_cast<size_t>(form)); }

EndlessAnswer MakeEndless(EndlessForm form, const Answer& answer) {
  const std::string head = HeadOf(answer);
  const std::string chunked = absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n");
  const std::string letters = Repeat("abcdefgh");
  switch (form) {
    case EndlessForm::kStatusLine:
      return {absl::StrCat("HTTP/1.1 ", answer.status, " "), letters};
    case EndlessForm::kField:
      return {absl::StrCat(head, "X-Endless: "), letters};
    case EndlessForm::kFields:
      return {head, Repeat("X-Endless: abcdefgh\r\n")};
    case EndlessForm::kInterimAnswers:
      return {"", Repeat("HTTP/1.1 100 Continue\r\n\r\n")};
    case EndlessForm::kChunkSizeLine:
      return {absl::StrCat(chunked, "1;extension="), letters};
    case EndlessForm::kChunks:
      return {chunked, absl::StrCat(absl::Hex(letters.size()), "\r\n", letters, "\r\n")};
    case EndlessForm::kSmallChunks:
      return {chunked, Repeat("1\r\na\r\n")};
    case EndlessForm::kTrailers:
      return {absl::StrCat(chunked, "1\r\na\r\n0\r\n"), Repeat("X-Endless: abcdefgh\r\n")};
    case EndlessForm::kBodyWithLength:
      return {absl::StrCat(head, "Content-Length: ", uint64_t{1} << 50U, "\r\n\r\n"), letters};
    case EndlessForm::kBodyUntilClose:
      return {absl::StrCat(head, "\r\n"), letters};
    case EndlessForm::kAfterAnswer:
    case EndlessForm::kCount:
      break;
  }
  return {absl::StrCat(head, "Content-Length: ", answer.body.size(), "\r\n\r\n", answer.body),
          letters};
}

}  // namespace ladderstream::fleet
