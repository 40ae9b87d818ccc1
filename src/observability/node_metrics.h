// The metrics of a node, as Prometheus text. docs/OPERATIONS.md says what each of them means.
//
// Counters and histograms are counted as things happen; gauges are given by the caller at each
// scrape. Serves nothing by itself: the node's event loop answers the scrape with Text(). Used from
// one thread.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "observability/event_budget.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::observability {

/// How a request ended for its caller.
enum class RequestOutcome : uint8_t { kAnswered, kRefused, kUnknown, kCallerGone, kCount };

/// Gives "answered", "refused", "unknown" or "caller_gone".
std::string_view NameOf(RequestOutcome outcome);

/// What a request's time was spent on.
enum class RequestStage : uint8_t {
  /// From its arrival to its first attempt.
  kQueue,
  /// From an attempt's send to its back end's whole answer.
  kBackend,
  kCount,
};

/// What attempts are made for.
enum class AttemptPurpose : uint8_t { kFirst, kAgain, kHedge, kCount };

/// How attempts end.
enum class AttemptResult : uint8_t {
  kAnswered,
  /// Answered, and the back end says that it did not run the request.
  kNotExecuted,
  kConnectRefused,
  kConnectTimeout,
  kNotSent,
  kLost,
  kTimedOut,
  /// The peer did not take it, or does not reach the back end either.
  kPeerDeclined,
  /// The peer was lost with it.
  kPeerLost,
  kCancelled,
  /// Under way when its request ended.
  kLeftBehind,
  kCount,
};

/// Gives the name of a result, such as "connect_refused".
std::string_view NameOf(AttemptResult result);

/// Messages to other nodes of one kind, and their bytes.
struct PeerMessageCount {
  std::string message;
  /// "own", "other" or "unknown".
  std::string zone;
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

/// What is read at each scrape.
struct NodeState {
  uint64_t configuration_version = 0;
  uint64_t map_epoch = 0;
  uint64_t map_sequence = 0;
  /// Since the map was last known to be the newest.
  Duration map_age;
  Duration configuration_age;
  /// How long the node's own watch of the configuration has been waiting.
  Duration configuration_watch_age;
  /// How old the last change of the registrations may have been when this node heard of it.
  Duration backend_news_age;
  /// How late a request may reach a back end that leaves, by the settings.
  Duration leave_bound;
  bool holds_lease = false;
  bool store_troubled = false;
  bool ready = false;
  /// By state: "ready", "draining", "evacuated" or "cold"; the last two besides the first ones.
  std::map<std::string, uint64_t> backends;
  uint64_t requests_in_flight = 0;
  uint64_t requests_queued = 0;
  double retry_budget_left = 0;
  /// Of the service that is limited most; 1 when none is.
  double least_admission_share = 1;
  /// Requests that are refused since they crashed back ends.
  uint64_t requests_held = 0;
  /// Losses of requests at back ends: those that are not settled, and by what they turned out to
  /// be.
  uint64_t losses_open = 0;
  std::map<std::string, uint64_t> losses_settled;
  /// Back ends that have named a limit, and what they take together, in requests a second.
  uint64_t backends_limited = 0;
  double limits_per_second = 0;
  /// Since the start: permits that this node issued, and those that it was asked for in vain.
  uint64_t permits_granted = 0;
  uint64_t permits_denied = 0;
  /// How far the event loop is behind.
  Duration loop_lag;
  uint64_t caller_connections = 0;
  uint64_t backend_connections = 0;
  /// Requests of other nodes that this one carries to back ends.
  uint64_t requests_carried = 0;
  /// Services, and services in one zone, that this node does not reach.
  uint64_t paths_cut = 0;
  /// Back ends whose orders go through other nodes.
  uint64_t orders_relayed = 0;
  uint64_t peers = 0;
  /// Since the start; each message and zone once.
  std::vector<PeerMessageCount> peer_messages;
  /// Since the start, by kind: "read", "watch", "transaction", and "unanswered" of them; a fixed
  /// set of names.
  std::map<std::string, uint64_t> store_calls;
};

class NodeMetrics {
 public:
  /// Routes and beliefs beyond this many are counted as "other".
  static constexpr size_t kMostLabelValues = 64;
  static constexpr std::string_view kContentType = "text/plain; version=0.0.4; charset=utf-8";

  NodeMetrics();

  /// The routes in force: only the first kMostLabelValues of them have series of their own, and
  /// those of routes that are gone end.
  void SetRoutes(const std::vector<std::string>& routes);

  void CountRequest(std::string_view route, RequestOutcome outcome, ResultCode code,
                    Duration elapsed);
  void CountStage(RequestStage stage, Duration elapsed);
  void CountAttempt(AttemptPurpose purpose);
  void CountAttemptEnd(AttemptResult result);
  /// A connection to a back end was opened ("opened") or closed, by its cause.
  void CountConnection(std::string_view event);
  /// A call to the store or to a back end that the node made for itself, such as "commit" or
  /// "grant", and how it ended.
  void CountCall(std::string_view call, std::string_view result);
  /// Something said from outside was understood in part or not at all.
  void CountNotUnderstood(std::string_view kind);
  /// A change of a belief, by the name that its line has.
  void CountBelief(std::string_view belief);

  /// All metrics as of now.
  std::string Text(const NodeState& state, const EventBudget& budget);

 private:
  /// The series of one route.
  struct RouteSeries {
    prometheus::Histogram* answered = nullptr;
    prometheus::Histogram* failed = nullptr;
    std::map<std::pair<RequestOutcome, ResultCode>, prometheus::Counter*> requests;
  };

  /// The counters of one label, of which at most kMostLabelValues have series of their own.
  class BoundedCounters {
   public:
    BoundedCounters(prometheus::Family<prometheus::Counter>* family, std::string label)
        : family_(family), label_(std::move(label)) {}

    void Increment(std::string_view value);

   private:
    prometheus::Family<prometheus::Counter>* const family_;
    const std::string label_;
    std::map<std::string, prometheus::Counter*, std::less<>> counters_;
  };

  RouteSeries& SeriesOf(std::string_view route);
  void RemoveSeries(const RouteSeries& series);
  void SetGauges(const NodeState& state);
  void SetBackends(const std::map<std::string, uint64_t>& backends);
  void SetPeerMessages(const std::vector<PeerMessageCount>& counts);
  void SetOmissions(const EventBudget& budget);
  void SetGauge(const std::string& name, const std::string& help, double value);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Family<prometheus::Gauge>& backends_;
  prometheus::Family<prometheus::Counter>& omitted_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Counter>& peer_messages_;
  prometheus::Family<prometheus::Counter>& permits_;
  prometheus::Family<prometheus::Counter>& losses_;
  prometheus::Family<prometheus::Counter>& peer_bytes_;
  std::vector<prometheus::Histogram*> stages_;
  std::vector<prometheus::Counter*> attempts_;
  std::vector<prometheus::Counter*> attempt_ends_;
  std::map<std::string, prometheus::Gauge*> gauges_;
  std::map<std::string, RouteSeries, std::less<>> routes_;
  RouteSeries other_route_;
  BoundedCounters not_understood_;
  BoundedCounters beliefs_;
  BoundedCounters connections_;
  std::map<std::pair<std::string, std::string>, prometheus::Counter*> call_counts_;
};

}  // namespace ladderstream::observability
