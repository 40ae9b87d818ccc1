#include "bench/report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace ladderstream::bench {
namespace {

std::string Pad(const std::string& text, size_t width) {
  return absl::StrCat(text, std::string(width - std::min(width, text.size()), ' '));
}

std::string FormatTable(const Table& table) {
  std::vector<size_t> widths;
  for (const std::string& column : table.columns) {
    widths.push_back(column.size());
  }
  for (const auto& row : table.rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text = absl::StrCat(table.title, "\n");
  const auto add_row = [&](const std::vector<std::string>& row) {
    for (size_t i = 0; i < row.size(); ++i) {
      absl::StrAppend(&text, "  ", Pad(row[i], widths[i]));
    }
    absl::StrAppend(&text, "\n");
  };
  add_row(table.columns);
  for (const auto& row : table.rows) {
    add_row(row);
  }
  return text;
}

}  // namespace

std::string FormatNumber(double value, int digits) {
  return absl::StrFormat("%.*f", digits, value);
}

std::string FormatText(const Report& report) {
  std::string text = absl::StrCat("experiment ", report.experiment, ", seed ", report.seed, "\n\n");
  for (const Table& table : report.tables) {
    absl::StrAppend(&text, FormatTable(table), "\n");
  }
  for (const std::string& finding : report.findings) {
    absl::StrAppend(&text, "- ", finding, "\n");
  }
  return text;
}

nlohmann::json ToJson(const Report& report) {
  nlohmann::json json;
  json["experiment"] = report.experiment;
  json["seed"] = report.seed;
  json["findings"] = report.findings;
  json["tables"] = nlohmann::json::array();
  for (const Table& table : report.tables) {
    json["tables"].push_back(
        {{"title", table.title}, {"columns", table.columns}, {"rows", table.rows}});
  }
  json["plots"] = nlohmann::json::array();
  for (const Plot& plot : report.plots) {
    nlohmann::json series = nlohmann::json::array();
    for (const Series& line : plot.series) {
      series.push_back({{"name", line.name}, {"x", line.x}, {"y", line.y}});
    }
    json["plots"].push_back({{"title", plot.title},
                             {"x_label", plot.x_label},
                             {"y_label", plot.y_label},
                             {"series", series}});
  }
  return json;
}

}  // namespace ladderstream::bench
