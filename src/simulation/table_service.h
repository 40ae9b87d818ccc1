// The platform's transactional table service, with its faults.
#pragma once

#include <map>
#include <string>

#include "core/authority/authority.h"
#include "simulation/environment.h"

namespace ladderstream::simulation {

enum class StoreCondition {
  kUp,
  kDown,
  /// Answers are lost after the writes took effect.
  kAnswersLost,
  /// Everything beyond a few transactions a second is refused.
  kRateLimited,
};

struct StoreResult {
  authority::StoreStatus status = authority::StoreStatus::kUnknown;
  std::vector<authority::StoreRow> rows;
};

class TableService {
 public:
  explicit TableService(Environment& environment) : environment_(environment) {}

  /// Runs a transaction for `host` and brings the result to it. The client gives up after a while,
  /// with an unknown outcome.
  void Run(HostId host, const authority::StoreTransaction& transaction,
           const std::function<void(const StoreResult&)>& on_answer);
  /// Writes a row at once, before the run begins.
  void Put(const std::string& key, const std::string& value);

  void SetCondition(StoreCondition condition) { condition_ = condition; }

 private:
  StoreResult Execute(const authority::StoreTransaction& transaction);
  bool IsOverRate();

  Environment& environment_;
  StoreCondition condition_ = StoreCondition::kUp;
  std::map<std::string, authority::StoreRow> rows_;
  Time second_began_ = absl::InfinitePast();
  int in_this_second_ = 0;
};

}  // namespace ladderstream::simulation
