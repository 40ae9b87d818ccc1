// Reads typed settings one by one and gathers every fault; usable by any program of the project.
//
//   SettingsReader reader(path, overrides);
//   reader.ReadText("node.name", Presence::kRequired, &settings.name);
//   reader.Finish();  // throws SettingsError with all faults
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "settings/setting_fault.h"
#include "settings/settings_source.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::settings {

enum class Presence { kRequired, kOptional };

/// Bounds, both allowed.
struct DurationRange {
  Duration low;
  Duration high;
};
struct IntegerRange {
  int64_t low = 0;
  int64_t high = 0;
};
struct NumberRange {
  double low = 0;
  double high = 0;
};

/// Each Read leaves its target as it was when the setting is absent or at fault. Not thread-safe.
class SettingsReader {
 public:
  SettingsReader(const std::string& path, const std::vector<SettingOverride>& overrides);

  /// Not empty, at most 64 characters.
  void ReadText(const std::string& key, Presence presence, std::string* target);
  void ReadChoice(const std::string& key, Presence presence,
                  const std::vector<std::string>& choices, std::string* target);
  void ReadBoolean(const std::string& key, Presence presence, bool* target);
  /// An IP number and port, such as "10.0.0.1:7000".
  void ReadEndpoint(const std::string& key, Presence presence, Endpoint* target);
  void ReadEndpoint(const std::string& key, std::optional<Endpoint>* target);
  void ReadEndpoints(const std::string& key, Presence presence, std::vector<Endpoint>* target);
  /// Written as "700ms", "2s" or "1m30s".
  void ReadDuration(const std::string& key, Presence presence, const DurationRange& range,
                    Duration* target);
  void ReadInteger(const std::string& key, Presence presence, const IntegerRange& range,
                   int64_t* target);
  void ReadInteger(const std::string& key, Presence presence, const IntegerRange& range,
                   uint32_t* target);
  void ReadNumber(const std::string& key, Presence presence, const NumberRange& range,
                  double* target);

  /// Adds a fault that concerns several settings.
  void AddInconsistency(const std::string& keys, const std::string& allowed);

  /// Every setting as written, by full name.
  std::map<std::string, std::string> Written() const;

  /// Whether any fault has been found so far.
  bool HasFaults() const { return !faults_.empty(); }

  /// Adds a fault for each setting that nobody read, and throws SettingsError when there are
  /// faults.
  void Finish();

 private:
  const SettingEntry* Find(const std::string& key, Presence presence, const std::string& allowed);
  void AddInvalid(const std::string& key, const SettingEntry& entry, const std::string& allowed);
  std::optional<Endpoint> ParseAddress(const std::string& text) const;

  /// Before `entries_`, whose reading adds to it.
  std::vector<SettingFault> faults_;
  SettingEntries entries_;
  std::set<std::string> read_;
};

}  // namespace ladderstream::settings
