#include "core/changes/configuration_fault.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace ladderstream::changes {
namespace {

ResultCode CommonCode(const std::vector<ConfigurationFault>& faults) {
  const bool same =
      !faults.empty() && std::all_of(faults.begin(), faults.end(),
                                     [&](const auto& f) { return f.code == faults.front().code; });
  return same ? faults.front().code : ResultCode::kInvalidConfiguration;
}

std::string FormatAll(const std::vector<ConfigurationFault>& faults) {
  return absl::StrJoin(faults, "\n", [](std::string* out, const ConfigurationFault& fault) {
    absl::StrAppend(out, FormatFault(fault));
  });
}

}  // namespace

std::string FormatFault(const ConfigurationFault& fault) {
  return absl::StrCat(std::string(NameOf(fault.code)), " ", fault.field, " = \"", fault.value,
                      "\"; allowed: ", fault.allowed);
}

ConfigurationError::ConfigurationError(std::vector<ConfigurationFault> faults)
    : Error(CommonCode(faults), FormatAll(faults)), faults_(std::move(faults)) {}

}  // namespace ladderstream::changes
