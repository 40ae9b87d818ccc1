// Connects to back ends, to tell a crash from a lost answer and a cut path from an ill back end.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/http/event_loop.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::gateway {

/// A probe is a connection without a request, closed as soon as it is up. One at a time for each
/// back end. Of the event loop.
class BackendProbes {
 public:
  enum class Result { kConnected, kRefused, kTimedOut };
  using Callback = std::function<void(const std::string& backend, Result result)>;

  /// `timeout`: neither accepted nor refused by then, the back end is not reached. `source_host`:
  /// see BindSource.
  BackendProbes(EventLoop& loop, Duration timeout, std::string source_host, Callback on_result);
  /// Ends all probes without a word.
  ~BackendProbes();

  void Start(const std::string& backend, const Endpoint& address);

 private:
  struct Probe;

  void End(const std::string& backend, const ErrorCode& error);

  EventLoop& loop_;
  const Duration timeout_;
  const std::string source_host_;
  Callback on_result_;
  std::map<std::string, std::shared_ptr<Probe>> probes_;
};

}  // namespace ladderstream::gateway
