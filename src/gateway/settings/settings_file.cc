#include "gateway/settings/settings_file.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace ladderstream::gateway {
namespace {

constexpr std::array<std::string_view, 10> kReloadable = {
    "node.log_level",
    "forwarding.released_request",
    "store.writes_per_second",
    "store.reads_per_second",
    "store.partition_writes_per_second",
    "bounds.stop_grace",
    "bounds.retry_budget_ratio",
    "bounds.retry_budget_slack",
    "bounds.retry_budget_window",
    "membership.seeds",
};

constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;

/// Names that stand in one of the two only, or with different values.
std::set<std::string> DifferingNames(const std::map<std::string, std::string>& before,
                                     const std::map<std::string, std::string>& after) {
  std::set<std::string> names;
  for (const auto& [name, value] : before) {
    const auto found = after.find(name);
    if (found == after.end() || found->second != value) {
      names.insert(name);
    }
  }
  for (const auto& [name, value] : after) {
    if (!before.contains(name)) {
      names.insert(name);
    }
  }
  return names;
}

}  // namespace

bool IsReloadable(const std::string& name) {
  return std::find(kReloadable.begin(), kReloadable.end(), name) != kReloadable.end();
}

SettingsChanges CompareSettings(const NodeSettings& before, const NodeSettings& after) {
  SettingsChanges changes;
  for (const std::string& name : DifferingNames(before.written, after.written)) {
    (IsReloadable(name) ? changes.applied : changes.deferred).push_back(name);
  }
  return changes;
}

std::string Describe(const SettingsChanges& changes) {
  if (changes.empty()) {
    return "nothing changed";
  }
  std::vector<std::string> parts;
  if (!changes.applied.empty()) {
    parts.push_back(absl::StrCat("in force: ", absl::StrJoin(changes.applied, ", ")));
  }
  if (!changes.deferred.empty()) {
    parts.push_back(absl::StrCat("from the next start: ", absl::StrJoin(changes.deferred, ", ")));
  }
  return absl::StrJoin(parts, "; ");
}

NodeSettings SettingsFile::Load() {
  // Looked at before it is read: what is written in between is seen as a change.
  Look(&loaded_);
  return LoadNodeSettings(path_, {});
}

bool SettingsFile::HasChanged() const {
  Stamp stamp;
  return Look(&stamp) && stamp != loaded_;
}

bool SettingsFile::Look(Stamp* stamp) const {
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0) {
    return false;
  }
  stamp->inode = status.st_ino;
  stamp->bytes = static_cast<uint64_t>(status.st_size);
  stamp->written_ns = status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
  return true;
}

}  // namespace ladderstream::gateway
