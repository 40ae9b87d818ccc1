// Runs requests in a back end's slots, under its grants and lease, and records what ran.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <random>
#include <string>

#include "standin/backend/effect_record.h"
#include "standin/backend/grant_holder.h"
#include "wire/time.h"

namespace ladderstream::standin {

enum class ServiceTimeDistribution { kFixed, kUniform, kExponential };

struct RunnerSettings {
  uint32_t range_count = 256;
  uint32_t slots = 2;
  /// Requests that may wait for a slot; more are shed.
  uint32_t queue_limit = 8;
  Duration service_time = absl::Milliseconds(2);
  ServiceTimeDistribution distribution = ServiceTimeDistribution::kFixed;
  /// Work takes this much longer at first, falling to 1 over `cold_duration`.
  double cold_factor = 1;
  Duration cold_duration = absl::ZeroDuration();
  uint64_t seed = 1;
  /// Whether a request needs a live lease and the token of the key's grant.
  bool needs_grants = true;
};

/// One request as it came.
struct RunRequest {
  RequestIdentity identity;
  Time deadline = absl::InfiniteFuture();
};

/// What became of it: a refusal reason of docs/design/001, or the number of its effect.
struct RunResult {
  /// Empty when the request ran.
  std::string not_run;
  uint64_t sequence = 0;
};

/// How busy the back end is.
struct LoadSample {
  Time at;
  uint32_t running = 0;
  uint32_t queued = 0;
};

/// Thread-safe.
class RequestRunner {
 public:
  RequestRunner(const RunnerSettings& settings, EffectRecord* record);

  /// Blocks until the request has run or is refused.
  RunResult Run(const RunRequest& request);

  /// Drops the request if it has not begun. Gives whether it did.
  bool Cancel(const std::string& request_id);

  /// Takes over a lease answer whose request was sent at `sent`; gives true when it brought a new
  /// grant set.
  bool TakeLease(const LeaseResponse& response, Time sent);

  /// Refuses all new requests as draining from now on.
  void RefuseNew();
  void SetServiceTime(Duration mean);
  /// Called, without locks, whenever a newer grant version counts as applied.
  void OnApplied(std::function<void()> listener) { on_applied_ = std::move(listener); }

  GrantSet held() const;
  GrantToken applied_version() const;
  Time lease_end() const;
  LoadSample Load(Duration age) const;
  /// When the newest request arrived.
  Time last_arrival() const;

 private:
  struct Waiter {
    std::string request_id;
    bool cancelled = false;
  };

  std::string RefusalOnArrival(const RunRequest& request, Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::optional<GrantKey> FindGrant(const RequestIdentity& identity) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  RunResult RunAdmitted(const RunRequest& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string WaitForSlot(const RunRequest& request, const std::optional<GrantKey>& grant)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  RunResult RunInSlot(const RunRequest& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool MayTakeEffect(Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Duration DrawServiceTime(Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void NoteLoad(Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const RunnerSettings settings_;
  EffectRecord* const record_;
  const Time started_at_;
  std::function<void()> on_applied_;

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  GrantHolder grants_ ABSL_GUARDED_BY(mutex_);
  Duration service_time_ ABSL_GUARDED_BY(mutex_);
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  std::list<Waiter> waiters_ ABSL_GUARDED_BY(mutex_);
  uint32_t running_ ABSL_GUARDED_BY(mutex_) = 0;
  bool refuse_new_ ABSL_GUARDED_BY(mutex_) = false;
  Time last_arrival_ ABSL_GUARDED_BY(mutex_);
  std::deque<LoadSample> load_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::standin
