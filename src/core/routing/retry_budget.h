// Bounds retries to a share of first tries, so that retries never multiply an overload.
#pragma once

#include <atomic>
#include <cstdint>

namespace ladderstream::routing {

/// A token bucket that first tries fill. Thread-safe.
class RetryBudget {
 public:
  /// `permille`: retries as a share of first tries; zero forbids them. `min_tokens`: retries
  /// allowed before any first try; also how many are saved up, unless 100 first tries pay for more.
  RetryBudget(uint32_t permille, uint32_t min_tokens);

  /// A first try adds its share.
  void Deposit();
  /// Takes one retry; false when there is none.
  bool Withdraw();

 private:
  const int64_t deposit_;
  const int64_t capacity_;
  /// In thousandths of a retry.
  std::atomic<int64_t> balance_;
};

}  // namespace ladderstream::routing
