#include "ladderctl/table_writer.h"

#include <algorithm>
#include <utility>

namespace ladderstream::ladderctl {
namespace {

constexpr size_t kGap = 2;

}  // namespace

TableWriter::TableWriter(std::vector<std::string> titles) { rows_.push_back(std::move(titles)); }

void TableWriter::AddRow(std::vector<std::string> cells) {
  for (std::string& cell : cells) {
    if (cell.empty()) {
      cell.assign(1, '-');
    }
  }
  rows_.push_back(std::move(cells));
}

void TableWriter::Write(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (size_t column = 0; column < widths.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t column = 0; column < widths.size(); ++column) {
      line += row[column];
      line.append(widths[column] - row[column].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

}  // namespace ladderstream::ladderctl
