#include "operator_service/blocking_store.h"

#include <optional>
#include <string_view>
#include <utility>

#include "gateway/http/event_loop.h"
#include "gateway/http/http_client.h"
#include "logging/log.h"
#include "wire/boot_clock.h"

namespace ladderstream::operator_service {
namespace {

using gateway::CallOutcome;
using gateway::CallResult;
using interfaces::HttpRequest;
using interfaces::StoreCall;
using store::StoreReply;
using store::StoreStatus;

StoreReply NoAnswer(const CallResult& result) {
  StoreReply reply;
  // Without a connection, nothing has been sent.
  const bool not_sent =
      result.outcome == CallOutcome::kRefused || result.outcome == CallOutcome::kNotConnected;
  reply.status = not_sent ? StoreStatus::kRefused : StoreStatus::kUnknown;
  reply.detail = result.detail;
  return reply;
}

gateway::HttpClientSettings SettingsWith(Duration timeout) {
  gateway::HttpClientSettings settings;
  settings.connect_timeout = timeout;
  return settings;
}

void LogUnreadable(const Endpoint& from, std::string_view fault) {
  Log(Part::kOperator, Severity::kWarning, "An answer of the store is not taken.",
      {{"store", FormatEndpoint(from)}, {"reason", std::string(fault)}});
}

}  // namespace

/// The nodes' HTTP client on an event loop that runs while a call waits.
class BlockingStore::Client {
 public:
  explicit Client(Duration timeout)
      : timeout_(timeout), client_(loop_, clock_, SettingsWith(timeout), LogUnreadable) {}

  CallResult Call(const Endpoint& address, const HttpRequest& request) {
    std::optional<CallResult> result;
    client_.Call(address, request, {timeout_},
                 [&result](CallResult got) { result = std::move(got); });
    loop_.restart();
    // The client's own time-outs bound this.
    while (!result.has_value() && loop_.run_one() > 0) {
    }
    return std::move(result).value_or(CallResult());
  }

 private:
  const Duration timeout_;
  const BootTimeSource clock_;
  gateway::EventLoop loop_{1};
  gateway::HttpClient client_;
};

BlockingStore::BlockingStore(interfaces::PlatformAdapterPtr adapter, Endpoint address,
                             Duration timeout)
    : adapter_(std::move(adapter)), address_(std::move(address)), timeout_(timeout) {
  gateway::ToTcpEndpoint(address_);
}

BlockingStore::~BlockingStore() = default;

StoreReply BlockingStore::Execute(const store::Transaction& transaction) {
  return Call(StoreCall::kTransaction, adapter_->EncodeTransaction(transaction));
}

StoreReply BlockingStore::Read(const store::ReadQuery& query) {
  return Call(StoreCall::kRead, adapter_->EncodeRead(query));
}

StoreReply BlockingStore::ReadAll(const std::string& table, const std::string& partition) {
  store::ReadQuery query;
  query.table = table;
  query.partition = partition;
  StoreReply all = Read(query);
  bool more = all.more;
  while (all.status == StoreStatus::kDone && more && !all.rows.empty()) {
    query.from_key = all.rows.back().key.key + '\0';
    StoreReply page = Read(query);
    if (page.status != StoreStatus::kDone) {
      return page;
    }
    all.rows.insert(all.rows.end(), page.rows.begin(), page.rows.end());
    more = page.more && !page.rows.empty();
  }
  return all;
}

StoreReply BlockingStore::Call(StoreCall call, const HttpRequest& request) {
  ClientPtr client = TakeClient();
  const CallResult result = client->Call(address_, request);
  GiveBack(std::move(client));
  return result.outcome == CallOutcome::kAnswered
             ? adapter_->DecodeStoreReply(call, result.response)
             : NoAnswer(result);
}

BlockingStore::ClientPtr BlockingStore::TakeClient() {
  {
    const absl::MutexLock lock(&mutex_);
    if (!idle_.empty()) {
      ClientPtr client = std::move(idle_.back());
      idle_.pop_back();
      return client;
    }
  }
  return std::make_unique<Client>(timeout_);
}

void BlockingStore::GiveBack(ClientPtr client) {
  const absl::MutexLock lock(&mutex_);
  idle_.push_back(std::move(client));
}

}  // namespace ladderstream::operator_service
