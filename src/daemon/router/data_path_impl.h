// The data path of one node: takes callers' requests to the back end that may serve them, and runs
// the attempts at those back ends whose home this node is.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "daemon/http/caller_handler.h"
#include "interfaces/control_plane.h"
#include "interfaces/data_path.h"
#include "interfaces/peer_channel.h"
#include "wire/time.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace ladderstream {

struct DataPathSettings {
  /// How long one request waits in all for newer routing after a refusal that proves its routing
  /// stale, or while its key has no owner.
  Duration routing_wait = absl::Milliseconds(250);
  /// Attempts that one request may make for stale routing alone.
  uint32_t max_routing_attempts = 6;
  /// The longest deadline a caller may ask for.
  Duration max_deadline = absl::Seconds(60);
  /// To connect to a back end.
  Duration connect_timeout = absl::Milliseconds(250);
  /// An unused connection to a back end is closed after this.
  Duration idle_connection_timeout = absl::Seconds(10);
  /// A back end's answer may not be longer.
  uint32_t max_answer_bytes = 8 << 20;
  /// After this node became a back end's home, how long it opens at most half of the connections
  /// that the back end accepts, because the earlier home may still hold some.
  Duration handover_period = absl::Seconds(5);
  /// Retries that a service may make before any first try has paid for one.
  uint32_t min_retry_tokens = 10;
  /// When more than this share of a service's back ends look bad, the signal itself is distrusted.
  double panic_threshold = 0.5;
  /// Threads for requests that may be hedged; each takes one or two while it runs.
  uint32_t max_hedge_threads = 128;
  uint64_t seed = 1;
};

/// Throws Error(kInconsistentSettings) naming each fault.
void CheckDataPathSettings(const DataPathSettings& settings);

class DataPathImpl : public DataPath, public CallerHandler {
 public:
  /// `time` must outlive the object. `registry` may be null: then nothing is counted.
  DataPathImpl(ControlPlanePtr control_plane, PeerChannelPtr peers,
               const DataPathSettings& settings, const TimeSource& time, const NodeDescriptor& self,
               std::shared_ptr<prometheus::Registry> registry = nullptr);
  ~DataPathImpl() override;

  CallerAnswer Handle(const CallerRequest& request,
                      const routing::CancellationPtr& cancellation) override;

  ForwardResponse RunAttempt(const ForwardRequest& request) override;
  void CancelAttempt(const std::string& request_id) override;
  authority::LoadObserved TakeLoad() override;
  void Drain(Duration timeout) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream
