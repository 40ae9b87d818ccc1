#include "node/http_client_exchanger.h"

#include <utility>

namespace ladderstream::node {
namespace {

interfaces::ExchangeStatus StatusOf(gateway::CallOutcome outcome) {
  switch (outcome) {
    case gateway::CallOutcome::kAnswered:
      return interfaces::ExchangeStatus::kAnswered;
    case gateway::CallOutcome::kRefused:
    case gateway::CallOutcome::kNotConnected:
      return interfaces::ExchangeStatus::kRefused;
    case gateway::CallOutcome::kNoAnswer:
      break;
  }
  return interfaces::ExchangeStatus::kNoAnswer;
}

}  // namespace

interfaces::ExchangeId HttpClientExchanger::Exchange(const Endpoint& to,
                                                     const interfaces::HttpRequest& request,
                                                     Duration timeout, Callback callback) {
  return client_->Call(to, request, {timeout},
                       [callback = std::move(callback)](gateway::CallResult result) {
                         callback({StatusOf(result.outcome), std::move(result.response)});
                       });
}

}  // namespace ladderstream::node
