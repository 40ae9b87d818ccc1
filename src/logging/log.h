// Logs of every program: short sentences with a fixed prefix per part, and a key=value tail.
//
//   2026-01-31T10:00:00.123456Z info  peer: Connection lost. node=rennes-1 error="Broken pipe"
//
// Written to standard error by Boost.Log. Thread-safe.
#pragma once

#include <absl/strings/str_cat.h>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace ladderstream {

/// The part of a program that speaks; each has a fixed prefix.
enum class Part {
  kMain,
  kPeer,
  kControl,
  kLease,
  kStore,
  kMachines,
  kMetrics,
  kHttp,
  kData,
  kAdmission,
  kOperator,
  kSettings,
  kBackend,
  kStandin,
  kTool,
};

enum class Severity { kDebug, kInfo, kWarning, kError };

/// Gives the prefix of `part`, such as "peer".
std::string_view PrefixOf(Part part);

/// One key=value pair of a log line's tail. Keys are lower-case words joined by underscores.
struct LogField {
  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view field_key, Number number)
      : key(field_key), value(absl::StrCat(number)) {}

  std::string_view key;
  std::string value;
};

/// Gives the line without its time stamp: `severity prefix: sentence key=value ...`. Values with
/// spaces, quotes or control characters are quoted and escaped, so that a line stays one line.
std::string FormatLogLine(Part part, Severity severity, std::string_view sentence,
                          std::initializer_list<LogField> fields);

/// Writes one line, if `severity` is at least the one set up.
void Log(Part part, Severity severity, std::string_view sentence,
         std::initializer_list<LogField> fields = {});

/// Keeps only lines of `lowest` and above, from now on. Before the first call, lines of kInfo and
/// above are kept.
void SetUpLogging(Severity lowest);

/// Gives "debug", "info", "warning" or "error".
std::string_view NameOf(Severity severity);

/// Events are logged with values cut to this length, in bytes.
constexpr size_t kLongestLogValue = 320;

/// Appends ` key=value` to `line`. A value is quoted if it has anything but plain ASCII, and what
/// could end the quotes or the line is escaped as in C, so that no value can pass for a field.
void AppendLogField(std::string_view key, std::string_view value, std::string* line);

/// Takes whole lines, each without its line end.
using LogDestination = std::function<void(std::string_view line)>;

/// Sends every line from now on to `destination` in place of standard error; null goes back to
/// standard error. The destination is called by whichever thread logs, one call at a time.
void SetLogDestination(LogDestination destination);

/// Writes a line that is formatted already, its time included.
void WriteLogLine(Severity severity, std::string_view line);

/// Whether lines of this severity are written.
bool IsKept(Severity severity);

/// Reads "debug", "info", "warning" or "error"; false for anything else.
bool ParseSeverity(std::string_view text, Severity* severity);

}  // namespace ladderstream
