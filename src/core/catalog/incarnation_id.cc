#include "core/catalog/incarnation_id.h"

#include <algorithm>
#include <charconv>

namespace ladderstream::catalog {
namespace {

constexpr char kSeparator = '@';

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

}  // namespace

std::string IncarnationId(std::string_view instance, uint64_t started_at_ms) {
  std::string id(instance);
  const bool looks_like_one = InstanceOf(instance).size() < instance.size();
  if (started_at_ms != 0 || looks_like_one) {
    id += kSeparator;
    id += std::to_string(started_at_ms);
  }
  return id;
}

std::string_view InstanceOf(std::string_view incarnation_id) {
  const size_t separator = incarnation_id.rfind(kSeparator);
  if (separator == std::string_view::npos) {
    return incarnation_id;
  }
  const std::string_view start = incarnation_id.substr(separator + 1);
  const bool is_start = !start.empty() && std::all_of(start.begin(), start.end(), IsDigit);
  return is_start ? incarnation_id.substr(0, separator) : incarnation_id;
}

uint64_t StartOf(std::string_view incarnation_id) {
  const size_t name_size = InstanceOf(incarnation_id).size();
  if (name_size == incarnation_id.size()) {
    return 0;
  }
  const std::string_view digits = incarnation_id.substr(name_size + 1);
  uint64_t start = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), start);
  return start;
}

}  // namespace ladderstream::catalog
