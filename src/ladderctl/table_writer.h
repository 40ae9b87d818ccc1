// Readable tables on a terminal.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace ladderstream::ladderctl {

/// Collects rows and writes them with aligned columns. An empty cell is written as "-".
class TableWriter {
 public:
  explicit TableWriter(std::vector<std::string> titles);

  /// `cells` has one for each title.
  void AddRow(std::vector<std::string> cells);

  void Write(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace ladderstream::ladderctl
