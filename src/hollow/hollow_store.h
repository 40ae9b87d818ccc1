// A transactional table in memory, with a rate limit and outages. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/authority/authority.h"

namespace ladderstream::hollow {

class HollowStore {
 public:
  /// Transactions a second, over all callers.
  explicit HollowStore(double rate_limit) : rate_limit_(rate_limit) {}

  /// Runs a transaction whose keys all get `prefix`: each group has a configuration of its own.
  authority::StoreAnswered Run(const authority::RunStoreTransaction& run, const std::string& prefix,
                               Time now);

  /// Writes one row, past the rate limit.
  void Put(const std::string& key, const std::string& value);

  uint64_t transactions() const { return transactions_; }
  uint64_t refused() const { return refused_; }

 private:
  bool TakeToken(Time now);

  double rate_limit_;
  double tokens_ = 0;
  Time refilled_ = absl::InfinitePast();
  std::map<std::string, authority::StoreRow> rows_;
  uint64_t transactions_ = 0;
  uint64_t refused_ = 0;
};

/// What a transaction and its answer take on the way, in bytes, headers included.
uint64_t BytesOf(const authority::StoreTransaction& transaction);
uint64_t BytesOf(const authority::StoreAnswered& answer);

}  // namespace ladderstream::hollow
