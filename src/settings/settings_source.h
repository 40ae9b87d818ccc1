// The settings as written, before they are checked: a TOML file and overrides, by full name.
#pragma once

#include <map>
#include <string>
#include <toml.hpp>
#include <vector>

#include "settings/setting_fault.h"

namespace ladderstream::settings {

/// One setting given on the command line; goes before the file.
struct SettingOverride {
  /// The setting's full name, such as "lease.backend_lease".
  std::string key;
  /// As it would stand in the file; quotes around strings may be left out.
  std::string value;
};

/// One setting as written.
struct SettingEntry {
  toml::value value;
  /// As for a fault.
  std::string place;
  /// The text as written on the command line; empty for the file.
  std::string text;
};

/// All settings, by full name: the path of tables joined by dots.
using SettingEntries = std::map<std::string, SettingEntry>;

/// Reads the file at `path` (none when empty) and lays `overrides` over it. Adds a fault for a file
/// that cannot be read or parsed, and goes on without it.
SettingEntries ReadSettingEntries(const std::string& path,
                                  const std::vector<SettingOverride>& overrides,
                                  std::vector<SettingFault>* faults);

/// Gives the entry's value as text, for faults.
std::string TextOf(const SettingEntry& entry);

}  // namespace ladderstream::settings
