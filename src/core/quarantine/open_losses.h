// Back ends that were lost with requests at work, until it is settled what that means.
//
// The one place that decides it, from all evidence: connections that this node opens for the
// purpose or for requests, answers, and the registrations. A loss stays open for as long as the
// evidence also fits a cut path; it is never dropped because something else would explain it.
//
//   accepts a connection, or answers          -> it lives
//   refuses two connections, 200 ms apart, and control connections come up around it -> it ended
//   its registration went, then it refuses or is silent, and others are reached      -> it ended
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/quarantine/contacts.h"
#include "core/quarantine/suspect_record.h"

namespace ladderstream::quarantine {

/// A request that was at work when its back end was lost.
struct LostRequest {
  Fingerprint request;
  Time at;
};

/// What was concluded of a lost back end.
struct Verdict {
  std::string backend;
  LossState state = LossState::kOpen;
  std::vector<LostRequest> requests;
  /// This node saw the loss, or is one of the first that verify it for others.
  bool is_own = false;
};

class OpenLosses {
 public:
  static constexpr Duration kBetweenProbes = absl::Milliseconds(200);

  /// Must outlive this. Without it a refusal needs no control connection.
  void SetContacts(Contacts* contacts) { contacts_ = contacts; }

  /// `probe_at`: when this node begins to find out. `is_own`: see Verdict.
  void Add(const std::string& backend, const LostRequest& lost, Time now, Time probe_at,
           bool is_own);
  bool Contains(const std::string& backend) const { return entries_.contains(backend); }
  /// Since when this node has been finding out what became of the back end; infinite when it is
  /// not.
  Time OpenSince(const std::string& backend) const;
  /// The request is out of suspicion, everywhere or for its loss at this back end.
  void Drop(const Fingerprint& request);
  void Drop(const Fingerprint& request, const std::string& backend);
  /// The end of the back end is proven in another way, or by another node.
  void Conclude(const std::string& backend, LossState state);

  // Evidence.
  void OnRefused(const std::string& backend, Time now);
  void OnUnanswered(const std::string& backend, Time now);
  /// A connection to the back end came up, or it answered.
  void OnReached(const std::string& backend, Time now);
  void OnRegistrationGone(const std::string& backend, Time now);
  void OnRegistered(const std::string& backend);
  /// The path to the back end is reported as cut: others have to find out.
  void OnPathCut(const std::string& backend, Time now);
  /// The path to the back end is back.
  void OnPathRestored(const std::string& backend, Time now);

  /// A request waits for what became of the back end.
  void OnWanted(const std::string& backend, Time now);

  /// Back ends to connect to now, among them controls. Report the results.
  std::vector<std::string> TakeProbes(Time now);
  Time NextProbe() const;

  std::vector<Verdict> TakeVerdicts() { return std::exchange(verdicts_, {}); }
  /// Losses of this node that it could not settle at once, so that others have to know of them.
  std::vector<Verdict> TakeUnsettled() { return std::exchange(unsettled_, {}); }

 private:
  struct Entry {
    std::vector<LostRequest> requests;
    /// Since when this node knows of a loss.
    Time since;
    bool is_own = false;
    /// Other nodes were told.
    bool told = false;
    std::optional<Time> refused_at;
    /// Refused again after kBetweenProbes.
    std::optional<Time> refused_again_at;
    std::optional<Time> gone_at;
    Time probed_at = absl::InfinitePast();
    Time next_probe;
    Duration interval = kBetweenProbes;
  };

  static void ProbeSoon(Entry* entry, Time now);
  static void DropFrom(Entry* entry, const Fingerprint& request);
  void EraseEmpty();
  /// Concludes that the back end ended, if the evidence suffices.
  void ConcludeIfEnded(const std::string& backend, const Entry& entry, Time now);
  bool ReachesAround(const std::string& backend, Time since) const;
  /// Whether nothing shows yet that this node reaches others.
  bool NeedsControl(const std::string& backend, const Entry& entry) const;
  void Tell(const std::string& backend, Entry* entry);
  /// A connection elsewhere came up that may be the control that was missing.
  void OnControlReached(Time now);

  Contacts* contacts_ = nullptr;
  absl::btree_map<std::string, Entry> entries_;
  /// Back ends whose registration went of late, since when.
  absl::flat_hash_map<std::string, Time> gone_;
  std::vector<Verdict> verdicts_;
  std::vector<Verdict> unsettled_;
};

}  // namespace ladderstream::quarantine
