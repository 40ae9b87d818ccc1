#include "core/routing/retry_budget.h"

#include <algorithm>

namespace ladderstream::routing {
namespace {

constexpr int64_t kOneRetry = 1000;

}  // namespace

RetryBudget::RetryBudget(uint32_t permille, uint32_t min_tokens)
    : deposit_(permille),
      capacity_(permille == 0 ? 0 : kOneRetry * std::max<int64_t>(min_tokens, permille / 10)),
      balance_(std::min(capacity_, kOneRetry * static_cast<int64_t>(min_tokens))) {}

void RetryBudget::Deposit() {
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance < capacity_) {
    const int64_t next = std::min(capacity_, balance + deposit_);
    if (balance_.compare_exchange_weak(balance, next, std::memory_order_relaxed)) {
      return;
    }
  }
}

bool RetryBudget::Withdraw() {
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kOneRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kOneRetry, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace ladderstream::routing
