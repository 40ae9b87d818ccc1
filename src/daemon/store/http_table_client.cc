#include "daemon/store/http_table_client.h"

#include <httplib.h>

#include <exception>
#include <utility>

#include "daemon/store/table_json.h"
#include "logging/log.h"

namespace ladderstream::store {
namespace {

using authority::StoreStatus;

constexpr int kStatusOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

/// Before the connection stands, nothing has been sent.
bool SurelyNotSent(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

TableResult WithStatus(StoreStatus status) {
  TableResult result;
  result.status = status;
  return result;
}

/// Answers other than 200. The service refuses a transaction whole (4xx); its own failures (5xx)
/// prove nothing.
TableResult Refusal(int status) {
  const bool refused = status >= kFirstClientError && status < kFirstServerError;
  return WithStatus(refused ? StoreStatus::kRefused : StoreStatus::kUnknown);
}

}  // namespace

HttpTableClient::HttpTableClient(const TableClientSettings& settings)
    : settings_(settings), limiter_(settings.max_requests_per_second) {}

HttpTableClient::~HttpTableClient() = default;

TableResult HttpTableClient::Run(const authority::StoreTransaction& transaction) {
  if (!limiter_.TryTake()) {
    return WithStatus(StoreStatus::kRefused);
  }
  std::string body;
  try {
    body = FormatTransaction(transaction);
  } catch (const std::exception& error) {
    Log(Part::kStore, Severity::kError, "A transaction could not be written as JSON.",
        {{"error", error.what()}});
    return WithStatus(StoreStatus::kRefused);
  }
  try {
    return Send(transaction, body);
  } catch (const std::exception& error) {
    Log(Part::kStore, Severity::kWarning, "The table service's answer is malformed.",
        {{"error", error.what()}});
    return WithStatus(StoreStatus::kUnknown);
  }
}

TableResult HttpTableClient::Send(const authority::StoreTransaction& transaction,
                                  const std::string& body) {
  ClientPtr client = TakeClient();
  const httplib::Result result = client->Post("/v1/transaction", body, "application/json");
  if (!result) {
    return WithStatus(SurelyNotSent(result.error()) ? StoreStatus::kRefused
                                                    : StoreStatus::kUnknown);
  }
  GiveBack(std::move(client));
  if (result->status != kStatusOk) {
    return Refusal(result->status);
  }
  return ParseTransactionAnswer(transaction, result->body);
}

HttpTableClient::ClientPtr HttpTableClient::TakeClient() {
  {
    const absl::MutexLock lock(&mutex_);
    if (!idle_.empty()) {
      ClientPtr client = std::move(idle_.back());
      idle_.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(settings_.endpoint.host, settings_.endpoint.port);
  const auto timeout = absl::ToChronoMicroseconds(settings_.timeout);
  client->set_connection_timeout(timeout);
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

void HttpTableClient::GiveBack(ClientPtr client) {
  const absl::MutexLock lock(&mutex_);
  idle_.push_back(std::move(client));
}

}  // namespace ladderstream::store
