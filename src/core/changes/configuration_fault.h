// What is wrong with a change of the configuration: all of it at once.
#pragma once

#include <string>
#include <vector>

#include "wire/result_code.h"

namespace ladderstream::changes {

/// One fault.
struct ConfigurationFault {
  ResultCode code = ResultCode::kInvalidConfiguration;
  /// Such as "routes[read].targets[scripts].weight".
  std::string field;
  /// The value as given.
  std::string value;
  /// What is allowed instead.
  std::string allowed;

  bool operator==(const ConfigurationFault&) const = default;
};

/// Writes `fault` on one line.
std::string FormatFault(const ConfigurationFault& fault);

/// Thrown for a change that is refused. Its code is the faults' common one, or
/// kInvalidConfiguration when they differ; what() has one line for each.
class ConfigurationError : public Error {
 public:
  explicit ConfigurationError(std::vector<ConfigurationFault> faults);

  const std::vector<ConfigurationFault>& faults() const { return faults_; }

 private:
  std::vector<ConfigurationFault> faults_;
};

}  // namespace ladderstream::changes
