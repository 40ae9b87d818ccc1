// Draws a Plot as SVG: axes with round marks, one coloured line a series, a legend.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "bench/report.h"

namespace ladderstream::bench {
namespace {

constexpr double kWidth = 760;
constexpr double kHeight = 380;
constexpr double kLeft = 70;
constexpr double kRight = 190;
constexpr double kTop = 40;
constexpr double kBottom = 50;
constexpr int kMarks = 6;
constexpr std::array<const char*, 7> kColours = {"#1b6ca8", "#d1495b", "#2e8b57", "#e09f3e",
                                                 "#6a4c93", "#444444", "#00a6a6"};

std::string Escape(const std::string& text) {
  return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

/// Maps values of one axis to positions in the picture.
class Axis {
 public:
  Axis(double from, double to, bool logarithmic)
      : from_(from), to_(to), logarithmic_(logarithmic) {}

  void Include(double value) {
    low_ = std::min(low_, value);
    high_ = std::max(high_, value);
  }

  double PositionOf(double value) const {
    const double low = Scale(low_);
    const double span = Scale(high_) - low;
    const double share = span > 0 ? (Scale(value) - low) / span : 0.5;
    return from_ + (to_ - from_) * share;
  }

  std::vector<double> Marks() const {
    std::vector<double> marks;
    if (logarithmic_) {
      for (double mark = std::pow(10, std::ceil(std::log10(low_))); mark <= high_; mark *= 10) {
        marks.push_back(mark);
      }
      return marks;
    }
    const double raw = std::max((high_ - low_) / kMarks, 1e-12);
    const double magnitude = std::pow(10, std::floor(std::log10(raw)));
    const double step = magnitude * (raw / magnitude > 5 ? 10 : raw / magnitude > 2 ? 5 : 2);
    for (double mark = std::ceil(low_ / step) * step; mark <= high_ + step * 1e-9; mark += step) {
      marks.push_back(mark);
    }
    return marks;
  }

 private:
  double Scale(double value) const { return logarithmic_ ? std::log10(value) : value; }

  double from_;
  double to_;
  bool logarithmic_;
  double low_ = std::numeric_limits<double>::infinity();
  double high_ = -std::numeric_limits<double>::infinity();
};

void DrawAxes(const Plot& plot, const Axis& x, const Axis& y, std::string& svg) {
  const double bottom = kHeight - kBottom;
  const double right = kWidth - kRight;
  for (const double mark : x.Marks()) {
    const double at = x.PositionOf(mark);
    absl::StrAppendFormat(&svg, "<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' stroke='#ddd'/>\n",
                          at, kTop, at, bottom);
    absl::StrAppendFormat(&svg, "<text x='%.1f' y='%.1f' text-anchor='middle'>%g</text>\n", at,
                          bottom + 16, mark);
  }
  for (const double mark : y.Marks()) {
    const double at = y.PositionOf(mark);
    absl::StrAppendFormat(&svg, "<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' stroke='#ddd'/>\n",
                          kLeft, at, right, at);
    absl::StrAppendFormat(&svg, "<text x='%.1f' y='%.1f' text-anchor='end'>%g</text>\n", kLeft - 6,
                          at + 4, mark);
  }
  absl::StrAppendFormat(&svg, "<text x='%.1f' y='%.1f' text-anchor='middle'>%s</text>\n",
                        (kLeft + right) / 2, kHeight - 10, Escape(plot.x_label));
  absl::StrAppendFormat(
      &svg,
      "<text x='16' y='%.1f' text-anchor='middle' transform='rotate(-90 16 %.1f)'>%s</text>\n",
      (kTop + bottom) / 2, (kTop + bottom) / 2, Escape(plot.y_label));
}

void DrawSeries(const Series& series, size_t index, const Axis& x, const Axis& y,
                std::string& svg) {
  constexpr double kLegendLine = 18;
  const char* colour = kColours[index % kColours.size()];
  absl::StrAppend(&svg, "<polyline fill='none' stroke-width='1.5' stroke='", colour, "' points='");
  for (size_t i = 0; i < series.x.size(); ++i) {
    absl::StrAppendFormat(&svg, "%.1f,%.1f ", x.PositionOf(series.x[i]), y.PositionOf(series.y[i]));
  }
  absl::StrAppend(&svg, "'/>\n");
  const double at = kTop + kLegendLine * static_cast<double>(index);
  absl::StrAppendFormat(&svg, "<text x='%.1f' y='%.1f' fill='%s'>%s</text>\n", kWidth - kRight + 10,
                        at + 10, colour, Escape(series.name));
}

}  // namespace

std::string DrawSvg(const Plot& plot) {
  Axis x(kLeft, kWidth - kRight, plot.logarithmic);
  Axis y(kHeight - kBottom, kTop, plot.logarithmic);
  for (const Series& series : plot.series) {
    std::for_each(series.x.begin(), series.x.end(), [&x](double value) { x.Include(value); });
    std::for_each(series.y.begin(), series.y.end(), [&y](double value) { y.Include(value); });
  }
  std::string svg = absl::StrFormat(
      "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 %g %g' font-family='sans-serif' "
      "font-size='12'>\n<rect width='100%%' height='100%%' fill='white'/>\n",
      kWidth, kHeight);
  absl::StrAppendFormat(&svg, "<text x='%g' y='22' font-size='14'>%s</text>\n", kLeft,
                        Escape(plot.title));
  DrawAxes(plot, x, y, svg);
  for (size_t i = 0; i < plot.series.size(); ++i) {
    DrawSeries(plot.series[i], i, x, y, svg);
  }
  absl::StrAppend(&svg, "</svg>\n");
  return svg;
}

}  // namespace ladderstream::bench
