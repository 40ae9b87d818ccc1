// Connects to back ends that lost requests, to tell a crash from a lost answer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/http/event_loop.h"
#include "wire/identifiers.h"

namespace ladderstream::gateway {

/// A probe is a connection without a request, closed as soon as it is up. One at a time for each
/// back end. Of the event loop.
class BackendProbes {
 public:
  /// Whether the connection was refused; not told when neither came in time.
  using Callback = std::function<void(const std::string& backend, bool refused)>;

  /// `source_host`: see BindSource.
  BackendProbes(EventLoop& loop, std::string source_host, Callback on_result);
  /// Ends all probes without a word.
  ~BackendProbes();

  void Start(const std::string& backend, const Endpoint& address);

 private:
  struct Probe;

  void End(const std::string& backend, const ErrorCode& error);

  EventLoop& loop_;
  const std::string source_host_;
  Callback on_result_;
  std::map<std::string, std::shared_ptr<Probe>> probes_;
};

}  // namespace ladderstream::gateway
