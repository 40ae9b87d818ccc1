#include "logging/log.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/shared_ptr.hpp>
#include <iostream>
#include <mutex>
#include <utility>

namespace ladderstream {
namespace {

namespace log = boost::log;

using StreamSink = log::sinks::synchronous_sink<log::sinks::text_ostream_backend>;
using Logger = log::sources::severity_logger_mt<Severity>;

std::atomic<Severity> lowest_severity{Severity::kInfo};

constexpr std::array<std::string_view, 4> kSeverityNames = {"debug", "info", "warning", "error"};

/// Hands each formatted record to a function.
class FunctionBackend : public log::sinks::basic_formatted_sink_backend<char> {
 public:
  explicit FunctionBackend(LogDestination destination) : destination_(std::move(destination)) {}

  void consume(const log::record_view& /*record*/, const string_type& line) { destination_(line); }

 private:
  const LogDestination destination_;
};

using FunctionSink = log::sinks::synchronous_sink<FunctionBackend>;

/// Makes `sink` the only one; it writes each record as its message says.
template <typename Sink>
void UseSink(const boost::shared_ptr<Sink>& sink) {
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->remove_all_sinks();
  log::core::get()->add_sink(sink);
}

void UseStandardError() {
  auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  UseSink(boost::make_shared<StreamSink>(backend));
}

Logger& SharedLogger() {
  static std::once_flag sink_added;
  std::call_once(sink_added, UseStandardError);
  // Never destroyed: threads may log while the process exits.
  static Logger* const logger = new Logger;
  return *logger;
}

bool NeedsQuotes(std::string_view value) {
  const auto is_plain = [](unsigned char c) {
    return c > ' ' && c != '"' && c != '=' && c != '\\' && c < 0x7f;
  };
  return value.empty() || !std::all_of(value.begin(), value.end(), is_plain);
}

/// Escapes what would break a line or a quoted value, and leaves apostrophes readable.
std::string Escape(const std::string& text) {
  return absl::StrReplaceAll(absl::Utf8SafeCEscape(text), {{"\\'", "'"}});
}

void AppendField(const LogField& field, std::string* line) {
  line->append(" ").append(field.key).append("=");
  if (NeedsQuotes(field.value)) {
    line->append("\"").append(Escape(field.value)).append("\"");
  } else {
    line->append(field.value);
  }
}

std::string TimeStamp() {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
}

}  // namespace

std::string_view PrefixOf(Part part) {
  switch (part) {
    case Part::kMain:
      return "main";
    case Part::kPeer:
      return "peer";
    case Part::kControl:
      return "control";
    case Part::kLease:
      return "lease";
    case Part::kStore:
      return "store";
    case Part::kMachines:
      return "machines";
    case Part::kMetrics:
      return "metrics";
    case Part::kHttp:
      return "http";
    case Part::kData:
      return "data";
    case Part::kAdmission:
      return "admission";
    case Part::kOperator:
      return "operator";
    case Part::kSettings:
      return "settings";
    case Part::kBackend:
      return "backend";
    case Part::kStandin:
      return "standin";
    case Part::kTool:
      return "tool";
  }
  return "unknown";
}

std::string FormatLogLine(Part part, Severity severity, std::string_view sentence,
                          std::initializer_list<LogField> fields) {
  std::string line(NameOf(severity));
  line.append(" ").append(PrefixOf(part)).append(": ");
  line.append(Escape(std::string(sentence)));
  for (const LogField& field : fields) {
    AppendField(field, &line);
  }
  return line;
}

void Log(Part part, Severity severity, std::string_view sentence,
         std::initializer_list<LogField> fields) {
  if (!IsKept(severity)) {
    return;
  }
  const std::string line = FormatLogLine(part, severity, sentence, fields);
  BOOST_LOG_SEV(SharedLogger(), severity) << TimeStamp() << " " << line;
}

std::string_view NameOf(Severity severity) {
  return kSeverityNames.at(static_cast<size_t>(severity));
}

void AppendLogField(std::string_view key, std::string_view value, std::string* line) {
  line->append(" ").append(key).append("=");
  if (!NeedsQuotes(value)) {
    line->append(value);
    return;
  }
  line->append("\"");
  line->append(absl::StrReplaceAll(absl::CEscape({value.data(), value.size()}), {{"\\'", "'"}}));
  line->append("\"");
}

void SetLogDestination(LogDestination destination) {
  SharedLogger();
  if (destination) {
    UseSink(boost::make_shared<FunctionSink>(
        boost::make_shared<FunctionBackend>(std::move(destination))));
  } else {
    UseStandardError();
  }
}

bool IsKept(Severity severity) {
  return severity >= lowest_severity.load(std::memory_order_relaxed);
}

void WriteLogLine(Severity severity, std::string_view line) {
  if (IsKept(severity)) {
    BOOST_LOG_SEV(SharedLogger(), severity) << line;
  }
}

void SetUpLogging(Severity lowest) {
  lowest_severity.store(lowest, std::memory_order_relaxed);
  SharedLogger();
}

bool ParseSeverity(std::string_view text, Severity* severity) {
  const auto* const name = std::find(kSeverityNames.begin(), kSeverityNames.end(), text);
  if (name == kSeverityNames.end()) {
    return false;
  }
  *severity = static_cast<Severity>(name - kSeverityNames.begin());
  return true;
}

}  // namespace ladderstream
