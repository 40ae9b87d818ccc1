#include "settings/settings_reader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/time.h>
#include <arpa/inet.h>

#include <algorithm>
#include <utility>

namespace ladderstream::settings {
namespace {

constexpr size_t kMaxTextLength = 64;
constexpr char kAddressForm[] =
    "an IP number and a port from 1 to 65535, such as \"10.0.0.1:7000\"";

/// Gives the text of a string; or of anything given on the command line, where quotes may lack.
std::optional<std::string> StringOf(const SettingEntry& entry) {
  if (entry.value.is_string()) {
    return entry.value.as_string().str;
  }
  if (!entry.text.empty()) {
    return entry.text;
  }
  return std::nullopt;
}

std::optional<double> NumberOf(const SettingEntry& entry) {
  if (entry.value.is_floating()) {
    return entry.value.as_floating();
  }
  if (entry.value.is_integer()) {
    return static_cast<double>(entry.value.as_integer());
  }
  return std::nullopt;
}

/// "node.name" is of the section "node".
std::string SectionOf(const std::string& key) { return key.substr(0, key.find('.')); }

/// The settings of the key's section, or the sections when it is in none of them.
std::string AllowedNear(const std::string& key, const std::set<std::string>& known) {
  std::set<std::string> near;
  std::set<std::string> sections;
  for (const std::string& candidate : known) {
    sections.insert(SectionOf(candidate));
    if (SectionOf(candidate) == SectionOf(key)) {
      near.insert(candidate);
    }
  }
  return near.empty() ? absl::StrCat("settings of the sections ", absl::StrJoin(sections, ", "))
                      : absl::StrCat("one of ", absl::StrJoin(near, ", "));
}

}  // namespace

SettingsReader::SettingsReader(const std::string& path,
                               const std::vector<SettingOverride>& overrides)
    : entries_(ReadSettingEntries(path, overrides, &faults_)) {}

const SettingEntry* SettingsReader::Find(const std::string& key, Presence presence,
                                         const std::string& allowed) {
  read_.insert(key);
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    return &found->second;
  }
  if (presence == Presence::kRequired) {
    faults_.push_back({ResultCode::kMissingSetting, "", key, "", allowed});
  }
  return nullptr;
}

void SettingsReader::AddInvalid(const std::string& key, const SettingEntry& entry,
                                const std::string& allowed) {
  faults_.push_back({ResultCode::kInvalidSetting, entry.place, key, TextOf(entry), allowed});
}

void SettingsReader::AddInconsistency(const std::string& keys, const std::string& allowed) {
  faults_.push_back({ResultCode::kInconsistentSettings, "", keys, "", allowed});
}

void SettingsReader::ReadText(const std::string& key, Presence presence, std::string* target) {
  const std::string allowed = absl::StrCat("a string of 1 to ", kMaxTextLength, " characters");
  const SettingEntry* const entry = Find(key, presence, allowed);
  if (entry == nullptr) {
    return;
  }
  const std::optional<std::string> text = StringOf(*entry);
  if (!text.has_value() || text->empty() || text->size() > kMaxTextLength) {
    AddInvalid(key, *entry, allowed);
    return;
  }
  *target = *text;
}

void SettingsReader::ReadChoice(const std::string& key, Presence presence,
                                const std::vector<std::string>& choices, std::string* target) {
  const std::string allowed = absl::StrCat("one of ", absl::StrJoin(choices, ", "));
  const SettingEntry* const entry = Find(key, presence, allowed);
  if (entry == nullptr) {
    return;
  }
  const std::optional<std::string> text = StringOf(*entry);
  if (!text.has_value() || std::find(choices.begin(), choices.end(), *text) == choices.end()) {
    AddInvalid(key, *entry, allowed);
    return;
  }
  *target = *text;
}

void SettingsReader::ReadBoolean(const std::string& key, Presence presence, bool* target) {
  const std::string allowed = "true or false";
  const SettingEntry* const entry = Find(key, presence, allowed);
  if (entry == nullptr) {
    return;
  }
  if (!entry->value.is_boolean()) {
    AddInvalid(key, *entry, allowed);
    return;
  }
  *target = entry->value.as_boolean();
}

std::optional<Endpoint> SettingsReader::ParseAddress(const std::string& text) const {
  try {
    const Endpoint endpoint = ParseEndpoint(text);
    in_addr number{};
    if (inet_pton(AF_INET, endpoint.host.c_str(), &number) == 1) {
      return endpoint;
    }
  } catch (const Error&) {
    return std::nullopt;
  }
  return std::nullopt;
}

void SettingsReader::ReadEndpoint(const std::string& key, Presence presence, Endpoint* target) {
  const SettingEntry* const entry = Find(key, presence, kAddressForm);
  if (entry == nullptr) {
    return;
  }
  const std::optional<Endpoint> endpoint = ParseAddress(StringOf(*entry).value_or(""));
  if (!endpoint.has_value()) {
    AddInvalid(key, *entry, kAddressForm);
    return;
  }
  *target = *endpoint;
}

void SettingsReader::ReadEndpoint(const std::string& key, std::optional<Endpoint>* target) {
  Endpoint endpoint;
  ReadEndpoint(key, Presence::kOptional, &endpoint);
  if (endpoint.port != 0) {
    *target = endpoint;
  }
}

void SettingsReader::ReadEndpoints(const std::string& key, Presence presence,
                                   std::vector<Endpoint>* target) {
  const std::string allowed = absl::StrCat("a list, each ", kAddressForm);
  const SettingEntry* const entry = Find(key, presence, allowed);
  if (entry == nullptr) {
    return;
  }
  if (!entry->value.is_array()) {
    AddInvalid(key, *entry, allowed);
    return;
  }
  std::vector<Endpoint> endpoints;
  for (const toml::value& item : entry->value.as_array()) {
    const std::string text = item.is_string() ? item.as_string().str : std::string();
    const std::optional<Endpoint> endpoint = ParseAddress(text);
    if (!endpoint.has_value()) {
      AddInvalid(absl::StrCat(key, "[", endpoints.size(), "]"), {item, entry->place, ""},
                 kAddressForm);
    }
    endpoints.push_back(endpoint.value_or(Endpoint{}));
  }
  *target = std::move(endpoints);
}

void SettingsReader::ReadDuration(const std::string& key, Presence presence,
                                  const DurationRange& range, Duration* target) {
  const std::string allowed =
      absl::StrCat("a duration from ", absl::FormatDuration(range.low), " to ",
                   absl::FormatDuration(range.high), ", such as \"700ms\" or \"2s\"");
  const SettingEntry* const entry = Find(key, presence, allowed);
  if (entry == nullptr) {
    return;
  }
  Duration duration;
  const bool is_duration = absl::ParseDuration(StringOf(*entry).value_or(""), &duration);
  if (!is_duration || duration < range.low || duration > range.high) {
    AddInvalid(key, *entry, allowed);
    return;
  }
  *target = duration;
}

void SettingsReader::ReadInteger(const std::string& key, Presence presence,
                                 const IntegerRange& range, int64_t* target) {
  const std::string allowed = absl::StrCat("a whole number from ", range.low, " to ", range.high);
  const SettingEntry* const entry = Find(key, presence, allowed);
  if (entry == nullptr) {
    return;
  }
  if (!entry->value.is_integer() || entry->value.as_integer() < range.low ||
      entry->value.as_integer() > range.high) {
    AddInvalid(key, *entry, allowed);
    return;
  }
  *target = entry->value.as_integer();
}

void SettingsReader::ReadInteger(const std::string& key, Presence presence,
                                 const IntegerRange& range, uint32_t* target) {
  int64_t value = *target;
  ReadInteger(key, presence, range, &value);
  *target = static_cast<uint32_t>(value);
}

void SettingsReader::ReadNumber(const std::string& key, Presence presence, const NumberRange& range,
                                double* target) {
  const std::string allowed = absl::StrCat("a number from ", range.low, " to ", range.high);
  const SettingEntry* const entry = Find(key, presence, allowed);
  if (entry == nullptr) {
    return;
  }
  const std::optional<double> number = NumberOf(*entry);
  const bool is_allowed = number.has_value() && *number >= range.low && *number <= range.high;
  if (!is_allowed) {
    AddInvalid(key, *entry, allowed);
    return;
  }
  *target = *number;
}

std::map<std::string, std::string> SettingsReader::Written() const {
  std::map<std::string, std::string> written;
  for (const auto& [key, entry] : entries_) {
    written[key] = TextOf(entry);
  }
  return written;
}

void SettingsReader::Finish() {
  for (const auto& [key, entry] : entries_) {
    if (!read_.contains(key)) {
      faults_.push_back(
          {ResultCode::kUnknownSetting, entry.place, key, TextOf(entry), AllowedNear(key, read_)});
    }
  }
  if (!faults_.empty()) {
    throw SettingsError(std::move(faults_));
  }
}

}  // namespace ladderstream::settings
