// Feeds a reader of HTTP messages as a connection does, and scans framing without a parser.
#pragma once

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "fuzz_support.h"
#include "gateway/http/request_reader.h"

namespace ladderstream::fuzz {

struct Feed {
  gateway::ReadStatus status = gateway::ReadStatus::kNeedMore;
  /// Bytes taken; only meaningful when a message is complete.
  size_t consumed = 0;
};

/// Offers `bytes` in pieces of `piece` bytes until a message is complete or at fault.
template <typename Reader>
Feed FeedInPieces(Reader* reader, std::string_view bytes, size_t piece) {
  Feed feed;
  std::string pending;
  for (size_t offset = 0; offset < bytes.size(); offset += piece) {
    pending.append(bytes.substr(offset, piece));
    size_t consumed = 0;
    feed.status = reader->Read(pending, &consumed);
    Require(consumed <= pending.size(), "a reader takes only what it was offered");
    pending.erase(0, consumed);
    feed.consumed += consumed;
    if (feed.status != gateway::ReadStatus::kNeedMore) {
      return feed;
    }
  }
  return feed;
}

/// How many fields of a head concern the body's length; by its lines alone.
inline size_t CountFramingFields(std::string_view head) {
  size_t count = 0;
  for (const absl::string_view line :
       absl::StrSplit(absl::string_view(head.data(), head.size()), '\n')) {
    const absl::string_view name = absl::StripAsciiWhitespace(line.substr(0, line.find(':')));
    count += absl::EqualsIgnoreCase(name, "content-length") ||
                     absl::EqualsIgnoreCase(name, "transfer-encoding")
                 ? 1
                 : 0;
  }
  return count;
}

/// The first head in `bytes` behind blank lines, as any lenient reader would cut it.
inline std::string_view HeadOf(std::string_view bytes) {
  while (!bytes.empty() && (bytes.front() == '\r' || bytes.front() == '\n')) {
    bytes.remove_prefix(1);
  }
  const size_t end = std::min(bytes.find("\r\n\r\n"), bytes.find("\n\n"));
  return bytes.substr(0, end);
}

/// Whether every line of a head that is passed on ends as it should and holds no control that
/// another parser might take for an end.
inline bool HasSoundLines(std::string_view head) {
  for (size_t i = 0; i < head.size(); ++i) {
    const bool ends_line = head[i] == '\r' && i + 1 < head.size() && head[i + 1] == '\n';
    if (ends_line) {
      ++i;
    } else if (head[i] == '\r' || head[i] == '\n' || head[i] == '\0') {
      return false;
    }
  }
  return head.size() >= 2 && head.substr(head.size() - 2) == "\r\n" &&
         head.find("\r\n\r\n") == std::string_view::npos;
}

}  // namespace ladderstream::fuzz
