// Small helpers for text of messages.
#pragma once

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

#include <boost/beast/core/string_type.hpp>
#include <string>
#include <string_view>

namespace ladderstream::gateway {

constexpr std::string_view kLineEnd = "\r\n";

inline std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// The Abseil library's own type of a text, which may differ from the language's.
inline absl::string_view ToAbsl(std::string_view text) { return {text.data(), text.size()}; }

inline bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(ToAbsl(left), ToAbsl(right));
}

inline bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix) {
  return absl::StartsWithIgnoreCase(ToAbsl(text), ToAbsl(prefix));
}

/// Appends every part to `out`.
template <typename... Parts>
void Append(std::string* out, const Parts&... parts) {
  (out->append(std::string_view(parts)), ...);
}

/// Appends one header line.
inline void AppendField(std::string* out, std::string_view name, std::string_view value) {
  Append(out, name, ": ", value, kLineEnd);
}

}  // namespace ladderstream::gateway
