// Calls that the node itself makes: to the metadata store and to the back ends' own interface.
// Keep-alive, any number of calls at a time, one call at a time on a connection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/http/byte_budget.h"
#include "gateway/http/event_loop.h"
#include "interfaces/http_exchange.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::gateway {

struct HttpClientSettings {
  Duration connect_timeout = absl::Milliseconds(400);
  /// An idle connection is closed at this age when the other side told none.
  Duration idle_timeout = absl::Seconds(4);
  Duration idle_margin = absl::Milliseconds(300);
  /// Longer than two intervals of keep-alive probes; see BoundSilence.
  Duration user_timeout = absl::Milliseconds(2500);
  /// The longest body of an answer, in bytes.
  size_t max_answer_bytes = 16U << 20U;
  /// Bytes of bodies of answers that are being read at one time; see ByteBudget.
  size_t max_held_bytes = 32U << 20U;
  /// See BindSource.
  std::string source_host;
};

enum class CallOutcome {
  kAnswered,
  /// Nobody listens there; nothing was sent.
  kRefused,
  /// No connection came up; nothing was sent.
  kNotConnected,
  /// The call may have been done, or may be done later.
  kNoAnswer,
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kNoAnswer;
  /// When answered.
  interfaces::HttpResponse response;
  /// When not: a short reason for logs.
  std::string detail;
};

struct CallTiming {
  /// Counts from the moment the connection is up.
  Duration answer_timeout;
  /// Nothing is sent later, as what was decided may not hold any more.
  Time send_by = absl::InfiniteFuture();
  /// Bounds the client's own connect time-out further.
  Duration connect_timeout = absl::InfiniteDuration();
  /// No other call shares the connection. For calls whose answers name no call: a surplus copy of
  /// another call's answer would pass for the answer to this one.
  bool own_connection = false;
  /// The longest body of its answer, in bytes; bounds the client's own bound further.
  size_t max_answer_bytes = SIZE_MAX;
  /// Of the connection, if it is new: bounds the client's `user_timeout` further. The kernel keeps
  /// to it, also while this process stands still.
  Duration user_timeout = absl::InfiniteDuration();
};

using CallCallback = std::function<void(CallResult)>;
/// Hears of an answer that was given up for its bytes; `fault`: what was wanted and what was found.
using UnreadableAnswerCallback = std::function<void(const Endpoint& from, std::string_view fault)>;
using HttpCallId = uint64_t;

class HttpClientConnection;

class HttpClient {
 public:
  /// Both must outlive the client.
  HttpClient(EventLoop& loop, const TimeSource& clock, const HttpClientSettings& settings,
             UnreadableAnswerCallback on_unreadable = nullptr);
  /// Ends all calls without calling back.
  ~HttpClient();

  /// `callback` is called once from the event loop, never from in here. A connection on which an
  /// answer is late is closed.
  HttpCallId Call(const Endpoint& to, const interfaces::HttpRequest& request,
                  const CallTiming& timing, CallCallback callback);
  /// Ends the call without calling back; it may have been done all the same.
  void Cancel(HttpCallId call);

 private:
  friend class HttpClientConnection;
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  ConnectionPtr TakeIdle(const Endpoint& to);
  /// Closes the idle connections to `peer`.
  void CloseIdle(const Endpoint& peer);
  void OnIdle(const ConnectionPtr& connection);
  void OnClosed(const ConnectionPtr& connection);

  EventLoop& loop_;
  const TimeSource& clock_;
  const HttpClientSettings settings_;
  const UnreadableAnswerCallback on_unreadable_;
  const ByteBudgetPtr budget_;
  HttpCallId last_call_ = 0;
  std::unordered_map<HttpCallId, ConnectionPtr> calls_;
  std::map<Endpoint, std::vector<ConnectionPtr>> idle_;
};

}  // namespace ladderstream::gateway
