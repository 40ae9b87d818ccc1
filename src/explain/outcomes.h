// Sums up from the logs of all nodes what became of the requests: by service, outcome and cause,
// with the time at which each was most frequent and a request to explain.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "explain/log_line.h"

namespace ladderstream::explain {

/// Requests of one service that ended alike.
struct OutcomeRow {
  std::string service;
  /// The event of the final line, such as request_refused.
  std::string outcome;
  /// The result code; the status where there is none.
  std::string code;
  /// The reason without what differs from request to request.
  std::string cause;
  uint64_t requests = 0;
  /// Of all final lines of this service.
  double share = 0;
  /// When the interval begins in which most of them ended, by the nodes' time of day, and how many.
  absl::Time most_at;
  uint64_t most = 0;
  /// The first one; ladderstream_explain --request tells more of it.
  std::string example;
};

class Outcomes {
 public:
  explicit Outcomes(absl::Duration interval) : interval_(interval) {}

  void Read(std::istream& in);

  /// Unanswered ones first, then by number.
  std::vector<OutcomeRow> Rows() const;
  /// Final lines that were left out of the logs within their budget, mostly of answered requests.
  uint64_t lines_left_out() const { return lines_left_out_; }

 private:
  using Kind = std::tuple<std::string, std::string, std::string, std::string>;
  struct Sum {
    uint64_t requests = 0;
    std::map<absl::Time, uint64_t> by_interval;
    std::string example;
  };

  void Add(const LogLine& line);

  absl::Duration interval_;
  std::map<Kind, Sum> sums_;
  std::map<std::string, uint64_t> requests_of_service_;
  uint64_t lines_left_out_ = 0;
};

void WriteOutcomes(const Outcomes& outcomes, std::ostream& out);
void WriteOutcomesAsJson(const Outcomes& outcomes, std::ostream& out);

}  // namespace ladderstream::explain
