// HttpExchanger that runs the store client's calls on the event loop's HTTP client.
#pragma once

#include "gateway/http/http_client.h"
#include "interfaces/http_exchanger.h"

namespace ladderstream::node {

class HttpClientExchanger : public interfaces::HttpExchanger {
 public:
  /// `client` must outlive the exchanger.
  explicit HttpClientExchanger(gateway::HttpClient* client) : client_(client) {}

  interfaces::ExchangeId Exchange(const Endpoint& to, const interfaces::HttpRequest& request,
                                  Duration timeout, Callback callback) override;
  void Cancel(interfaces::ExchangeId exchange) override { client_->Cancel(exchange); }

 private:
  gateway::HttpClient* const client_;
};

}  // namespace ladderstream::node
