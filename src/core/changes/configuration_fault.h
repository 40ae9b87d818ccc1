// Faults that make a configuration change invalid, and the error that reports all of them together.
#pragma once

#include <string>
#include <vector>

#include "wire/result_code.h"

namespace ladderstream::changes {

struct ConfigurationFault {
  ResultCode code = ResultCode::kInvalidConfiguration;
  /// The path of the field, such as "routes[read].targets[scripts].weight".
  std::string field;
  /// The invalid value.
  std::string value;
  /// A description of the values that are allowed.
  std::string allowed;

  bool operator==(const ConfigurationFault&) const = default;
};

/// Returns `fault` as one line of text.
std::string FormatFault(const ConfigurationFault& fault);

/// Thrown for a rejected change. Its code is the code that all faults share, or
/// kInvalidConfiguration if they differ; what() holds one line per fault.
class ConfigurationError : public Error {
 public:
  explicit ConfigurationError(std::vector<ConfigurationFault> faults);

  const std::vector<ConfigurationFault>& faults() const { return faults_; }

 private:
  std::vector<ConfigurationFault> faults_;
};

}  // namespace ladderstream::changes
