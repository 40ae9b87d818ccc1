// What an experiment gives: tables, findings and plots, and their forms as text, JSON and SVG.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ladderstream::bench {

struct Table {
  std::string title;
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// One line of a plot.
struct Series {
  std::string name;
  std::vector<double> x;
  std::vector<double> y;
};

struct Plot {
  std::string title;
  std::string x_label;
  std::string y_label;
  std::vector<Series> series;
  /// Both axes by logarithm.
  bool logarithmic = false;
};

struct Report {
  std::string experiment;
  uint64_t seed = 0;
  std::vector<Table> tables;
  /// One sentence each: which target was set, and whether the figures reach it.
  std::vector<std::string> findings;
  std::vector<Plot> plots;
};

/// Writes a number with this many digits after the point.
std::string FormatNumber(double value, int digits);

/// Columns aligned, for a terminal.
std::string FormatText(const Report& report);

nlohmann::json ToJson(const Report& report);

/// An SVG picture of the plot.
std::string DrawSvg(const Plot& plot);

}  // namespace ladderstream::bench
