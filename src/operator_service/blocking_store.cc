#include "operator_service/blocking_store.h"

#include <absl/time/time.h>
#include <httplib.h>

#include <utility>

namespace ladderstream::operator_service {
namespace {

using interfaces::HttpRequest;
using interfaces::HttpResponse;
using interfaces::StoreCall;
using store::StoreReply;
using store::StoreStatus;

/// Before the connection stands, nothing has been sent.
bool SurelyNotSent(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

StoreReply NoAnswer(httplib::Error error) {
  StoreReply reply;
  reply.status = SurelyNotSent(error) ? StoreStatus::kRefused : StoreStatus::kUnknown;
  reply.detail = httplib::to_string(error);
  return reply;
}

httplib::Request ToLibrary(const HttpRequest& request) {
  httplib::Request converted;
  converted.method = request.method;
  converted.path = request.target;
  converted.body = request.body;
  for (const auto& [name, value] : request.headers) {
    converted.set_header(name, value);
  }
  return converted;
}

HttpResponse FromLibrary(const httplib::Response& response) {
  HttpResponse converted;
  converted.status = response.status;
  converted.body = response.body;
  converted.headers.assign(response.headers.begin(), response.headers.end());
  return converted;
}

}  // namespace

BlockingStore::BlockingStore(interfaces::PlatformAdapterPtr adapter, Endpoint address,
                             Duration timeout)
    : adapter_(std::move(adapter)), address_(std::move(address)), timeout_(timeout) {}

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
  const httplib::Result result = client->send(ToLibrary(request));
  if (!result) {
    return NoAnswer(result.error());
  }
  GiveBack(std::move(client));
  return adapter_->DecodeStoreReply(call, FromLibrary(*result));
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
  auto client = std::make_unique<httplib::Client>(address_.host, address_.port);
  const auto timeout = absl::ToChronoMicroseconds(timeout_);
  client->set_connection_timeout(timeout);
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  return client;
}

void BlockingStore::GiveBack(ClientPtr client) {
  const absl::MutexLock lock(&mutex_);
  idle_.push_back(std::move(client));
}

}  // namespace ladderstream::operator_service
