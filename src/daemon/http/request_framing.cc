#include "daemon/http/request_framing.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace ladderstream {
namespace {

constexpr absl::string_view kEndOfHead = "\r\n\r\n";
constexpr absl::string_view kEndOfLine = "\r\n";

/// What the header lines say about the body.
struct Framing {
  bool has_length = false;
  bool has_coding = false;
  bool malformed = false;
};

bool IsNumber(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
  });
}

void ReadLength(absl::string_view value, RequestHead& head, Framing& framing) {
  const bool valid =
      !framing.has_length && IsNumber(value) && absl::SimpleAtoi(value, &head.content_length);
  framing.has_length = true;
  framing.malformed |= !valid;
}

void ReadCoding(absl::string_view value, RequestHead& head, Framing& framing) {
  framing.malformed |= framing.has_coding || !absl::EqualsIgnoreCase(value, "chunked");
  framing.has_coding = true;
  head.chunked = true;
}

void ReadHeader(absl::string_view line, RequestHead& head, Framing& framing) {
  const size_t colon = line.find(':');
  const absl::string_view name = line.substr(0, colon);
  // Folded lines and spaces before the colon hide headers from some readers.
  const bool valid_name = colon != absl::string_view::npos && !name.empty() &&
                          std::none_of(name.begin(), name.end(), [](char c) {
                            return absl::ascii_isspace(static_cast<unsigned char>(c));
                          });
  if (!valid_name) {
    framing.malformed = true;
    return;
  }
  const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
  if (absl::EqualsIgnoreCase(name, "Content-Length")) {
    ReadLength(value, head, framing);
  } else if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
    ReadCoding(value, head, framing);
  } else if (absl::EqualsIgnoreCase(name, "Expect")) {
    head.expects_continue = absl::EqualsIgnoreCase(value, "100-continue");
  }
}

bool HasBareLineEnd(absl::string_view head) {
  for (size_t i = 0; i < head.size(); ++i) {
    const bool bare_feed = head[i] == '\n' && (i == 0 || head[i - 1] != '\r');
    const bool bare_return = head[i] == '\r' && (i + 1 == head.size() || head[i + 1] != '\n');
    if (bare_feed || bare_return || head[i] == '\0') {
      return true;
    }
  }
  return false;
}

}  // namespace

RequestHead ScanHead(absl::string_view input) {
  RequestHead head;
  const size_t end = input.find(kEndOfHead);
  if (end == absl::string_view::npos) {
    return head;
  }
  head.head_bytes = end + kEndOfHead.size();
  const absl::string_view text = input.substr(0, head.head_bytes);
  Framing framing;
  framing.malformed = HasBareLineEnd(text);
  bool is_request_line = true;
  for (const absl::string_view line : absl::StrSplit(text.substr(0, end), kEndOfLine)) {
    if (!is_request_line) {
      ReadHeader(line, head, framing);
    }
    is_request_line = false;
  }
  framing.malformed |= framing.has_length && framing.has_coding;
  head.state = framing.malformed ? HeadState::kMalformed : HeadState::kComplete;
  return head;
}

}  // namespace ladderstream
