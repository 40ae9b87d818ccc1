// What the data path tells the logs and metrics. Calls come from the event loop and must be cheap;
// the texts are valid only during a call.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/forwarding/dispatcher.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::gateway {

/// One request, answered.
struct AnsweredRequest {
  std::string_view request_id;
  /// Empty when no route was found.
  std::string_view route;
  /// Of the back end whose answer was passed on; empty for an answer of this node.
  std::string_view service;
  std::string_view backend;
  int status = 0;
  /// kOk when a back end's answer was passed on.
  ResultCode code = ResultCode::kOk;
  /// What decided an answer of this node.
  std::string_view reason;
  /// From the first byte of the request to the answer's start.
  Duration total;
  /// From the send to the whole answer of the attempt that was passed on; zero when none was.
  Duration at_backend;
  /// Back ends it was sent to.
  uint32_t attempts = 0;
};

class DataPathObserver {
 public:
  virtual ~DataPathObserver() = default;

  virtual void OnRequestStarted(std::string_view /*request_id*/, std::string_view /*route*/) {}
  /// Follows OnRequestStarted unless the request was refused at once: what it is decided by.
  virtual void OnRequestDescribed(const forwarding::IncomingRequest& /*request*/) {}
  /// An attempt begins. OnAttemptSent follows once its first byte has left.
  virtual void OnAttemptDecided(std::string_view /*request_id*/,
                                const forwarding::SendDecision& /*send*/) {}
  virtual void OnAttemptSent(std::string_view /*request_id*/, std::string_view /*backend*/) {}
  /// The attempt brought a whole answer.
  virtual void OnAttemptAnswered(std::string_view /*request_id*/, std::string_view /*backend*/,
                                 const forwarding::AttemptAnswer& /*answer*/,
                                 Duration /*duration*/) {}
  virtual void OnAttemptFailed(std::string_view /*request_id*/, std::string_view /*backend*/,
                               forwarding::AttemptFailure /*failure*/, std::string_view /*cause*/) {
  }
  /// The attempt was dropped; nothing more is told of it.
  virtual void OnAttemptCancelled(std::string_view /*request_id*/, std::string_view /*backend*/) {}
  virtual void OnAnswered(const AnsweredRequest& /*request*/) {}
  /// The caller closed its connection before it had its answer.
  virtual void OnCallerGone(std::string_view /*request_id*/, Duration /*after*/) {}
  /// A request was refused before it was whole or because it was no request.
  virtual void OnMalformed(ResultCode /*code*/, std::string_view /*detail*/) {}
  /// A header of a back end's answer, given as "name: value", was understood in part or not at all.
  virtual void OnNotUnderstood(std::string_view /*header*/, std::string_view /*backend*/) {}
  /// A request that this node carried for another one was not answered.
  virtual void OnCarriedRequestFailed(std::string_view /*request_id*/, std::string_view /*backend*/,
                                      std::string_view /*outcome*/, std::string_view /*cause*/,
                                      Duration /*elapsed*/) {}
  virtual void OnBackendConnected(std::string_view /*backend*/) {}
  /// A connection to a back end was closed; `cause` is one of a fixed list.
  virtual void OnConnectionRetired(std::string_view /*backend*/, std::string_view /*cause*/) {}
};

}  // namespace ladderstream::gateway
