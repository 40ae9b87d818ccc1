#include "gateway/http/header_rules.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <cmath>

namespace ladderstream::gateway {

namespace {

constexpr std::string_view kProxyPrefix = "proxy-";
constexpr std::string_view kChunked = "chunked";
constexpr std::string_view kKeepAliveTimeout = "timeout=";
constexpr std::string_view kSchemes[] = {"http://", "https://"};

bool IsDigits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
}

std::string_view WithoutPort(std::string_view authority) {
  if (!authority.empty() && authority.front() == '[') {
    return authority.substr(0, authority.find(']') + 1);
  }
  return authority.substr(0, authority.find(':'));
}

}  // namespace

ConnectionOptions::ConnectionOptions(const HeaderFields& fields) {
  const auto [first, last] = fields.equal_range(HeaderField::connection);
  for (auto field = first; field != last; ++field) {
    for (const absl::string_view option : absl::StrSplit(ToAbsl(ToView(field->value())), ',')) {
      const absl::string_view name = absl::StripAsciiWhitespace(option);
      options_.emplace_back(name.data(), name.size());
    }
  }
}

bool ConnectionOptions::Names(std::string_view option) const {
  return std::any_of(options_.begin(), options_.end(), [option](std::string_view candidate) {
    return EqualsIgnoreCase(candidate, option);
  });
}

bool IsHopByHop(HeaderField field, std::string_view name, const ConnectionOptions& options) {
  switch (field) {
    case HeaderField::connection:
    case HeaderField::keep_alive:
    case HeaderField::te:
    case HeaderField::trailer:
    case HeaderField::transfer_encoding:
    case HeaderField::upgrade:
      return true;
    case HeaderField::host:
    case HeaderField::content_length:
      return false;
    default:
      return StartsWithIgnoreCase(name, kProxyPrefix) || options.Names(name);
  }
}

bool HasSoundFraming(const HeaderFields& fields, unsigned http_version) {
  size_t lengths = 0;
  size_t encodings = 0;
  for (const auto& field : fields) {
    if (field.name() == HeaderField::content_length) {
      ++lengths;
      if (!IsDigits(ToView(field.value()))) {
        return false;
      }
    } else if (field.name() == HeaderField::transfer_encoding) {
      ++encodings;
      if (http_version < kHttp11 || !EqualsIgnoreCase(ToView(field.value()), kChunked)) {
        return false;
      }
    }
  }
  return lengths + encodings <= 1;
}

bool HasFoldedLine(std::string_view lines) {
  return lines.find("\n ") != std::string_view::npos ||
         lines.find("\n\t") != std::string_view::npos;
}

std::optional<Duration> ParseTimeLeft(std::string_view text) {
  double milliseconds = 0;
  if (!absl::SimpleAtod(ToAbsl(text), &milliseconds) || !std::isfinite(milliseconds)) {
    return std::nullopt;
  }
  return absl::Milliseconds(milliseconds);
}

std::optional<Duration> ParseRetryAfter(std::string_view text) {
  double seconds = 0;
  if (!absl::SimpleAtod(ToAbsl(text), &seconds) || !std::isfinite(seconds) || seconds < 0) {
    return std::nullopt;
  }
  return absl::Seconds(seconds);
}

std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  if (!absl::SimpleAtod(ToAbsl(text), &rate) || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

std::optional<ownership::Key> ParseKey(std::string_view text) {
  ownership::Key key = 0;
  if (!IsDigits(text) || !absl::SimpleAtoi(ToAbsl(text), &key) || key > ownership::kLastKey) {
    return std::nullopt;
  }
  return key;
}

std::optional<Duration> ParseKeepAliveTimeout(std::string_view text) {
  for (const absl::string_view part : absl::StrSplit(ToAbsl(text), ',')) {
    const absl::string_view trimmed = absl::StripAsciiWhitespace(part);
    const std::string_view parameter(trimmed.data(), trimmed.size());
    uint32_t seconds = 0;
    if (StartsWithIgnoreCase(parameter, kKeepAliveTimeout) &&
        absl::SimpleAtoi(trimmed.substr(kKeepAliveTimeout.size()), &seconds)) {
      return absl::Seconds(seconds);
    }
  }
  return std::nullopt;
}

RoutingTarget FindRoutingTarget(std::string_view host, std::string_view target) {
  for (const std::string_view scheme : kSchemes) {
    if (StartsWithIgnoreCase(target, scheme)) {
      const std::string_view rest = target.substr(scheme.size());
      const size_t path = std::min(rest.find_first_of("/?"), rest.size());
      const std::string_view authority = rest.substr(0, path);
      return {WithoutPort(authority), path < rest.size() ? rest.substr(path) : "/"};
    }
  }
  return {WithoutPort(host), target};
}

}  // namespace ladderstream::gateway
