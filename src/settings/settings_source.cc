#include "settings/settings_source.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace ladderstream::settings {
namespace {

void AddUnreadable(const std::string& place, const std::string& allowed,
                   std::vector<SettingFault>* faults) {
  faults->push_back({ResultCode::kUnreadableSettings, place, "settings", "", allowed});
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    return std::nullopt;
  }
  return content.str();
}

/// The first line of a parser's message, without its own prefix.
std::string FirstLine(const std::string& message) { return message.substr(0, message.find('\n')); }

/// The parser calls itself for each nested bracket, so that many would overflow the stack.
constexpr size_t kDeepestNesting = 64;

bool IsNestedTooDeeply(const std::string& content) {
  size_t depth = 0;
  for (const char letter : content) {
    if (letter == '[' || letter == '{') {
      ++depth;
    } else if (depth > 0 && (letter == ']' || letter == '}')) {
      --depth;
    }
    if (depth > kDeepestNesting) {
      return true;
    }
  }
  return false;
}

std::string PlaceOf(const std::string& path, const toml::value& value) {
  return absl::StrCat(path, ":", value.location().line());
}

void Flatten(const std::string& path, const std::string& prefix, const toml::value& table,
             SettingEntries* entries) {
  for (const auto& [name, value] : table.as_table()) {
    const std::string key = prefix.empty() ? name : absl::StrCat(prefix, ".", name);
    if (value.is_table()) {
      Flatten(path, key, value, entries);
    } else {
      (*entries)[key] = {value, PlaceOf(path, value), ""};
    }
  }
}

void ReadFileEntries(const std::string& path, SettingEntries* entries,
                     std::vector<SettingFault>* faults) {
  const std::optional<std::string> content = ReadFile(path);
  if (!content.has_value()) {
    AddUnreadable(path, "a file that can be read", faults);
    return;
  }
  if (IsNestedTooDeeply(*content)) {
    AddUnreadable(path, absl::StrCat("brackets nested ", kDeepestNesting, " deep at most"), faults);
    return;
  }
  std::istringstream stream(*content);
  try {
    Flatten(path, "", toml::parse(stream, path), entries);
  } catch (const toml::exception& error) {
    AddUnreadable(absl::StrCat(path, ":", error.location().line()),
                  absl::StrCat("TOML; ", FirstLine(error.what())), faults);
  } catch (const std::exception& error) {
    AddUnreadable(path, absl::StrCat("TOML; ", FirstLine(error.what())), faults);
  }
}

/// What does not read as a TOML value is taken as a string.
toml::value ParseOverride(const std::string& text) {
  std::istringstream stream(absl::StrCat("value = ", text, "\n"));
  try {
    const toml::value table = toml::parse(stream, "--set");
    if (table.size() == 1) {
      return table.at("value");
    }
  } catch (const std::exception&) {
    return toml::value(text);
  }
  return toml::value(text);
}

}  // namespace

SettingEntries ReadSettingEntries(const std::string& path,
                                  const std::vector<SettingOverride>& overrides,
                                  std::vector<SettingFault>* faults) {
  SettingEntries entries;
  if (!path.empty()) {
    ReadFileEntries(path, &entries, faults);
  }
  for (const SettingOverride& given : overrides) {
    entries[given.key] = {ParseOverride(given.value), "--set", given.value};
  }
  return entries;
}

std::string TextOf(const SettingEntry& entry) {
  if (!entry.text.empty()) {
    return entry.text;
  }
  std::ostringstream text;
  text << entry.value;
  return text.str();
}

}  // namespace ladderstream::settings
