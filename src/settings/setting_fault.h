// What is wrong with a program's settings: all of it at once.
#pragma once

#include <string>
#include <vector>

#include "wire/result_code.h"

namespace ladderstream::settings {

/// One fault.
struct SettingFault {
  /// kInvalidSetting, kUnknownSetting, kMissingSetting, kInconsistentSettings or
  /// kUnreadableSettings.
  ResultCode code = ResultCode::kInvalidSetting;
  /// The file and line, such as "node.toml:12"; or "--set" for the command line; empty when the
  /// setting is nowhere.
  std::string place;
  /// The setting's full name, such as "lease.backend_lease".
  std::string key;
  /// The value as written; empty when there is none.
  std::string value;
  /// What is allowed instead.
  std::string allowed;
};

/// Writes `fault` on one line.
std::string FormatFault(const SettingFault& fault);

/// Thrown when settings have faults; what() has one line for each.
class SettingsError : public Error {
 public:
  explicit SettingsError(std::vector<SettingFault> faults);

  const std::vector<SettingFault>& faults() const { return faults_; }

 private:
  std::vector<SettingFault> faults_;
};

}  // namespace ladderstream::settings
