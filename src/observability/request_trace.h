// What happened to one request so far, kept until its end decides how much of it is logged.
//
// Typed and small, because most traces end as one line: text is only made of those that fail.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/forwarding/dispatcher.h"
#include "core/ownership/ownership_map.h"
#include "gateway/http/data_path_observer.h"
#include "observability/event_log.h"
#include "observability/node_metrics.h"
#include "wire/time.h"

namespace ladderstream::observability {

/// By the name of a route: the services that it may go to, joined by commas.
using RouteServices = std::map<std::string, std::string, std::less<>>;

/// What the node goes by at a moment, as far as it decides requests.
struct BeliefsInForce {
  uint64_t configuration_version = 0;
  /// Null before the first configuration.
  std::shared_ptr<const RouteServices> routes;
  ownership::MapVersion map;
  /// When the map was last known to be the newest.
  Time map_confirmed = absl::InfinitePast();

  /// Empty for a route that is not known.
  std::string ServicesOf(std::string_view route) const;
};

/// Gives "epoch.sequence"; empty for a map that never was.
std::string FormatMapVersion(const ownership::MapVersion& version);

/// Gives how a request ended that was answered with `code`.
RequestOutcome OutcomeOfAnswer(ResultCode code);

class RequestTrace {
 public:
  /// Of attempts beyond these only the last is kept.
  static constexpr size_t kMostAttempts = 8;

  /// One attempt as it goes.
  struct Attempt {
    std::string backend;
    AttemptPurpose purpose = AttemptPurpose::kFirst;
    Time decided;
    /// Null if the decision was not told.
    std::unique_ptr<const forwarding::SendDecision> send;
    /// When its first byte left.
    std::optional<Time> sent;
    std::optional<Time> ended;
    /// Of an attempt that ended.
    AttemptResult result = AttemptResult::kLeftBehind;
    int status = 0;
    /// What the back end asked for with its answer.
    std::optional<Duration> rest;
    bool leaving = false;
    /// Requests a second that it takes from all nodes together, if it named a limit.
    std::optional<double> limit_per_second;
    std::string cause;
  };

  RequestTrace(std::string_view route, const BeliefsInForce& beliefs, Time now)
      : route_(route), beliefs_(beliefs), started_(now) {}

  /// What the request says; told at most once.
  void Describe(const forwarding::IncomingRequest& request);

  /// Begins an attempt. `send` may be null.
  Attempt& AddAttempt(std::string_view backend, const forwarding::SendDecision* send, Time now);

  /// The attempt at this back end that has not ended; null if there is none.
  Attempt* FindRunning(std::string_view backend);

  /// Ends what still runs; gives how many attempts that were.
  uint32_t EndRunning(Time now);

  /// Every line but the last, in order of time.
  std::vector<PendingLine> Steps(std::string_view request_id) const;
  /// The last line.
  PendingLine Last(const gateway::AnsweredRequest& request, Time now) const;

  const std::string& route() const { return route_; }
  Time started() const { return started_; }

 private:
  std::string route_;
  BeliefsInForce beliefs_;
  Time started_;
  std::optional<ownership::Key> key_;
  std::string host_;
  std::string target_;
  Time deadline_ = absl::InfiniteFuture();
  std::vector<Attempt> attempts_;
  uint32_t attempts_left_out_ = 0;
};

/// The last line of a request that was not followed.
PendingLine FinalLine(const gateway::AnsweredRequest& request, Time now);

/// The last line of a request whose caller has gone.
PendingLine CallerGoneLine(std::string_view request_id, Duration after, Time now);

}  // namespace ladderstream::observability
