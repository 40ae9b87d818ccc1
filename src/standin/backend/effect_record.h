// What a back end really ran, for the judge: kept in memory and, if asked, appended to a file that
// outlives a SIGKILL. Each event is one JSON line, written with one write(2).
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wire/ownership.h"

namespace ladderstream::standin {

/// Which request an event is about.
struct RequestIdentity {
  std::string service;
  std::string key;
  std::string request;
  /// Unique per attempt; drawn by the node.
  std::string request_id;
  /// The caller's own.
  std::string caller_id;
  /// As it came; empty for services routed by load.
  std::string token;
};

/// Thread-safe.
class EffectRecord {
 public:
  /// An empty `file` keeps the record in memory alone. Throws Error(kInvalidSetting) when the file
  /// can't be opened.
  EffectRecord(const std::string& backend, uint64_t incarnation, const std::string& file);
  ~EffectRecord();
  EffectRecord(const EffectRecord&) = delete;
  EffectRecord& operator=(const EffectRecord&) = delete;

  /// `kind` is "started", "finished" (the request took effect) or "cancelled" (it was started, and
  /// ended without effect). Gives the event's sequence number, from 1.
  uint64_t Add(const std::string& kind, absl::Time at, const RequestIdentity& request);

  /// The back end took over a grant set.
  void AddGrants(absl::Time at, const GrantSet& grants);
  /// The back end's lease now ends at `lease_end`.
  void AddLease(absl::Time at, const GrantToken& version, absl::Time lease_end);

  /// The events after the first `from`: {"backend":...,"events":[...]}.
  nlohmann::json Read(size_t from) const;

 private:
  uint64_t Append(nlohmann::json event, absl::Time at);

  const std::string backend_;
  const std::string incarnation_;
  int file_ = -1;
  mutable absl::Mutex mutex_;
  std::vector<nlohmann::json> events_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::standin
