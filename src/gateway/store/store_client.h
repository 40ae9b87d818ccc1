// Calls to the metadata store: encoded by the platform's adapter, carried by HTTP, and held within
// this node's share of what all nodes together may make.
//
// Single-threaded. Replies never come from inside a call. Nothing is tried again here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/store/store_types.h"
#include "core/store/table_follower.h"
#include "gateway/http/event_loop.h"
#include "gateway/store/call_allowance.h"
#include "interfaces/http_exchanger.h"
#include "interfaces/platform_adapter.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::gateway {

struct StoreClientSettings {
  Endpoint address;
  /// What the store takes from all nodes together, in calls a second.
  double writes_per_second = 400;
  double reads_per_second = 2000;
  /// All nodes together stay below this share of it.
  double limit_share = 0.4;
  /// No node makes more than this, however few there are: every call has a price.
  double most_writes_per_second = 60;
  double most_reads_per_second = 30;
  /// Calls that may always be made at once, also by a node among very many.
  double smallest_burst = 6;
  /// Transactions and reads without an answer at one time; more are refused.
  uint32_t most_short_calls = 4;
};

struct StoreTraffic {
  uint64_t transactions = 0;
  uint64_t reads = 0;
  uint64_t watches = 0;
  /// Refused here, without a call.
  uint64_t refused_locally = 0;
  uint64_t unanswered = 0;
};

class StoreClient {
 public:
  using Callback = std::function<void(const store::StoreReply& reply)>;

  /// Everything handed in outlives the client.
  StoreClient(LoopResources* resources, interfaces::HttpExchanger* exchanger,
              interfaces::PlatformAdapterPtr adapter, const StoreClientSettings& settings);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  void Execute(const store::Transaction& transaction, Duration timeout, Callback callback);
  void Read(const store::ReadQuery& query, Duration timeout, Callback callback);
  /// The call of a follower. An earlier call for the same table is cancelled: the follower no
  /// longer waits for it.
  void Run(const store::FollowerCall& call, Callback callback);

  /// What the store takes from all nodes together, in calls a second, changed.
  void SetRates(double writes_per_second, double reads_per_second);
  /// The limits are shared by so many nodes. Only one of them, the coordinator, writes much.
  void SetShare(uint32_t node_count, bool is_coordinator);

  /// The pause between its calls with which each of `callers` stays within this node's share of
  /// reading calls; for TableFollower::SetBatchPause.
  Duration PauseBetweenReads(uint32_t callers) const;

  const StoreTraffic& traffic() const { return traffic_; }

 private:
  void RunRead(const std::string& table, const store::ReadQuery& query, Duration timeout,
               Callback callback);
  void RunWatch(const store::WatchQuery& query, Duration timeout, Callback callback);
  void CancelFollowerCall(const std::string& table);
  interfaces::ExchangeId Call(interfaces::StoreCall call, const interfaces::HttpRequest& request,
                              Duration timeout, Callback callback);
  store::StoreReply ReplyOf(interfaces::StoreCall call, const interfaces::ExchangeResult& result);
  void RefuseLocally(const char* reason, Callback callback);
  /// False, and `callback` is told so, when the call may not be made.
  bool Admit(CallAllowance* allowance, const Callback& callback);

  LoopResources* resources_;
  interfaces::HttpExchanger* exchanger_;
  interfaces::PlatformAdapterPtr adapter_;
  StoreClientSettings settings_;
  uint32_t node_count_ = 1;
  bool is_coordinator_ = false;
  CallAllowance writes_;
  CallAllowance reads_;
  uint32_t short_calls_ = 0;
  StoreTraffic traffic_;
  /// The followers' outstanding calls, by table.
  struct OutstandingCall {
    interfaces::ExchangeId exchange = 0;
    bool is_short = false;
  };
  std::map<std::string, OutstandingCall> follower_calls_;
  /// Expired once this client is gone.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace ladderstream::gateway
