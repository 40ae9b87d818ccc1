// The metadata store of a simulated fleet: keeps two tables, answers reads at once and watches when
// something changes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/store/store_types.h"

namespace ladderstream::bench {

class FleetStore {
 public:
  using Reply = std::function<void(store::StoreReply reply)>;

  uint64_t Put(const std::string& table, const std::string& key, const std::string& value) {
    store::Row row{{table, "", key}, value, ++version_, false};
    rows_[{table, key}] = row;
    history_.push_back(std::move(row));
    for (auto& [id, watch] : std::exchange(watches_, {})) {
      if (!Answer(watch.first, watch.second)) {
        watches_.emplace(id, std::move(watch));
      }
    }
    return version_;
  }
  store::StoreReply Read(const store::ReadQuery& query) const {
    store::StoreReply reply{store::StoreStatus::kDone, {}, false, version_, ""};
    for (const auto& [key, row] : rows_) {
      if (key.first == query.table) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }
  /// Gives the watch's number, 0 when it was answered at once.
  uint64_t Watch(const store::WatchQuery& query, Reply reply) {
    if (Answer(query, reply)) {
      return 0;
    }
    watches_.emplace(++last_watch_, std::make_pair(query, std::move(reply)));
    return last_watch_;
  }
  /// The watch's time is up.
  void EndWatch(uint64_t watch) {
    const auto found = watches_.find(watch);
    if (found != watches_.end()) {
      const Reply reply = std::move(found->second.second);
      watches_.erase(found);
      reply({store::StoreStatus::kDone, {}, false, version_, ""});
    }
  }

 private:
  bool Answer(const store::WatchQuery& query, const Reply& reply) const {
    store::StoreReply answer{store::StoreStatus::kDone, {}, false, version_, ""};
    for (auto row = history_.rbegin(); row != history_.rend() && row->version > query.after;
         ++row) {
      if (row->key.table == query.table) {
        answer.rows.push_back(*row);
      }
    }
    if (answer.rows.empty()) {
      return false;
    }
    std::reverse(answer.rows.begin(), answer.rows.end());
    reply(std::move(answer));
    return true;
  }

  std::map<std::pair<std::string, std::string>, store::Row> rows_;
  std::vector<store::Row> history_;
  std::map<uint64_t, std::pair<store::WatchQuery, Reply>> watches_;
  uint64_t last_watch_ = 0;
  uint64_t version_ = 0;
};

}  // namespace ladderstream::bench
