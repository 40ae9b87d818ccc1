// The metadata store on the wire, with its limits and its faults.
//
// It listens at several entrances, all of the same store, so that faults can strike the clients of
// one entrance alone. Back ends and the operator of this process reach it without the wire; an
// outage of the whole store stops them as well.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "standin/fleet/event_loop.h"
#include "standin/fleet/http_server.h"
#include "standin/fleet/metadata_store.h"

namespace ladderstream::fleet {

enum class StoreOutage {
  kNone,
  /// Takes connections and says nothing.
  kSilent,
  /// Resets every connection.
  kReset,
  /// Answers 503; nothing is done.
  kUnavailable,
  /// Answers 429; nothing is done.
  kThrottled,
};

/// Takes effect for the calls that come after it was set.
struct StoreFaults {
  StoreOutage outage = StoreOutage::kNone;
  /// Every call takes this many times as long.
  double slowdown = 1;
  /// Of the writes, the share that takes effect and is not answered.
  double lost_answers = 0;
  /// Of the writes, the share that is not answered and tried only `late_by` later.
  double late_writes = 0;
  Duration late_by = absl::Seconds(2);
};

struct StoreSettings {
  /// Where it listens; ports of 0 are chosen by the system.
  std::vector<Endpoint> entrances = {{"127.0.0.1", 0}};
  double writes_per_second = 400;
  double reads_per_second = 2000;
  Duration call_time = absl::Milliseconds(3);
  Duration history = absl::Seconds(20);
  uint64_t seed = 1;
};

/// What was asked of the store over the wire.
struct StoreCounts {
  uint64_t writes = 0;
  uint64_t reads = 0;
  uint64_t feeds = 0;
  uint64_t refused = 0;
};

class StoreServer {
 public:
  StoreServer(EventLoop* loop, const StoreSettings& settings);

  Endpoint endpoint(size_t entrance) const { return servers_.at(entrance)->endpoint(); }

  /// For the clients of all entrances, and for the back ends and the operator.
  void SetFaults(const StoreFaults& faults);
  /// For the clients of one entrance, in place of those of all.
  void SetFaultsAt(size_t entrance, const StoreFaults& faults);
  /// The watches that wait there never get an answer; other calls and new watches do.
  void SilenceWatchesAt(size_t entrance);
  /// For `time` no watch is answered while changes are made; then the history is dropped.
  void Compact(Duration time);
  /// Ends all faults.
  void Heal();

  /// As the back ends and the operator use it: false when the store is down.
  bool Transact(const store::Transaction& transaction, TransactionResult* result);

  /// Feeds that start before now are told that the history is gone.
  void ForgetHistory() { rows_.ForgetChanges(EventLoop::Now() + absl::Seconds(1)); }

  const MetadataStore& rows() const { return rows_; }
  const StoreCounts& counts() const { return counts_; }
  /// The entrance through which the last conditional transaction that was applied came.
  std::optional<size_t> last_conditional_writer() const { return last_conditional_writer_; }
  /// Since when the store as a whole has had no fault.
  Time sound_since() const { return sound_since_; }
  bool sound() const;

 private:
  /// Calls that may be made in the next moment, refilled with time.
  struct Allowance {
    double left = 0;
    Time at;
    bool Take(double per_second, Time now);
  };
  struct WaitingFeed {
    ExchangePtr exchange;
    std::string table;
    store::RowVersion after = 0;
    size_t entrance = 0;
    uint64_t number = 0;
  };

  const StoreFaults& FaultsOf(size_t entrance) const;
  void OnCall(size_t entrance, const ExchangePtr& exchange);
  void Serve(size_t entrance, const ExchangePtr& exchange, const std::string& path);
  void Write(size_t entrance, const ExchangePtr& exchange);
  void Read(const ExchangePtr& exchange);
  void Feed(size_t entrance, const ExchangePtr& exchange);
  bool AnswerFeed(const WaitingFeed& feed, bool even_if_empty);
  void WakeFeeds();
  TransactionResult Commit(const store::Transaction& transaction);
  void Respond(const ExchangePtr& exchange, int status, nlohmann::json body) const;
  bool Chance(double share);

  EventLoop* loop_;
  StoreSettings settings_;
  StoreFaults faults_;
  std::map<size_t, StoreFaults> faults_at_;
  MetadataStore rows_;
  StoreCounts counts_;
  Allowance writes_;
  Allowance reads_;
  std::list<WaitingFeed> feeds_;
  uint64_t next_feed_ = 0;
  /// Watches are not answered before.
  Time feeds_held_until_ = absl::InfinitePast();
  std::optional<size_t> last_conditional_writer_;
  Time started_ = EventLoop::Now();
  Time sound_since_ = EventLoop::Now();
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace ladderstream::fleet
