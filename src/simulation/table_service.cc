#include "simulation/table_service.h"

#include <utility>

namespace ladderstream::simulation {
namespace {

constexpr Duration kOneWayMin = absl::Milliseconds(1);
constexpr Duration kOneWayMax = absl::Milliseconds(15);
constexpr Duration kClientTimeout = absl::Seconds(1);
constexpr int kLimitPerSecond = 3;

}  // namespace

void TableService::Run(HostId host, const authority::StoreTransaction& transaction,
                       const std::function<void(const StoreResult&)>& on_answer) {
  const auto answer = environment_.Guard<StoreResult>(host, on_answer);
  if (condition_ == StoreCondition::kDown) {
    const bool refused = environment_.Draw() < 0.5;
    StoreResult nothing;
    nothing.status = refused ? authority::StoreStatus::kRefused : authority::StoreStatus::kUnknown;
    environment_.AtHost(host, refused ? kOneWayMin : kClientTimeout,
                        [answer, nothing] { answer(nothing); });
    return;
  }
  const Duration there = environment_.DrawDuration(kOneWayMin, kOneWayMax);
  const Duration back = environment_.DrawDuration(kOneWayMin, kOneWayMax);
  // A transaction that has left takes effect whatever becomes of its sender.
  environment_.At(environment_.now() + there, [this, host, transaction, answer, back] {
    const StoreResult result = Execute(transaction);
    if (condition_ == StoreCondition::kAnswersLost) {
      environment_.AtHost(host, kClientTimeout, [answer] { answer(StoreResult()); });
    } else {
      environment_.AtHost(host, back, [answer, result] { answer(result); });
    }
  });
}

bool TableService::IsOverRate() {
  if (environment_.now() - second_began_ >= absl::Seconds(1)) {
    second_began_ = environment_.now();
    in_this_second_ = 0;
  }
  return ++in_this_second_ > kLimitPerSecond;
}

StoreResult TableService::Execute(const authority::StoreTransaction& transaction) {
  StoreResult result;
  if (condition_ == StoreCondition::kRateLimited && IsOverRate()) {
    result.status = authority::StoreStatus::kRefused;
    return result;
  }
  bool holds = true;
  for (const auto& condition : transaction.conditions) {
    holds = holds && rows_[condition.key].version == condition.version;
  }
  result.status = holds ? authority::StoreStatus::kCommitted : authority::StoreStatus::kConflict;
  if (holds) {
    for (const auto& write : transaction.writes) {
      rows_[write.key].value = write.value;
      ++rows_[write.key].version;
    }
  }
  for (const std::string& key : transaction.reads) {
    authority::StoreRow row = rows_[key];
    row.key = key;
    result.rows.push_back(std::move(row));
  }
  return result;
}

void TableService::Put(const std::string& key, const std::string& value) {
  rows_[key].value = value;
  ++rows_[key].version;
}

}  // namespace ladderstream::simulation
