// Collects faults while a configuration is validated.
#pragma once

#include <absl/strings/str_cat.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/changes/configuration_fault.h"

namespace ladderstream::changes {

/// Appends faults for the field at `path` to a list that the caller owns and that must outlive the
/// collector.
class FaultCollector {
 public:
  FaultCollector(std::string path, std::vector<ConfigurationFault>* faults)
      : path_(std::move(path)), faults_(faults) {}

  /// Returns a collector for the field `name` of this field.
  FaultCollector Field(const std::string& name) const {
    return {path_.empty() ? name : absl::StrCat(path_, ".", name), faults_};
  }

  /// Returns a collector for the element `name` of this list.
  FaultCollector Element(const std::string& name) const {
    return {absl::StrCat(path_, "[", name, "]"), faults_};
  }

  void Add(ResultCode code, const std::string& value, const std::string& allowed) const {
    faults_->push_back({code, path_, value, allowed});
  }

  void AddInvalid(const std::string& value, const std::string& allowed) const {
    Add(ResultCode::kInvalidConfiguration, value, allowed);
  }

  /// Adds a fault unless `low` <= `value` <= `high`.
  void RequireInRange(uint64_t value, uint64_t low, uint64_t high) const {
    if (value < low || value > high) {
      AddInvalid(absl::StrCat(value), absl::StrCat(low, " to ", high));
    }
  }

 private:
  std::string path_;
  std::vector<ConfigurationFault>* faults_;
};

}  // namespace ladderstream::changes
