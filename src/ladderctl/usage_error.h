// A command line that ladderctl cannot carry out.
#pragma once

#include <stdexcept>
#include <string>

namespace ladderstream::ladderctl {

/// Names the flag or word, the value, and what is allowed.
class UsageError : public std::runtime_error {
 public:
  explicit UsageError(const std::string& message) : std::runtime_error(message) {}
};

}  // namespace ladderstream::ladderctl
