// Requests that crash the back ends that begin to run them, and the quarantine of the guilty.
//
// Each request has two fingerprints (RequestIdentity), and each of these a record of its own: of
// its content, whoever asks, and of the variant that back ends are sent. The variant counts where
// the content was cleared by others who ask for the same; until then its record says nothing more
// than that of the content, and is neither told nor stored.
//
// A back end that crashes takes down everything that it works on, so one crash accuses every
// request that was lost with it, most of them innocent. Only the guilty one is there each time: a
// request that was lost with kCrashesToHold back ends, and was never served in between, is held: it
// is refused without an attempt. Whatever serves it once clears it.
//
// What a lost connection means is decided by OpenLosses alone; until then the loss counts as a
// crash that may be: a request whose crashes and open losses reach kCrashesToHold is not sent
// either, for as long as that lasts.
//
// Every node keeps such a table and tells the others what it learns (Shared, Merge). Merging takes
// the later state of each loss, so nodes agree in whatever order they hear. A loss that this node
// cannot settle is verified by others, a few at first, chosen by rendezvous hashing.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/quarantine/fingerprint.h"
#include "core/quarantine/open_losses.h"
#include "core/quarantine/recently_served.h"
#include "core/quarantine/request_identity.h"
#include "core/quarantine/suspect_record.h"
#include "wire/time.h"

namespace ladderstream::quarantine {

/// What becomes of a request.
struct Judgement {
  /// Which fingerprint of the request this is about: the more suspect one.
  Fingerprint request;
  /// Crashes that count, and losses that may turn out to be crashes.
  size_t crashes = 0;
  size_t open = 0;
  /// It is refused until then; in the past when it is not held.
  Time held_until = absl::InfinitePast();
  /// Its hold has lapsed, and one node may try it again once the store has recorded that.
  bool needs_trial = false;
  /// The back ends that it crashed, for the log.
  std::string backends;

  bool Held(Time now) const { return now < held_until; }
  /// Not held, and one crash more might hold it if its open losses are crashes.
  bool Unsettled() const { return crashes < kCrashesToHold && crashes + open >= kCrashesToHold; }
};

/// Something to log: what was concluded of a request, and from what.
struct SuspectNote {
  Fingerprint request;
  /// "suspected", "accused", "held", "cleared" or what a loss turned out to be.
  std::string event;
  std::string detail;
};

/// A record to write to the store or, when it has no losses, to remove from it.
using StoredChange = SuspectRecord;

class CrashSuspects {
 public:
  /// Requests that are known at most; the least suspect, and of these the oldest, are dropped
  /// first.
  static constexpr size_t kMostRecords = 2048;
  /// Of which Shared tells at most.
  static constexpr size_t kMostShared = 64;
  static constexpr Duration kBetweenProbes = OpenLosses::kBetweenProbes;

  /// Must outlive this; see OpenLosses::SetContacts.
  void SetContacts(Contacts* contacts) { open_.SetContacts(contacts); }
  /// The nodes among which those that verify a loss are chosen; this one is `self`.
  void SetMembers(uint64_t self, std::vector<uint64_t> members);

  /// The request was at work at `backend`, which left it without an answer. `at` is when the
  /// connection ended or, if the back end fell silent, when the request was sent: answers that
  /// other attempts get later show that it is innocent, however late its loss is noticed.
  void OnLost(const RequestIdentity& request, const std::string& backend, Time at, Time now);
  void OnLost(const RequestIdentity& request, const std::string& backend, Time now) {
    OnLost(request, backend, now, now);
  }
  /// The attempt was given up before much was to be heard of it. Nothing is probed for it.
  void OnGivenUp(const RequestIdentity& request, const std::string& backend, Time at, Time now);
  /// A back end has answered the request.
  void OnServed(const RequestIdentity& request, Time now);

  /// The request waits for its open losses to be settled.
  void OnWanted(const RequestIdentity& request, Time now);

  // Evidence on back ends.
  /// A connection to `backend` was refused, got no answer, or came up.
  void OnRefused(const std::string& backend, Time now);
  void OnUnanswered(const std::string& backend, Time now);
  void OnConnected(const std::string& backend, Time now);
  /// It answered a request, so it lives.
  void OnAnswered(const std::string& backend, Time now);
  /// Its registration went, though it had not said that it leaves.
  void OnRegistrationGone(const std::string& backend, Time now);
  void OnRegistered(const std::string& backend) { open_.OnRegistered(backend); }
  /// A later process is registered under its name or at its address, though it had not said that it
  /// leaves.
  void OnReplaced(const std::string& backend, Time now);
  void OnPathCut(const std::string& backend, Time now);
  void OnPathRestored(const std::string& backend, Time now);
  /// Back ends with losses of late, for OnReplaced.
  std::vector<std::string> LostBackends(Time now) const;

  /// An operator lets it go, with all variants; as if it had been served.
  void Release(const Fingerprint& request, Time now);

  /// Back ends to connect to now; report OnRefused, OnUnanswered or OnConnected.
  std::vector<std::string> TakeProbes(Time now) { return open_.TakeProbes(now); }
  Time NextProbe() const { return open_.NextProbe(); }

  /// Whether any back end was lost of late.
  bool HasLosses() const { return !records_.empty(); }
  /// Whether nothing is known against any request.
  bool empty() const;
  Judgement Judge(const RequestIdentity& request, Time now) const;
  /// Requests that are held now.
  size_t CountHeld(Time now) const;
  /// Whether it is open what became of the back end.
  bool IsOpen(const std::string& backend) const { return open_.Contains(backend); }
  /// Losses that are not settled.
  size_t CountOpen(Time now) const;
  /// Losses of requests that this node learned the meaning of since its start, by state.
  const std::array<uint64_t, static_cast<size_t>(LossState::kCount)>& settled() const {
    return settled_;
  }

  /// A held request is asked for. Gives whether this node may send it now or once the store has
  /// granted the trial that is asked for (TakeTrialsWanted).
  bool AskForTrial(const Fingerprint& request, Time now);
  /// Whether a trial was granted and not used, or may yet be granted.
  bool AwaitsTrial(const Fingerprint& request, Time now) const;
  /// Whether the request may be sent as the trial that was granted, which is used up by that.
  bool UseTrial(const Fingerprint& request, Time now);
  /// The trial did not leave this node.
  void ReturnTrial(const Fingerprint& request);
  /// Records of which the store should count one trial more, under the condition that nobody else
  /// has.
  std::vector<SuspectRecord> TakeTrialsWanted(Time now);
  void OnTrialGranted(const Fingerprint& request, Time now);
  /// Another one is under way, or the store does not answer.
  void OnTrialDenied(const Fingerprint& request);

  /// What other nodes should know: the most suspect first.
  std::vector<SuspectRecord> Shared(Time now) const;
  /// What another node knows, or the store. Gives whether anything of it was new.
  bool Merge(const std::vector<SuspectRecord>& heard, Time now);
  /// Whether something was learned here, and not from another node, since the last call.
  bool TakeNews() { return std::exchange(news_, false); }
  std::vector<SuspectNote> TakeNotes() { return std::exchange(notes_, {}); }
  /// What this node concluded and must outlive all processes, since the last call.
  std::vector<StoredChange> TakeStoredChanges(Time now);
  /// Records of losses that this node saw and that must outlive it, too few for one of
  /// TakeStoredChanges: the most suspect first. Transient ones are left out.
  std::vector<SuspectRecord> Witnessed(Time now) const;
  /// These were witnessed by an earlier process of this node.
  void Inherit(const std::vector<SuspectRecord>& records);

  void Forget(Time now);

 private:
  /// Ages of losses and answers are told in messages, whose transit adds to them.
  static constexpr Duration kTransitSlack = absl::Milliseconds(200);
  /// Nodes that verify a loss at once.
  static constexpr size_t kFirstVerifiers = 3;

  struct Known {
    SuspectRecord record;
    /// The record of a variant: of which content.
    std::optional<Fingerprint> content;
    /// Other nodes know of it.
    bool is_shared = false;
    /// This node concluded something that the store has to know.
    bool is_unsaved = false;
    /// As far as this node knows.
    bool is_stored = false;
    /// This node, or an earlier process of it, saw one of the losses.
    bool is_witnessed = false;
    /// When it was last refused, so that it is not forgotten while it is asked for.
    Time asked_at = absl::InfinitePast();
    /// When the others were last told that this node has served it.
    Time served_told_at = absl::InfinitePast();
    /// This node may try it until then, unless it has.
    Time trial_until = absl::InfinitePast();
    bool trial_used = false;
    bool trial_wanted = false;
    /// The store was asked for a trial and has not decided.
    bool trial_asked = false;
  };

  Known& FindOrAdd(const Fingerprint& request, Time now);
  void AddLost(const Fingerprint& request, const std::string& backend, Time at, Time now);
  void AddGivenUp(const Fingerprint& request, const std::string& backend, Time at, Time now);
  /// Notes of which content the request is a variant.
  void LinkVariant(const RequestIdentity& request);
  /// Whether the record of a variant says nothing more than that of its content.
  bool IsCovered(const Known& known, Time now) const;
  Judgement JudgeOne(const Fingerprint& request, Time now) const;
  void ClearOne(const Fingerprint& request, Time now);
  /// Adds a loss that this node saw. False when the request was served since.
  bool AddWitnessed(const Fingerprint& request, const Loss& loss, Time now);
  /// Moves the loss on to its state. False when that was known already.
  bool Advance(const Fingerprint& request, const Loss& loss, Time now);
  void NoteAdvance(const SuspectRecord& record, const Loss& loss, Time now);
  /// Gives whether it had been shared and something of it does not count any more.
  bool Clear(Known* known, Time served_at);
  /// Another node does not know yet that this one has served the request: it is told.
  void ClearServedHere(const SuspectRecord& heard, Time now);
  /// Whether the record has two losses that were crashes or are not settled soon, and no row of its
  /// own.
  bool MustOutliveNode(const SuspectRecord& record, Time now) const;
  /// Takes over what was concluded of open losses.
  void ApplyVerdicts(Time now);
  /// Hears of one loss. Gives whether it was new.
  bool MergeLoss(const Fingerprint& request, const Loss& loss, Time now);
  /// How many nodes come before this one in verifying the loss of a back end.
  size_t RankFor(const std::string& backend) const;
  void MakeRoom(Time now);
  void AddNote(const Fingerprint& request, std::string event, std::string detail);
  static Time ForgottenAt(const Known& known);

  absl::btree_map<Fingerprint, Known> records_;
  /// Those with a loss in state kEnded.
  absl::flat_hash_set<std::string> ended_;
  OpenLosses open_;
  RecentlyServed served_;
  uint64_t self_ = 0;
  std::vector<uint64_t> members_;
  std::vector<SuspectNote> notes_;
  std::vector<StoredChange> removed_;
  bool news_ = false;
  std::array<uint64_t, static_cast<size_t>(LossState::kCount)> settled_ = {};
};

}  // namespace ladderstream::quarantine
