// Callers: calls of several classes at given rates, with deadlines and retries.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "standin/fleet/event_loop.h"
#include "standin/fleet/history.h"
#include "standin/fleet/http_client.h"
#include "standin/fleet/node_pool.h"

namespace ladderstream::fleet {

/// One kind of call.
struct RequestClass {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  bool repeatable = true;
  /// The calls carry a key.
  bool keyed = false;
  double per_second = 50;
  Duration deadline = absl::Seconds(1);
  uint32_t retries = 2;
  /// A new connection for each call.
  bool fresh_connections = false;
  /// Requests of one that may not be repeated carry a body, every other one in chunks.
  size_t body_bytes = 0;
  /// The share of callers who go away after `patience`, long before the deadline.
  double impatient = 0;
  Duration patience = absl::Milliseconds(100);
  /// All calls ask for this and are alike; empty: each asks for something else.
  std::string item = {};
  /// Of such calls.
  ownership::Key item_key = 0;
  /// How many addresses the calls come from by turns, each call over a new connection; 0: the
  /// system's choice.
  uint32_t addresses = 0;
};

/// Which keys are asked for: a share of the calls goes to a few neighbouring keys.
struct KeyLoad {
  double hot_share = 0.3;
  ownership::Key hot_first = 20000;
  uint32_t hot_keys = 200;
};

/// Fills in how an attempt ended.
void RecordEnd(const CallResult& result, Attempt* attempt);

class Callers {
 public:
  Callers(EventLoop* loop, std::mt19937_64* random, NodePool* nodes, History* history);

  /// Starts calls of this class.
  void Start(const RequestClass& request_class);
  /// Of the calls of a started class that come from now on.
  RequestClass& request_class(const std::string& name) { return classes_.at(name); }
  /// Makes no more calls of a started class.
  void Stop(const std::string& name) { classes_.erase(name); }
  void SetKeyLoad(const KeyLoad& load) { key_load_ = load; }
  /// The longest time that a connection rests before it is used again.
  void SetLongestRest(Duration rest) { longest_rest_ = rest; }
  /// Makes no more calls; those under way go on.
  void Stop() { stopped_ = true; }
  size_t pending() const { return pending_; }
  /// Calls served since the start.
  uint64_t served() const { return served_; }

  /// Makes one call now, of a class that need not be started.
  void CallOnce(const RequestClass& request_class);

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void ScheduleNext(const std::string& name);
  void Begin(const RequestClass& request_class);
  void Try(const CallPtr& call);
  interfaces::HttpRequest MakeRequest(const CallPtr& call, Duration left);
  void OnResult(const CallPtr& call, Attempt* attempt, const HttpClientConnectionPtr& connection,
                const CallResult& result);
  void MayAbandon(const CallPtr& call, Attempt* attempt, const HttpClientConnectionPtr& connection);
  void End(const CallPtr& call, bool served);
  void RetryOrEnd(const CallPtr& call, const Attempt& attempt, const CallResult& result);
  HttpClientConnectionPtr TakeConnection(const CallPtr& call);
  ownership::Key DrawKey();
  std::string DrawId();

  EventLoop* loop_;
  std::mt19937_64* random_;
  NodePool* nodes_;
  History* history_;
  KeyLoad key_load_;
  Duration longest_rest_ = absl::Seconds(12);
  std::map<std::string, RequestClass> classes_;
  /// Idle connections with the number of their node; the one used last is at the back.
  std::deque<std::pair<size_t, HttpClientConnectionPtr>> idle_;
  bool stopped_ = false;
  size_t pending_ = 0;
  uint64_t served_ = 0;
};

}  // namespace ladderstream::fleet
