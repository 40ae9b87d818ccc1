// The one list of the events that a node logs: their names, parts, severities, sentences, kinds and
// fields. docs/OPERATIONS.md has it as a table; a unit test compares the two.
//
//   2026-01-31T10:00:00.123456Z info data: Answered. event=request_answered up=12.345678
//   node=rennes-1 run=5f3c request=9c41d07be2a35f68 route=scripts status=200 ...
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "logging/log.h"

namespace ladderstream::observability {

enum class EventName : uint8_t {
  // Of one request, in the order in which they may happen.
  kRequestReceived,
  kRequestSent,
  kRequestSentAgain,
  kRequestHedged,
  kAttemptAnswered,
  kAttemptFailed,
  kAttemptCancelled,
  kAttemptLeftBehind,
  kRequestAnswered,
  kRequestRefused,
  kOutcomeUnknown,
  kCallerGone,
  kStepsLeftOut,
  kRequestUnread,
  kNotUnderstood,
  kCarriedRequestFailed,
  // Of what the node believes.
  kConfigurationApplied,
  kConfigurationRejected,
  kConfigurationUnconfirmed,
  kConfigurationConfirmed,
  kMapApplied,
  kBackendsChanged,
  kEvacuationsChanged,
  kBackendBelief,
  kCoordinatorBelief,
  kStoreLost,
  kStoreRegained,
  kWatchesRestarted,
  kStoreCalls,
  kPeerLost,
  kPeerRegained,
  // Of the process.
  kNodeStarted,
  kNodeReady,
  kNodeNotReady,
  kNodeStopping,
  kNodeStopped,
  kNodeResumed,
  kSettingsReloaded,
  kSettingsRejected,
  kLinesOmitted,
  kCount,
};

constexpr size_t kEventCount = static_cast<size_t>(EventName::kCount);

/// What lines are about; each kind has a budget of its own (see EventBudget). From the one that is
/// left out last to the one that is left out first.
enum class EventKind : uint8_t {
  kFailedRequest,
  kProcess,
  kStore,
  kConfiguration,
  kOwnership,
  kBackend,
  kPeer,
  kUnread,
  kAnsweredRequest,
  kCount,
};

constexpr size_t kEventKindCount = static_cast<size_t>(EventKind::kCount);

/// Every key of a line's tail, but `event`, `up`, `node` and `run`, which stand in every line.
enum class FieldName : uint8_t {
  // Of requests.
  kRequest,
  kRoute,
  kService,
  kKey,
  kHost,
  kTarget,
  kDeadlineMs,
  kConfiguration,
  kMap,
  kMapAgeMs,
  kAttempt,
  kBackend,
  kAddress,
  kSendCause,
  kWaitMs,
  kAnswerMs,
  kSent,
  kFailure,
  kStatus,
  kNotExecuted,
  kRestMs,
  kLeaving,
  kLimitPerS,
  kCode,
  kReason,
  kAttempts,
  kQueueMs,
  kBackendMs,
  kElapsedMs,
  // Of beliefs and the process.
  kAgeMs,
  kWatchMs,
  kCause,
  kBelief,
  kDetail,
  kRoutes,
  kServices,
  kRanges,
  kMoving,
  kReady,
  kDraining,
  kPeer,
  kZone,
  kVersion,
  kRunning,
  kKind,
  kCount,
  kEnd,
};

constexpr size_t kFieldCount = static_cast<size_t>(FieldName::kEnd);

/// A set of field names.
class FieldSet {
 public:
  constexpr FieldSet() = default;
  constexpr FieldSet(std::initializer_list<FieldName> names) {
    for (const FieldName name : names) {
      bits_ |= Bit(name);
    }
  }

  constexpr bool Has(FieldName name) const { return (bits_ & Bit(name)) != 0; }

 private:
  static constexpr uint64_t Bit(FieldName name) {
    return uint64_t{1} << static_cast<unsigned>(name);
  }

  uint64_t bits_ = 0;
};
static_assert(kFieldCount <= 64, "FieldSet keeps one bit a name");

struct EventDescription {
  std::string_view name;
  Part part = Part::kMain;
  Severity severity = Severity::kInfo;
  /// Lines of requests that were not answered by a back end are kFailedRequest, whatever this is.
  EventKind kind = EventKind::kProcess;
  std::string_view sentence;
  /// The fields that a line of this event may have.
  FieldSet fields;
};

const EventDescription& Describe(EventName event);

/// Gives the key of a field, such as "retry_after_ms".
std::string_view NameOf(FieldName field);

/// Gives the name of a kind, such as "failed_request".
std::string_view NameOf(EventKind kind);

}  // namespace ladderstream::observability
