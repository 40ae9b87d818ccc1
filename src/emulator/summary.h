// Mean, peak and quantiles of a series, in constant memory.
#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace ladderstream::emulator {

class Summary {
 public:
  Summary() : values_(boost::accumulators::extended_p_square_probabilities = kProbabilities) {}

  void Add(double value) { values_(value); }

  double Mean() const { return boost::accumulators::mean(values_); }
  double Max() const { return boost::accumulators::max(values_); }

  /// Estimates by the P-square algorithm.
  double Median() const { return Marker(0); }
  double Percentile95() const { return Marker(1); }
  double Percentile99() const { return Marker(2); }

 private:
  static constexpr std::array<double, 3> kProbabilities = {0.5, 0.95, 0.99};

  double Marker(size_t index) const {
    return boost::accumulators::extended_p_square(values_)[static_cast<std::ptrdiff_t>(index)];
  }

  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::mean, boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>
      values_;
};

}  // namespace ladderstream::emulator
