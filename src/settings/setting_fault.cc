#include "settings/setting_fault.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace ladderstream::settings {
namespace {

ResultCode CommonCode(const std::vector<SettingFault>& faults) {
  const bool same =
      !faults.empty() && std::all_of(faults.begin(), faults.end(), [&](const SettingFault& fault) {
        return fault.code == faults.front().code;
      });
  return same ? faults.front().code : ResultCode::kInvalidSetting;
}

std::string FormatAll(const std::vector<SettingFault>& faults) {
  return absl::StrJoin(faults, "\n", [](std::string* out, const SettingFault& fault) {
    absl::StrAppend(out, FormatFault(fault));
  });
}

}  // namespace

std::string FormatFault(const SettingFault& fault) {
  std::string line =
      absl::StrCat(static_cast<uint32_t>(fault.code), " ", std::string(NameOf(fault.code)));
  if (!fault.place.empty()) {
    absl::StrAppend(&line, " at ", fault.place);
  }
  absl::StrAppend(&line, ": ", fault.key);
  if (!fault.value.empty()) {
    absl::StrAppend(&line, " = ", fault.value);
  }
  absl::StrAppend(&line, "; allowed: ", fault.allowed);
  return line;
}

SettingsError::SettingsError(std::vector<SettingFault> faults)
    : Error(CommonCode(faults), FormatAll(faults)), faults_(std::move(faults)) {}

}  // namespace ladderstream::settings
