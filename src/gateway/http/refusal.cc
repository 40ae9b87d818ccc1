#include "gateway/http/refusal.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <iterator>
#include <string>

#include "gateway/http/text.h"

namespace ladderstream::gateway {

namespace {

const char* OutcomeName(ResultCode code) {
  return OutcomeOf(code) == Outcome::kDidNotRun ? "did not run" : "unknown";
}

/// Leaves out what would need an escape in JSON.
std::string PlainText(std::string_view text) {
  std::string plain;
  std::copy_if(text.begin(), text.end(), std::back_inserter(plain),
               [](char sign) { return sign >= ' ' && sign <= '~' && sign != '"' && sign != '\\'; });
  return plain;
}

}  // namespace

CallerAnswer MakeRefusal(int status, ResultCode code, std::string_view reason,
                         Duration retry_after) {
  const auto phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  CallerAnswer answer;
  Append(&answer.head, "HTTP/1.1 ", std::to_string(status), " ", ToView(phrase),
         "\r\nContent-Type: application/json\r\n");
  if (retry_after > absl::ZeroDuration()) {
    absl::StrAppendFormat(&answer.head, "Retry-After: %.3f\r\n",
                          absl::ToDoubleSeconds(retry_after));
  }
  Append(&answer.body, "{\"code\":", std::to_string(static_cast<uint32_t>(code)), ",\"name\":\"",
         NameOf(code), "\",\"outcome\":\"", OutcomeName(code), "\",\"reason\":\"",
         PlainText(reason), "\"}\n");
  return answer;
}

}  // namespace ladderstream::gateway
