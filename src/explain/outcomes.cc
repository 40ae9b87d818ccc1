#include "explain/outcomes.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace ladderstream::explain {
namespace {

constexpr std::string_view kAnswered = "request_answered";
constexpr std::string_view kLinesOmitted = "lines_omitted";

bool IsFinal(const std::string& event) {
  return event == kAnswered || event == "request_refused" || event == "outcome_unknown" ||
         event == "caller_gone";
}

/// `reason` up to its first detail, without the service before it, and with # for each number.
std::string CauseOf(std::string_view reason, std::string_view service) {
  reason = reason.substr(0, reason.find_first_of(";("));
  if (!service.empty() && reason.substr(0, service.size()) == service) {
    reason.remove_prefix(std::min(reason.size(), service.size() + 2));
  }
  std::string cause;
  for (const char character : reason) {
    const bool digit = absl::ascii_isdigit(static_cast<unsigned char>(character));
    if (!digit) {
      cause += character;
    } else if (cause.empty() || cause.back() != '#') {
      cause += '#';
    }
  }
  return std::string(absl::StripAsciiWhitespace(cause));
}

std::string ClockTime(absl::Time time) {
  return absl::FormatTime("%H:%M:%S", time, absl::UTCTimeZone());
}

}  // namespace

void Outcomes::Read(std::istream& in) {
  std::string text;
  LogLine line;
  while (std::getline(in, text)) {
    if (ParseLogLine(text, &line) == LineKind::kEvent) {
      Add(line);
    }
  }
}

void Outcomes::Add(const LogLine& line) {
  if (line.event == kLinesOmitted && line.Field("kind") == "answered_request") {
    uint64_t count = 0;
    // A count that cannot be read leaves the figure a lower bound, as it is when logs are cut.
    if (absl::SimpleAtoi(line.Field("count"), &count)) {
      lines_left_out_ += count;
    }
  }
  if (!IsFinal(line.event)) {
    return;
  }
  const std::string& service = line.Field("service");
  const std::string& code = line.Field("code");
  Sum& sum = sums_[{service, line.event, code.empty() ? line.Field("status") : code,
                    CauseOf(line.Field("reason"), service)}];
  if (++sum.requests == 1) {
    sum.example = line.Field("request");
  }
  ++sum.by_interval[absl::UnixEpoch() + absl::Floor(line.wall - absl::UnixEpoch(), interval_)];
  ++requests_of_service_[service];
}

std::vector<OutcomeRow> Outcomes::Rows() const {
  std::vector<OutcomeRow> rows;
  for (const auto& [kind, sum] : sums_) {
    const auto& [service, outcome, code, cause] = kind;
    const auto most = std::max_element(
        sum.by_interval.begin(), sum.by_interval.end(),
        [](const auto& one, const auto& other) { return one.second < other.second; });
    const auto all = static_cast<double>(requests_of_service_.at(service));
    rows.push_back({service, outcome, code, cause, sum.requests,
                    static_cast<double>(sum.requests) / all, most->first, most->second,
                    sum.example});
  }
  std::stable_sort(rows.begin(), rows.end(), [](const OutcomeRow& one, const OutcomeRow& other) {
    const bool answered = one.outcome == kAnswered;
    const bool other_answered = other.outcome == kAnswered;
    return std::make_pair(answered, other.requests) < std::make_pair(other_answered, one.requests);
  });
  return rows;
}

void WriteOutcomes(const Outcomes& outcomes, std::ostream& out) {
  out << absl::StreamFormat("%8s %7s  %-8s %6s  %-16s %-20s %-17s %-18s %s\n", "requests", "share",
                            "most at", "then", "service", "code", "outcome", "example", "cause");
  for (const OutcomeRow& row : outcomes.Rows()) {
    out << absl::StreamFormat("%8d %6.2f%%  %-8s %6d  %-16s %-20s %-17s %-18s %s\n", row.requests,
                              row.share * 100, ClockTime(row.most_at), row.most,
                              absl::CEscape(row.service), absl::CEscape(row.code), row.outcome,
                              absl::CEscape(row.example), absl::CEscape(row.cause));
  }
  if (outcomes.lines_left_out() > 0) {
    out << "Of answered requests, " << outcomes.lines_left_out()
        << " lines were left out of the logs: the shares of all others are that much lower.\n";
  }
}

void WriteOutcomesAsJson(const Outcomes& outcomes, std::ostream& out) {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const OutcomeRow& row : outcomes.Rows()) {
    rows.push_back({{"service", row.service},
                    {"outcome", row.outcome},
                    {"code", row.code},
                    {"cause", row.cause},
                    {"requests", row.requests},
                    {"share", row.share},
                    {"most_at", absl::FormatTime(row.most_at, absl::UTCTimeZone())},
                    {"most", row.most},
                    {"example", row.example}});
  }
  const nlohmann::ordered_json whole = {{"outcomes", rows},
                                        {"answered_lines_left_out", outcomes.lines_left_out()}};
  // Logs may be cut within a character.
  out << whole.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << '\n';
}

}  // namespace ladderstream::explain
