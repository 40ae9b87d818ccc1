#include "explain/log_line.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace ladderstream::explain {
namespace {

constexpr absl::string_view kStampShape = "0000-00-00T00:00:00.000000Z ";
/// Collectors put a name and a time before a line, not more.
constexpr size_t kLongestPrefix = 256;

bool HasStampShape(absl::string_view text) {
  if (text.size() < kStampShape.size()) {
    return false;
  }
  return std::equal(kStampShape.begin(), kStampShape.end(), text.begin(), [](char shape, char c) {
    return shape == '0' ? absl::ascii_isdigit(static_cast<unsigned char>(c)) : shape == c;
  });
}

/// Takes everything up to and including the time of day off `text`.
std::optional<absl::Time> TakeStamp(absl::string_view* text) {
  const size_t last = std::min(text->size(), kLongestPrefix);
  for (size_t begin = 0; begin < last; ++begin) {
    if (!HasStampShape(text->substr(begin))) {
      continue;
    }
    const absl::string_view stamp = text->substr(begin, kStampShape.size() - 1);
    absl::Time wall;
    if (!absl::ParseTime("%Y-%m-%dT%H:%M:%E*SZ", stamp, &wall, nullptr)) {
      return std::nullopt;
    }
    text->remove_prefix(begin + kStampShape.size());
    return wall;
  }
  return std::nullopt;
}

/// Takes what stands before `separator` off `text`; nothing if the separator is missing.
std::optional<absl::string_view> TakeUntil(absl::string_view separator, absl::string_view* text) {
  const size_t end = text->find(separator);
  if (end == absl::string_view::npos) {
    return std::nullopt;
  }
  const absl::string_view taken = text->substr(0, end);
  text->remove_prefix(end + separator.size());
  return taken;
}

/// Takes a quoted value off `text`, which begins behind the opening quote.
std::optional<std::string> TakeQuoted(absl::string_view* text) {
  for (size_t i = 0; i < text->size(); ++i) {
    if ((*text)[i] == '\\') {
      ++i;
    } else if ((*text)[i] == '"') {
      std::string value;
      if (!absl::CUnescape(text->substr(0, i), &value)) {
        return std::nullopt;
      }
      text->remove_prefix(i + 1);
      return value;
    }
  }
  return std::nullopt;
}

/// Takes `key=value` and the space behind it off `text`.
std::optional<std::pair<std::string, std::string>> TakeField(absl::string_view* text) {
  const std::optional<absl::string_view> key = TakeUntil("=", text);
  const auto is_key_char = [](unsigned char c) {
    return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '_';
  };
  if (!key.has_value() || key->empty() || !std::all_of(key->begin(), key->end(), is_key_char)) {
    return std::nullopt;
  }
  std::optional<std::string> value;
  if (absl::ConsumePrefix(text, "\"")) {
    value = TakeQuoted(text);
  } else {
    // An empty value would have been quoted: the line is cut.
    const absl::string_view plain = text->substr(0, text->find(' '));
    text->remove_prefix(plain.size());
    if (!plain.empty()) {
      value = std::string(plain);
    }
  }
  if (!value.has_value() || (!text->empty() && !absl::ConsumePrefix(text, " "))) {
    return std::nullopt;
  }
  return std::pair(std::string(*key), *std::move(value));
}

/// Splits the tail from the sentence: it begins with the word that holds the first `=`.
absl::string_view SplitTail(absl::string_view text, std::string* sentence) {
  const size_t equals = text.find('=');
  if (equals == absl::string_view::npos) {
    *sentence = std::string(text);
    return {};
  }
  const size_t space = text.rfind(' ', equals);
  const size_t begin = space == absl::string_view::npos ? 0 : space + 1;
  *sentence = std::string(absl::StripTrailingAsciiWhitespace(text.substr(0, begin)));
  return text.substr(begin);
}

/// Puts a field where it belongs. False if it is one that cannot be read.
bool Keep(std::pair<std::string, std::string> field, LogLine* line) {
  if (field.first == "event") {
    line->event = std::move(field.second);
  } else if (field.first == "up") {
    return absl::SimpleAtod(field.second, &line->up) && std::isfinite(line->up);
  } else if (field.first == "node") {
    line->node = std::move(field.second);
  } else if (field.first == "run") {
    line->run = std::move(field.second);
  } else {
    line->fields.push_back(std::move(field));
  }
  return true;
}

}  // namespace

const std::string& LogLine::Field(std::string_view key) const {
  static const std::string absent;
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [key](const auto& field) { return field.first == key; });
  return found == fields.end() ? absent : found->second;
}

LineKind ParseLogLine(const std::string& line_text, LogLine* line) {
  *line = LogLine();
  absl::string_view text = absl::StripTrailingAsciiWhitespace(line_text);
  const std::optional<absl::Time> wall = TakeStamp(&text);
  const std::optional<absl::string_view> severity = TakeUntil(" ", &text);
  const std::optional<absl::string_view> part = TakeUntil(": ", &text);
  if (!wall.has_value() || !severity.has_value() || !part.has_value()) {
    return LineKind::kBad;
  }
  line->wall = *wall;
  line->severity = std::string(*severity);
  line->part = std::string(*part);
  absl::string_view tail = SplitTail(text, &line->sentence);
  if (!absl::StartsWith(tail, "event=")) {
    return LineKind::kOther;
  }
  while (!tail.empty()) {
    std::optional<std::pair<std::string, std::string>> field = TakeField(&tail);
    if (!field.has_value() || !Keep(*std::move(field), line)) {
      return LineKind::kBad;
    }
  }
  return line->event.empty() || line->node.empty() ? LineKind::kBad : LineKind::kEvent;
}

}  // namespace ladderstream::explain
