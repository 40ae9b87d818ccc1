// What is known of a request that was at work at back ends when they were lost.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/quarantine/fingerprint.h"
#include "wire/time.h"

namespace ladderstream::quarantine {

/// What a lost connection meant for its back end. Evidence only moves a loss to a later state, so
/// that nodes agree in whatever order they hear of it.
enum class LossState : uint8_t {
  /// The attempt was given up early, and nothing was heard of the back end since. Counts only if it
  /// turns out that the back end ended.
  kWatched,
  /// Not settled yet.
  kOpen,
  /// The back end took a connection afterwards: only the answer or the connection was lost.
  kAlive,
  /// The back end ended: it refuses connections, or its registration went and it is silent.
  kEnded,
  /// It answered a request after it had been taken as ended: it was frozen or cut off.
  kReturned,
  /// A later process has taken its name or its address, so it ended whatever was seen before.
  kReplaced,
  kCount,
};

/// A back end that was lost while the request was at work there.
struct Loss {
  /// Its incarnation.
  std::string backend;
  Time at;
  LossState state = LossState::kEnded;
  bool operator==(const Loss&) const = default;
};

/// Whether the back end ended under the request.
bool IsCrash(const Loss& loss);

/// Crashes of different back ends that hold a request. With two, an innocent one is held whose two
/// tries met two back ends that went down by turns.
constexpr size_t kCrashesToHold = 3;
/// Lost with so many back ends, a request is not tried again at another one at once.
constexpr size_t kCrashesToStopRetries = 2;
/// From so many crashes on, a record is kept in the store: a request that nobody holds yet needs
/// only one crash more after all nodes have started anew.
constexpr size_t kCrashesToStore = 2;
/// Back ends that are kept of one request; each crash beyond kCrashesToHold doubles its hold.
constexpr size_t kMostLosses = 16;
/// Times that a held request may be tried again, by one node at a time; afterwards it stays held
/// until it is forgotten or released.
constexpr uint32_t kMostTrials = 3;

/// What is known of one request.
struct SuspectRecord {
  Fingerprint request;
  /// Different back ends, in the order of their loss.
  std::vector<Loss> losses;
  /// When it was last served; what was lost before does not count.
  Time served_at = absl::InfinitePast();
  /// How often it was tried again after its hold had lapsed, and when last.
  uint32_t trials = 0;
  Time tried_at = absl::InfinitePast();

  size_t CountCrashes() const;
  /// Losses that may turn out to be crashes.
  size_t CountOpen(Time now) const;
  /// It is held until then; infinite past when it is not.
  Time HeldUntil() const;
  /// Afterwards it is as if nothing had been known of it.
  Time ForgottenAt() const;
  /// The back ends that ended under it, separated by blanks.
  std::string CrashedBackends() const;
  bool operator==(const SuspectRecord&) const = default;
};

/// Of which nothing is known.
SuspectRecord EmptyRecord(const Fingerprint& request);
/// Whether `one` is worth more room than `other`.
bool IsMoreSuspect(const SuspectRecord& one, const SuspectRecord& other, Time now);

/// Returns a name such as "ended".
std::string_view NameOf(LossState state);

}  // namespace ladderstream::quarantine
