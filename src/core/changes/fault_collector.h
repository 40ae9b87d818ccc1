// Gathers faults while a configuration is checked.
#pragma once

#include <absl/strings/str_cat.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/changes/configuration_fault.h"

namespace ladderstream::changes {

/// Adds faults under a field path that grows with the nesting.
class FaultCollector {
 public:
  FaultCollector(std::string path, std::vector<ConfigurationFault>* faults)
      : path_(std::move(path)), faults_(faults) {}

  /// The collector for a field within this one's.
  FaultCollector Field(const std::string& name) const {
    return {path_.empty() ? name : absl::StrCat(path_, ".", name), faults_};
  }

  /// The collector for the element `name` of this list.
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
