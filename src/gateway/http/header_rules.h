// What a forwarder has to know of header fields: which concern one connection only, and what those
// it reads itself say.
#pragma once

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "gateway/http/text.h"
#include "wire/time.h"

namespace ladderstream::gateway {

using HeaderField = boost::beast::http::field;
using HeaderFields = boost::beast::http::fields;

/// The fields that the Connection headers of one message name.
class ConnectionOptions {
 public:
  explicit ConnectionOptions(const HeaderFields& fields);

  bool Names(std::string_view option) const;

 private:
  std::vector<std::string_view> options_;
};

/// Whether a field concerns one connection only and must not be passed on.
bool IsHopByHop(HeaderField field, std::string_view name, const ConnectionOptions& options);

/// HTTP/1.1, as the parser tells versions.
constexpr unsigned kHttp11 = 11;

/// Whether the framing that the fields announce has exactly one reading: at most one length, in
/// digits only, or exactly the encoding "chunked", never both and not before HTTP/1.1.
bool HasSoundFraming(const HeaderFields& fields, unsigned http_version);

/// Whether one of `lines` begins with a blank: two parsers might read it differently, as a field of
/// its own or as more of the value before.
bool HasFoldedLine(std::string_view lines);

/// How long a sender waits, from a number of milliseconds; nothing when `text` is no such number.
std::optional<Duration> ParseTimeLeft(std::string_view text);

/// A rate of requests a second, zero or above; nothing when it is no decimal number.
std::optional<double> ParseRate(std::string_view text);

/// The time that a Retry-After header gives as a number of seconds, which may have a fraction;
/// nothing when it is a date or no time.
std::optional<Duration> ParseRetryAfter(std::string_view text);

/// Nothing when `text` is no key.
std::optional<ownership::Key> ParseKey(std::string_view text);

/// The time that a Keep-Alive header promises; nothing when it promises none.
std::optional<Duration> ParseKeepAliveTimeout(std::string_view text);

/// Host and path by which a request is routed: the authority of an absolute target counts before
/// the Host header; ports are left out.
struct RoutingTarget {
  std::string_view host;
  std::string_view target;
};
RoutingTarget FindRoutingTarget(std::string_view host, std::string_view target);

}  // namespace ladderstream::gateway
