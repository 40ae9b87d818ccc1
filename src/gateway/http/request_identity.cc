#include "gateway/http/request_identity.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <sodium/crypto_generichash_blake2b.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

#include "gateway/http/text.h"

namespace ladderstream::gateway {
namespace {

constexpr size_t kHashBytes = 2 * sizeof(uint64_t);
static_assert(kHashBytes >= crypto_generichash_blake2b_BYTES_MIN);

/// Fields that concern one attempt, or whoever passed it on, and not what is asked.
constexpr std::string_view kAttemptFields[] = {
    "baggage",      "date", "forwarded",        "traceparent",
    "tracestate",   "via",  "x-correlation-id", "x-forwarded-for",
    "x-request-id",
};

class Hash {
 public:
  Hash() { crypto_generichash_blake2b_init(&state_, nullptr, 0, kHashBytes); }

  /// Each part with its length, so that no two lists of parts give the same bytes.
  void Add(std::string_view part) {
    AddSize(part.size());
    Feed(part.data(), part.size());
  }

  void AddBody(std::string_view body) {
    AddSize(body.size());
    const size_t begin = std::min(body.size(), kHashedBodyBytes);
    const size_t end = std::min(body.size() - begin, kHashedBodyBytes);
    Feed(body.data(), begin);
    Feed(body.data() + body.size() - end, end);
  }

  /// More parts may follow.
  quarantine::Fingerprint Value() const {
    crypto_generichash_blake2b_state state = state_;
    std::array<unsigned char, kHashBytes> bytes{};
    crypto_generichash_blake2b_final(&state, bytes.data(), bytes.size());
    quarantine::Fingerprint fingerprint;
    std::memcpy(&fingerprint.high, bytes.data(), sizeof(fingerprint.high));
    std::memcpy(&fingerprint.low, bytes.data() + sizeof(fingerprint.high), sizeof(fingerprint.low));
    return fingerprint;
  }

 private:
  void AddSize(uint64_t size) { Feed(&size, sizeof(size)); }
  void Feed(const void* data, size_t size) {
    crypto_generichash_blake2b_update(&state_, static_cast<const unsigned char*>(data), size);
  }

  crypto_generichash_blake2b_state state_;
};

/// The first word of the request line.
std::string_view MethodOf(const CallerRequest& request) {
  return std::string_view(request.head).substr(0, request.head.find(' '));
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(digit));
  constexpr int kTen = 10;
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + kTen : -1;
}

bool NeedsNoEscape(unsigned char letter) {
  return absl::ascii_isalnum(letter) || letter == '-' || letter == '.' || letter == '_' ||
         letter == '~';
}

std::string NormalizeEscapes(std::string_view text) {
  std::string normal;
  normal.reserve(text.size());
  for (size_t at = 0; at < text.size(); ++at) {
    const bool is_escape = text[at] == '%' && at + 2 < text.size() && HexValue(text[at + 1]) >= 0 &&
                           HexValue(text[at + 2]) >= 0;
    if (!is_escape) {
      normal.push_back(text[at]);
      continue;
    }
    constexpr int kSixteen = 16;
    const auto letter =
        static_cast<unsigned char>(kSixteen * HexValue(text[at + 1]) + HexValue(text[at + 2]));
    if (NeedsNoEscape(letter)) {
      normal.push_back(static_cast<char>(letter));
    } else {
      normal.push_back('%');
      normal.push_back(absl::ascii_toupper(static_cast<unsigned char>(text[at + 1])));
      normal.push_back(absl::ascii_toupper(static_cast<unsigned char>(text[at + 2])));
    }
    at += 2;
  }
  return normal;
}

using Field = std::pair<std::string, std::string_view>;

/// The fields that tell one variant from another, in order: names in lower case, and values.
std::vector<Field> VariantFields(std::string_view head, std::string_view request_id) {
  std::vector<Field> fields;
  size_t begin = head.find(kLineEnd);
  while (begin != std::string_view::npos && begin + kLineEnd.size() < head.size()) {
    begin += kLineEnd.size();
    const size_t end = std::min(head.find(kLineEnd, begin), head.size());
    const std::string_view line = head.substr(begin, end - begin);
    const size_t colon = std::min(line.find(':'), line.size());
    std::string name = absl::AsciiStrToLower(absl::string_view(line.data(), colon));
    const bool counts = name != "host" && !EqualsIgnoreCase(name, request_id) &&
                        std::find(std::begin(kAttemptFields), std::end(kAttemptFields), name) ==
                            std::end(kAttemptFields);
    if (counts) {
      fields.emplace_back(std::move(name), line.substr(colon));
    }
    begin = end;
  }
  std::sort(fields.begin(), fields.end());
  return fields;
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  if (!host.empty() && host.back() == '.') {
    host.remove_suffix(1);
  }
  return absl::AsciiStrToLower(absl::string_view(host.data(), host.size()));
}

std::string NormalizeTarget(std::string_view target) {
  std::string normal = NormalizeEscapes(target.substr(0, target.find('#')));
  const size_t query = normal.find('?');
  if (query == std::string::npos || normal.find('&', query) == std::string::npos) {
    return normal;
  }
  std::vector<std::string> parameters = absl::StrSplit(normal.substr(query + 1), '&');
  std::sort(parameters.begin(), parameters.end());
  return normal.substr(0, query + 1) + absl::StrJoin(parameters, "&");
}

quarantine::RequestIdentity IdentityOf(const CallerRequest& request, std::string_view request_id) {
  Hash hash;
  hash.Add(MethodOf(request));
  hash.Add(NormalizeHost(request.host));
  hash.Add(NormalizeTarget(request.target));
  hash.Add(request.key.has_value() ? std::to_string(*request.key) : "");
  hash.AddBody(request.body);
  const quarantine::Fingerprint content = hash.Value();
  for (const auto& [name, value] : VariantFields(request.head, request_id)) {
    hash.Add(name);
    hash.Add(value);
  }
  return {content, hash.Value()};
}

}  // namespace ladderstream::gateway
