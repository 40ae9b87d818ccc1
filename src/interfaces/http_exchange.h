// HTTP messages as values, for the calls that nodes make themselves (store, grants).
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ladderstream::interfaces {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  /// Path and query, already encoded.
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// Name of the one of `headers` that the answer repeats; empty when it repeats none. An answer
  /// with another value belongs to another call; one without the header is taken.
  std::string repeated_header = {};

  /// The value of the first header of this name; empty when absent.
  std::string_view Header(std::string_view name) const;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  /// The value of the first header of this name, whatever its case; empty when absent.
  std::string_view Header(std::string_view name) const;
};

}  // namespace ladderstream::interfaces
