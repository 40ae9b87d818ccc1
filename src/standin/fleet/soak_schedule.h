// Which faults strike a soak when: drawn by a seed, or read from a file.
//
// Pure: no I/O and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/time.h"

namespace ladderstream::fleet {

/// What a fault does. Most last for a while; the others happen at a moment.
enum class FaultKind : uint8_t {
  // Of node processes.
  kNodeKilled,
  kCoordinatorKilled,
  kNodePaused,
  kNodeStopped,
  kAllNodesKilled,
  kNodeReloads,
  // Of the connections between nodes.
  kLinksDelayed,
  kLinksCut,
  kLinksSilent,
  kLinksOneWay,
  // Of the metadata store.
  kStoreUnavailable,
  kStoreSilent,
  kStoreSilentForOne,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreWritesLate,
  kStoreForgets,
  kStoreConnectionsSilent,
  // Of back ends.
  kBackendCrashes,
  kBackendFreezes,
  kBackendDrains,
  kBackendCutFromStore,
  kBackendRests,
  kBackendLimits,
  kAddressReused,
  kOrdersLate,
  kOrdersUnanswered,
  kAnswersLost,
  kAnswersDamaged,
  // Of what is asked for.
  kConfigurationChanges,
  kOtherKeysHot,
  // Drawn by DrawChanges only.
  /// A route that ConfigurationProber asks for changes.
  kRouteChanges,
  /// The store turns some nodes away and serves the others.
  kStoreRefusesSome,
  /// Watches hear nothing while changes are made, then the store forgets its history.
  kStoreCompacts,
  /// The connections of all nodes to the store and between nodes fall silent.
  kConnectionsSilent,
  // Drawn by DrawPathCuts only.
  /// Nodes lose the path to all back ends; callers, the store and the other nodes reach them.
  kNodesCutOff,
  /// The same for the coordinator and half of the others.
  kCoordinatorCutOff,
  /// The same for all nodes of a zone.
  kZoneCutOff,
  // Drawn by DrawCrashes only.
  /// A caller repeats a request that ends whatever back end runs it.
  kRequestsEndBackends,
  // Drawn by DrawSharedCrashes only.
  /// The same, by several callers with addresses of their own, and at various rates.
  kCallersEndBackends,
  // Drawn by DrawConfigurations only.
  /// The configuration changes in any of its parts; see ConfigurationDraws.
  kDrawnChange,
  /// The store holds a row that is no configuration, and soon the next good one.
  kConfigurationDamaged,
  /// Answers of back ends to requests and orders, in a part of the cases, do not end.
  kAnswersEndless,
  // Drawn by DrawRegistrations only.
  /// A back end crashes and another one starts at its address; later, a heartbeat from before the
  /// crash reaches the store.
  kLateRegistration,
  /// The row of another writer shows the address of a back end that serves.
  kForeignRegistration,
  kCount,
};

struct SoakFault {
  FaultKind kind = FaultKind::kNodeKilled;
  /// From the start of the load.
  Duration at;
  /// Without meaning for what happens at a moment.
  Duration lasts;
  /// Which node, back end or key; taken modulo how many there are.
  uint64_t target = 0;
  bool operator==(const SoakFault&) const = default;
};

/// Faults that all end within `length`, by their start; several at once.
std::vector<SoakFault> DrawSchedule(uint64_t seed, Duration length);

/// As DrawSchedule, but most faults come in series that overlap: each node is stopped in turn, many
/// back ends leave one after the other, settings are reloaded and configurations change in quick
/// succession, watches of the store fall silent.
std::vector<SoakFault> DrawSeries(uint64_t seed, Duration length);

/// As DrawSeries, but most are back ends that turn all requests away and ask for rest, beside
/// others that leave or are cut off from the store and nodes that are killed.
std::vector<SoakFault> DrawRests(uint64_t seed, Duration length);

/// As DrawSeries, but most are back ends that name a limit on the requests that they take, several
/// at once, beside others that leave or ask for rest and coordinators and nodes that are killed.
std::vector<SoakFault> DrawLimits(uint64_t seed, Duration length);

/// As DrawSeries, but most are changes of routes, beside nodes that are killed, stopped and told to
/// reload, and faults of the store.
std::vector<SoakFault> DrawChanges(uint64_t seed, Duration length);

/// As DrawSeries, but most are nodes that lose the path to all back ends for seconds, beside others
/// that are killed or stopped, back ends that leave or crash and keys that turn hot.
std::vector<SoakFault> DrawPathCuts(uint64_t seed, Duration length);

/// As DrawSeries, but most are callers that repeat requests which end whatever runs them, beside
/// nodes that are killed, all at once too, paused or lose the path to back ends, outages of the
/// store, and back ends that crash or leave.
std::vector<SoakFault> DrawCrashes(uint64_t seed, Duration length);

/// As DrawCrashes, with requests that several callers repeat.
std::vector<SoakFault> DrawSharedCrashes(uint64_t seed, Duration length);

/// As DrawSeries, but most are changes of any part of the configuration, 30 ms to 2.5 s apart,
/// beside nodes that are paused, stopped and killed, all at once too, links and paths that are cut,
/// and a store that is slow, silent, turns some away or loses answers.
std::vector<SoakFault> DrawConfigurations(uint64_t seed, Duration length);

/// As DrawSeries, but most are registrations of back ends that do not run, at the addresses of
/// others, beside nodes that are stopped and killed, all at once too, back ends that crash, are cut
/// off from the store or replaced by those of another service, and outages of the store.
std::vector<SoakFault> DrawRegistrations(uint64_t seed, Duration length);

/// One line a fault: its kind, milliseconds from the start, how many it lasts, its target.
std::string FormatSchedule(const std::vector<SoakFault>& schedule);
/// Throws Error(kMalformedMessage) that names the line.
std::vector<SoakFault> ParseSchedule(const std::string& text);

std::string_view NameOf(FaultKind kind);

}  // namespace ladderstream::fleet
