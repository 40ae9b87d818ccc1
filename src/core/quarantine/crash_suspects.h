// Requests that crash the back ends that begin to run them, and the quarantine of the guilty.
//
// A back end that crashes takes down everything that it works on, so one crash accuses every
// request that was lost with it, most of them innocent. Only the guilty one is there each time: a
// request that was lost with kCrashesToHold back ends, and was never served in between, is held: it
// is refused without an attempt. Whatever serves it once clears it.
//
// A lost connection alone is no crash. It counts when the back end also refuses connections twice,
// kBetweenProbes apart and without accepting one in between; the owner of this class makes these
// probes. A full back end that resets requests accepts connections again meanwhile.
//
// Every node keeps such a table and tells the others what it learns (Shared, Merge). Merging is a
// union by request and back end, so nodes agree in whatever order they hear.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

#include "core/quarantine/fingerprint.h"
#include "wire/time.h"

namespace ladderstream::quarantine {

/// Crashes of different back ends that hold a request. With two, an innocent one is held whose two
/// tries met two back ends that went down by turns.
constexpr size_t kCrashesToHold = 3;
/// Lost with so many back ends, a request is not tried again at another one at once.
constexpr size_t kCrashesToStopRetries = 2;

/// Back ends that are kept of one request; each beyond kCrashesToHold doubles its hold.
constexpr size_t kMostCrashes = kCrashesToHold + 8;

/// A back end that went down while the request was at work there.
struct Crash {
  /// Its incarnation.
  std::string backend;
  Time at;
  bool operator==(const Crash&) const = default;
};

/// What is known of one request.
struct SuspectRecord {
  Fingerprint request;
  /// Different back ends, in the order of their loss.
  std::vector<Crash> crashes;
  /// When it was last served; what crashed before does not count.
  Time served_at = absl::InfinitePast();
};

/// What becomes of a request.
struct Judgement {
  /// Crashes that count.
  size_t crashes = 0;
  /// It is refused until then; in the past when it is not held.
  Time held_until = absl::InfinitePast();
  /// The back ends that it crashed, for the log.
  std::string backends;

  bool Held(Time now) const { return now < held_until; }
};

/// Something to log: what was concluded of a request, and from what.
struct SuspectNote {
  Fingerprint request;
  /// "accused", "held" or "cleared".
  std::string event;
  std::string detail;
};

class CrashSuspects {
 public:
  /// Requests that are known at most; the least accused, and of these the oldest, are dropped
  /// first.
  static constexpr size_t kMostRecords = 1024;
  /// Of which Shared tells at most.
  static constexpr size_t kMostShared = 64;
  static constexpr Duration kBetweenProbes = absl::Milliseconds(200);

  /// The request was at work at `backend`, whose connection ended without an answer.
  void OnLost(const Fingerprint& request, const std::string& backend, Time now);
  /// A connection to `backend` was refused, or came up.
  void OnRefused(const std::string& backend, Time now);
  void OnConnected(const std::string& backend) { lost_.erase(backend); }
  /// A back end has answered the request.
  void OnServed(const Fingerprint& request, Time now);

  /// An operator lets it go; as if it had been served.
  void Release(const Fingerprint& request, Time now) { OnServed(request, now); }

  /// Back ends to connect to now, for OnRefused or OnConnected.
  std::vector<std::string> TakeProbes(Time now);
  Time NextProbe() const;

  /// Whether nothing is known of any request, so that no fingerprint is needed.
  bool empty() const { return records_.empty(); }
  Judgement Judge(const Fingerprint& request, Time now) const;
  /// Requests that are held now.
  size_t CountHeld(Time now) const;

  /// What other nodes should know: the most accused first.
  std::vector<SuspectRecord> Shared(Time now) const;
  /// What another node knows. Gives whether anything of it was new.
  bool Merge(const std::vector<SuspectRecord>& heard, Time now);
  /// Whether something was learned here, and not from another node, since the last call.
  bool TakeNews() { return std::exchange(news_, false); }
  std::vector<SuspectNote> TakeNotes() { return std::exchange(notes_, {}); }

  void Forget(Time now);

 private:
  /// Requests lost with one back end of which it is not known yet whether it has crashed.
  struct Loss {
    std::vector<Fingerprint> requests;
    Time at;
    Time next_probe;
    std::optional<Time> refused_at;
  };

  /// False when it was known already.
  bool Accuse(const Fingerprint& request, const Crash& crash, Time now);
  bool Clear(SuspectRecord* record, Time served_at);
  void MakeRoom(Time now);

  absl::flat_hash_map<Fingerprint, SuspectRecord> records_;
  absl::flat_hash_map<std::string, Loss> lost_;
  std::vector<SuspectNote> notes_;
  bool news_ = false;
};

}  // namespace ladderstream::quarantine
