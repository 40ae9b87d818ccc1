#include "settings/daemon_command_line.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "settings/program_flags.h"

DEFINE_string(settings, "",
              "settings file (TOML); examples/ladderstreamd.toml shows every setting");
DEFINE_string(set, "",
              "settings that go before the file, as \"name=value;name=value\", such as "
              "\"node.name=rennes-1;node.zone=rennes\"");
DEFINE_bool(check_settings, false, "only check the settings: exit code 0 when sound, 2 when not");

namespace ladderstream::settings {
namespace {

constexpr int kExitSound = 0;
constexpr char kOwnFlagFiles[] = "settings/daemon_command_line";
constexpr char kUsage[] =
    "One node of ladderstream.\n"
    "usage: ladderstreamd --settings=FILE [--set=\"name=value;...\"] [--check_settings]\n"
    "exit codes: 0 stopped as planned or settings sound, 1 failed, 2 bad settings or usage";

std::vector<SettingOverride> SplitOverrides(const std::string& text,
                                            std::vector<SettingFault>* faults) {
  std::vector<SettingOverride> overrides;
  for (const std::string& item : std::vector<std::string>(absl::StrSplit(text, ';'))) {
    const std::string trimmed(absl::StripAsciiWhitespace(item));
    if (trimmed.empty()) {
      continue;
    }
    const size_t equals = trimmed.find('=');
    if (equals == std::string::npos || equals == 0) {
      faults->push_back({ResultCode::kInvalidSetting, "--set", "set", trimmed, "name=value"});
      continue;
    }
    overrides.push_back({trimmed.substr(0, equals), trimmed.substr(equals + 1)});
  }
  return overrides;
}

DaemonCommandLine Refuse(const std::vector<SettingFault>& faults) {
  for (const SettingFault& fault : faults) {
    std::cerr << "settings: " << FormatFault(fault) << "\n";
  }
  std::cerr << "settings: " << faults.size() << " faults, nothing started\n";
  return {kExitBadUsage, {}};
}

}  // namespace

DaemonCommandLine ReadDaemonCommandLine(int* argc, char*** argv) {
  ParseProgramFlags(kUsage, kOwnFlagFiles, argc, argv);
  std::vector<SettingFault> faults;
  if (*argc > 1) {
    faults.push_back(
        {ResultCode::kUnknownSetting, "command line", (*argv)[1], "", "flags only; see --help"});
  }
  const std::vector<SettingOverride> overrides = SplitOverrides(FLAGS_set, &faults);
  try {
    const DaemonSettings settings = LoadDaemonSettings(FLAGS_settings, overrides);
    if (faults.empty() && FLAGS_check_settings) {
      std::cout << "settings: sound\n";
      return {kExitSound, settings};
    }
    return faults.empty() ? DaemonCommandLine{std::nullopt, settings} : Refuse(faults);
  } catch (const SettingsError& error) {
    faults.insert(faults.end(), error.faults().begin(), error.faults().end());
    return Refuse(faults);
  }
}

}  // namespace ladderstream::settings
