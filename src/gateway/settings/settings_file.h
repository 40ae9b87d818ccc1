// The settings file of a running node: read at the start, and again when it has changed.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gateway/settings/node_settings.h"

namespace ladderstream::gateway {

/// What a reload changed, by full names of settings.
struct SettingsChanges {
  /// In force at once.
  std::vector<std::string> applied;
  /// In force from the next start of the process.
  std::vector<std::string> deferred;

  bool empty() const { return applied.empty() && deferred.empty(); }
};

/// Compares what was written. A running node takes up a setting only if IsReloadable().
SettingsChanges CompareSettings(const NodeSettings& before, const NodeSettings& after);

/// Whether a node takes the setting up while it runs.
bool IsReloadable(const std::string& name);

/// For the log: what a reload changed, in words.
std::string Describe(const SettingsChanges& changes);

/// Not thread-safe.
class SettingsFile {
 public:
  explicit SettingsFile(std::string path) : path_(std::move(path)) {}

  /// Throws settings::SettingsError with every fault. Changes from before the reading are not told
  /// by HasChanged() again, also when the file is at fault.
  NodeSettings Load();

  /// Whether the file is another one, or was written, since the last Load(). A file that cannot be
  /// looked at counts as unchanged.
  bool HasChanged() const;

 private:
  /// What shows that a file was replaced or written.
  struct Stamp {
    uint64_t inode = 0;
    uint64_t bytes = 0;
    int64_t written_ns = 0;
    bool operator==(const Stamp&) const = default;
  };
  /// False when the file cannot be looked at.
  bool Look(Stamp* stamp) const;

  const std::string path_;
  Stamp loaded_;
};

}  // namespace ladderstream::gateway
