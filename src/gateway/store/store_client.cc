#include "gateway/store/store_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

namespace ladderstream::gateway {

using interfaces::ExchangeResult;
using interfaces::ExchangeStatus;
using interfaces::StoreCall;
using store::StoreReply;
using store::StoreStatus;

StoreClient::StoreClient(LoopResources* resources, interfaces::HttpExchanger* exchanger,
                         interfaces::PlatformAdapterPtr adapter,
                         const StoreClientSettings& settings)
    : resources_(resources),
      exchanger_(exchanger),
      adapter_(std::move(adapter)),
      settings_(settings),
      writes_(0, settings.smallest_burst),
      reads_(0, settings.smallest_burst) {
  SetShare(1, false);
}

StoreClient::~StoreClient() {
  for (const auto& [table, call] : follower_calls_) {
    exchanger_->Cancel(call.exchange);
  }
}

void StoreClient::SetRates(double writes_per_second, double reads_per_second) {
  settings_.writes_per_second = writes_per_second;
  settings_.reads_per_second = reads_per_second;
  SetShare(node_count_, is_coordinator_);
}

void StoreClient::SetShare(uint32_t node_count, bool is_coordinator) {
  node_count_ = node_count;
  is_coordinator_ = is_coordinator;
  const Time now = resources_->clock.Now();
  const double nodes = std::max<double>(node_count, 1);
  const double writers = is_coordinator ? 1 : nodes;
  const double write_share = settings_.writes_per_second * settings_.limit_share / writers;
  const double read_share = settings_.reads_per_second * settings_.limit_share / nodes;
  writes_.SetRate(std::min(write_share, settings_.most_writes_per_second), now);
  reads_.SetRate(std::min(read_share, settings_.most_reads_per_second), now);
}

Duration StoreClient::PauseBetweenReads(uint32_t callers) const {
  return absl::Seconds(callers / reads_.rate());
}

void StoreClient::Execute(const store::Transaction& transaction, Duration timeout,
                          Callback callback) {
  if (short_calls_ >= settings_.most_short_calls) {
    RefuseLocally("too many calls without an answer", std::move(callback));
    return;
  }
  if (!Admit(&writes_, callback)) {
    return;
  }
  ++traffic_.transactions;
  ++short_calls_;
  Call(StoreCall::kTransaction, adapter_->EncodeTransaction(transaction), timeout,
       [this, callback = std::move(callback)](const StoreReply& reply) {
         --short_calls_;
         callback(reply);
       });
}

void StoreClient::Read(const store::ReadQuery& query, Duration timeout, Callback callback) {
  RunRead({}, query, timeout, std::move(callback));
}

void StoreClient::Run(const store::FollowerCall& call, Callback callback) {
  if (const auto* read = std::get_if<store::ReadQuery>(&call.query)) {
    CancelFollowerCall(read->table);
    RunRead(read->table, *read, call.timeout, std::move(callback));
    return;
  }
  const auto& watch = std::get<store::WatchQuery>(call.query);
  CancelFollowerCall(watch.table);
  RunWatch(watch, call.timeout, std::move(callback));
}

void StoreClient::RunRead(const std::string& table, const store::ReadQuery& query, Duration timeout,
                          Callback callback) {
  if (short_calls_ >= settings_.most_short_calls) {
    RefuseLocally("too many calls without an answer", std::move(callback));
    return;
  }
  if (!Admit(&reads_, callback)) {
    return;
  }
  ++traffic_.reads;
  ++short_calls_;
  const interfaces::ExchangeId exchange =
      Call(StoreCall::kRead, adapter_->EncodeRead(query), timeout,
           [this, table, callback = std::move(callback)](const StoreReply& reply) {
             --short_calls_;
             if (!table.empty()) {
               follower_calls_.erase(table);
             }
             callback(reply);
           });
  if (!table.empty()) {
    follower_calls_[table] = {exchange, true};
  }
}

void StoreClient::RunWatch(const store::WatchQuery& query, Duration timeout, Callback callback) {
  if (!Admit(&reads_, callback)) {
    return;
  }
  ++traffic_.watches;
  const std::string table = query.table;
  const interfaces::ExchangeId exchange =
      Call(StoreCall::kWatch, adapter_->EncodeWatch(query), timeout,
           [this, table, callback = std::move(callback)](const StoreReply& reply) {
             follower_calls_.erase(table);
             callback(reply);
           });
  follower_calls_[table] = {exchange, false};
}

void StoreClient::CancelFollowerCall(const std::string& table) {
  const auto call = follower_calls_.find(table);
  if (call == follower_calls_.end()) {
    return;
  }
  exchanger_->Cancel(call->second.exchange);
  if (call->second.is_short) {
    --short_calls_;
  }
  follower_calls_.erase(call);
}

interfaces::ExchangeId StoreClient::Call(StoreCall call, const interfaces::HttpRequest& request,
                                         Duration timeout, Callback callback) {
  return exchanger_->Exchange(settings_.address, request, timeout,
                              [this, alive = std::weak_ptr(alive_), call,
                               callback = std::move(callback)](const ExchangeResult& result) {
                                if (!alive.expired()) {
                                  callback(ReplyOf(call, result));
                                }
                              });
}

StoreReply StoreClient::ReplyOf(StoreCall call, const ExchangeResult& result) {
  if (result.status == ExchangeStatus::kAnswered) {
    return adapter_->DecodeStoreReply(call, result.response);
  }
  StoreReply reply;
  if (result.status == ExchangeStatus::kRefused) {
    reply.status = StoreStatus::kRefused;
    reply.detail = "connection refused";
    return reply;
  }
  ++traffic_.unanswered;
  reply.status = StoreStatus::kUnknown;
  reply.detail = "no answer";
  return reply;
}

bool StoreClient::Admit(CallAllowance* allowance, const Callback& callback) {
  if (allowance->TryTake(resources_->clock.Now())) {
    return true;
  }
  RefuseLocally("this node's share of calls is used up", callback);
  return false;
}

void StoreClient::RefuseLocally(const char* reason, Callback callback) {
  ++traffic_.refused_locally;
  StoreReply reply;
  reply.status = StoreStatus::kRefused;
  reply.detail = reason;
  boost::asio::post(resources_->loop, [alive = std::weak_ptr(alive_), reply = std::move(reply),
                                       callback = std::move(callback)] {
    if (!alive.expired()) {
      callback(reply);
    }
  });
}

}  // namespace ladderstream::gateway
