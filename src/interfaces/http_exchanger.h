// One HTTP exchange at a time per connection: a request out, a whole answer back.
#pragma once

#include <cstdint>
#include <functional>

#include "interfaces/http_exchange.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::interfaces {

enum class ExchangeStatus {
  /// A whole answer came.
  kAnswered,
  /// The connection was refused: nothing left this process.
  kRefused,
  /// No whole answer in time. The request may have arrived, or may still arrive.
  kNoAnswer,
};

struct ExchangeResult {
  ExchangeStatus status = ExchangeStatus::kNoAnswer;
  /// Only when kAnswered.
  HttpResponse response;
};

using ExchangeId = uint64_t;

/// Single-threaded. Keeps idle connections for reuse, never one whose last answer was missing,
/// broken or marked as the connection's last.
class HttpExchanger {
 public:
  using Callback = std::function<void(const ExchangeResult& result)>;

  virtual ~HttpExchanger() = default;

  /// Calls `callback` once, never from inside this call. `timeout` covers connecting too.
  virtual ExchangeId Exchange(const Endpoint& to, const HttpRequest& request, Duration timeout,
                              Callback callback) = 0;

  /// Closes the exchange's connection; its callback is not called. Harmless when it has ended.
  virtual void Cancel(ExchangeId exchange) = 0;
};

}  // namespace ladderstream::interfaces
