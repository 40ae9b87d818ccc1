#include "core/membership/message_codec.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <variant>

#include "core/allowance/permits.h"
#include "core/allowance/told_limits.h"
#include "core/quarantine/crash_suspects.h"
#include "wire/codec.h"
#include "wire/result_code.h"

namespace ladderstream::membership {
namespace {

/// Limit of the length of a list: one entry for each key.
constexpr size_t kMaxElements = ownership::kLastKey + 1;
constexpr size_t kMaxTextBytes = size_t{1} << 20;
constexpr size_t kMaxDepth = 16;
/// The configuration and the back ends.
constexpr size_t kTablesRelayed = 2;
/// Limit of values in all lists of a message together; each takes some 24 bytes once parsed.
constexpr size_t kMaxValues = 500'000;

/// Counts the values of a message without storing them and stops beyond the limit.
class ValueCounter : public msgpack::null_visitor {
 public:
  bool start_array(uint32_t count) { return Add(count); }
  bool start_map(uint32_t count) { return Add(size_t{2} * count); }
  void parse_error(size_t /*parsed*/, size_t /*error*/) { malformed_ = true; }
  void insufficient_bytes(size_t /*parsed*/, size_t /*error*/) { malformed_ = true; }

  bool valid() const { return !malformed_ && values_ <= kMaxValues; }

 private:
  bool Add(size_t count) {
    values_ += count;
    return values_ <= kMaxValues;
  }

  size_t values_ = 0;
  bool malformed_ = false;
};

/// Throws an error whose text is made of `parts` unless `condition` holds.
template <typename... Parts>
void Require(bool condition, const Parts&... parts) {
  if (!condition) {
    throw Error(ResultCode::kMalformedMessage, absl::StrCat(parts...));
  }
}

void Check(const LoadReport& load) {
  Require(load.keys.size() == load.counts.size(), "loads: ", load.keys.size(), " keys with ",
          load.counts.size(), " counts");
  const size_t backends = load.backends.size();
  Require(backends == load.answers.size() && backends == load.busy_us.size() &&
              backends == load.includes_wait.size(),
          "loads: ", backends, " back ends with ", load.answers.size(), " answers, ",
          load.busy_us.size(), " busy times and ", load.includes_wait.size(), " wait flags");
  Require(load.declined_by.size() == load.backoff_ms.size(), "loads: ", load.declined_by.size(),
          " declining back ends with ", load.backoff_ms.size(), " back-off times");
  Require(load.reported_share > 0 && load.reported_share <= 1,
          "loads: reported share must be above 0 and at most 1, got ", load.reported_share);
  for (const uint32_t key : load.keys) {
    Require(key <= ownership::kLastKey, "loads: key ", key, " exceeds the last key ",
            ownership::kLastKey);
  }
  for (const uint32_t key : load.rejected_keys) {
    Require(key <= ownership::kLastKey, "loads: rejected key ", key, " exceeds the last key ",
            ownership::kLastKey);
  }
  for (const float count : load.counts) {
    Require(std::isfinite(count) && count >= 0,
            "loads: request count must be finite and not negative, got ", count);
  }
}

void Check(const ownership::KeyRange& range) {
  Require(range.first <= range.last && range.last <= ownership::kLastKey, "map: invalid key range ",
          range.first, "-", range.last, ", the last key is ", ownership::kLastKey);
}

void Check(const ownership::ServiceOwnership& service) {
  ownership::Key next = 0;
  for (const ownership::Assignment& assignment : service.assignments) {
    Check(assignment.range);
    Require(assignment.range.first == next, "map: expected an assignment from key ", next,
            ", found one from ", assignment.range.first);
    next = assignment.range.last + 1;
  }
  Require(service.assignments.empty() || next == ownership::kLastKey + 1,
          "map: assignments end before key ", next, ", expected up to ", ownership::kLastKey);
  for (const ownership::KeyRange& range : service.moving) {
    Check(range);
  }
}

void Check(const ownership::MapChanges& changes) {
  Require(changes.base < changes.version, "map changes: version ", changes.version.epoch, "/",
          changes.version.sequence, " is not above base ", changes.base.epoch, "/",
          changes.base.sequence);
  for (const auto& [name, service] : changes.services) {
    ownership::Key next = 0;
    for (const ownership::Assignment& assignment : service.assignments) {
      Check(assignment.range);
      Require(assignment.range.first >= next, "map changes: expected a range from key ", next,
              " or later, found one from ", assignment.range.first);
      next = assignment.range.last + 1;
    }
    for (const ownership::KeyRange& range : service.moving) {
      Check(range);
    }
  }
}

void Check(const TableUpdate& update) {
  Require(update.base <= update.version, "tables: base ", update.base, " exceeds version ",
          update.version);
  Require(update.newest_change <= update.version, "tables: newest change ", update.newest_change,
          " exceeds version ", update.version);
  Require(update.gap_first <= update.gap_last, "tables: gap starts at ", update.gap_first,
          " and ends at ", update.gap_last);
  for (const SharedRow& row : update.rows) {
    Require(row.version > update.base, "tables: row version ", row.version, " is not above base ",
            update.base);
  }
  for (const RemovedRow& row : update.removals) {
    Require(row.version > update.base, "tables: removal version ", row.version,
            " is not above base ", update.base);
  }
}

void Check(const std::vector<SharedSuspect>& suspects) {
  Require(suspects.size() <= quarantine::CrashSuspects::kMostShared, "suspects: ", suspects.size(),
          " records, the limit is ", size_t{quarantine::CrashSuspects::kMostShared});
  for (const SharedSuspect& suspect : suspects) {
    Require(suspect.backends.size() == suspect.ages_ms.size(),
            "suspects: ", suspect.backends.size(), " back ends with ", suspect.ages_ms.size(),
            " ages");
    Require(suspect.states.empty() || suspect.states.size() == suspect.backends.size(),
            "suspects: ", suspect.backends.size(), " back ends with ", suspect.states.size(),
            " states");
    Require(suspect.other_backends.size() == suspect.other_ages_ms.size() &&
                suspect.other_backends.size() == suspect.other_states.size(),
            "suspects: ", suspect.other_backends.size(), " other back ends with ",
            suspect.other_ages_ms.size(), " ages and ", suspect.other_states.size(), " states");
    const size_t losses = suspect.backends.size() + suspect.other_backends.size();
    Require(losses <= quarantine::kMostLosses, "suspects: ", losses, " back ends, the limit is ",
            size_t{quarantine::kMostLosses});
    for (const std::vector<uint8_t>* states : {&suspect.states, &suspect.other_states}) {
      for (const uint8_t state : *states) {
        constexpr auto kEnd = static_cast<uint8_t>(quarantine::LossState::kCount);
        Require(state < kEnd, "suspects: state ", int{state}, " of a loss, expected one below ",
                int{kEnd});
      }
    }
  }
}

bool IsRate(double rate) { return std::isfinite(rate); }

void Check(const std::vector<SharedLimit>& limits) {
  Require(limits.size() <= allowance::ToldLimits::kMostShared, "limits: ", limits.size(),
          " records, the limit is ", size_t{allowance::ToldLimits::kMostShared});
  for (const SharedLimit& limit : limits) {
    Require(IsRate(limit.rate), "limits: rate must be finite, got ", limit.rate);
  }
}

void Check(const Report& report) {
  Require(report.sender.incarnation != 0, "report: sender has no incarnation");
  Check(report.suspects);
  Check(report.limits);
  for (const LoadReport& load : report.loads) {
    Check(load);
  }
}

void Check(const Heartbeat& heartbeat) {
  Check(heartbeat.suspects);
  Check(heartbeat.limits);
  Require(heartbeat.map.size() <= 1, "heartbeat: ", heartbeat.map.size(),
          " maps, at most one is expected");
  for (const ownership::OwnershipMap& map : heartbeat.map) {
    Require(map.version == heartbeat.map_version, "heartbeat: map of version ", map.version.epoch,
            "/", map.version.sequence, ", expected ", heartbeat.map_version.epoch, "/",
            heartbeat.map_version.sequence);
    for (const auto& [name, service] : map.services) {
      Check(service);
    }
  }
  Require(heartbeat.map_changes.size() <= 1, "heartbeat: ", heartbeat.map_changes.size(),
          " sets of map changes, at most one is expected");
  for (const ownership::MapChanges& changes : heartbeat.map_changes) {
    Require(changes.version == heartbeat.map_version, "heartbeat: map changes to version ",
            changes.version.epoch, "/", changes.version.sequence, ", expected ",
            heartbeat.map_version.epoch, "/", heartbeat.map_version.sequence);
    Check(changes);
  }
  Require(heartbeat.member_changes.empty() ||
              (heartbeat.member_changes.size() == 1 && heartbeat.members.empty()),
          "heartbeat: ", heartbeat.member_changes.size(), " sets of member changes and ",
          heartbeat.members.size(), " members, expected one of the two at most once");
  Require(heartbeat.tables.empty() || heartbeat.tables.size() == kTablesRelayed,
          "heartbeat: ", heartbeat.tables.size(), " table updates, expected none or ",
          kTablesRelayed);
  for (const TableUpdate& update : heartbeat.tables) {
    Check(update);
  }
}

void Check(const Resignation& resignation) {
  Require(resignation.incarnation != 0, "resignation: sender has no incarnation");
}

void Check(const SnapshotRequest& /*request*/) {}

void Check(const Snapshot& snapshot) {
  for (const SharedRow& row : snapshot.configuration) {
    Require(row.version != 0, "snapshot: row version is 0, expected the version of the store");
  }
  for (const SharedRow& row : snapshot.backends) {
    Require(row.version != 0, "snapshot: row version is 0, expected the version of the store");
  }
}

void Check(const PermitRequest& request) {
  Require(request.wanted <= allowance::kMostPermitsAsked, "permit: ", request.wanted,
          " permits requested, the limit is ", allowance::kMostPermitsAsked);
  Require(IsRate(request.rate) && request.rate >= 0,
          "permit: rate limit must be finite and not negative, got ", request.rate);
}

void Check(const PermitAnswer& answer) {
  Require(answer.granted <= allowance::kMostPermitsAsked, "permit: ", answer.granted,
          " permits granted, the limit is ", allowance::kMostPermitsAsked);
}

void Check(const RelayedOrder& order) {
  Check(ownership::KeyRange{order.first_key, order.last_key});
  Require(!order.backend.empty(), "relayed order: names no back end");
}

void Check(const RelayedOrderResult& result) {
  constexpr auto kLast = static_cast<uint8_t>(ownership::OrderStatus::kNoAnswer);
  Require(result.status <= kLast, "relayed order: status ", int{result.status},
          ", the last one known is ", int{kLast});
}

void Check(const RelayedRequest& request) {
  Require(!request.backend.empty(), "relayed request: names no back end");
  Require(!request.head.empty(), "relayed request: has no head");
  Require(request.has_body || request.body.empty(), "relayed request: ", request.body.size(),
          " pieces of a body where none is announced");
}

void Check(const RelayedAnswer& answer) {
  constexpr auto kEnd = static_cast<uint8_t>(RelayOutcome::kCount);
  Require(answer.outcome < kEnd, "relayed answer: outcome ", int{answer.outcome},
          ", expected one below ", int{kEnd});
  const bool answered = answer.outcome == static_cast<uint8_t>(RelayOutcome::kAnswered);
  Require(!answered || !answer.head.empty(), "relayed answer: has no head");
}

void Check(const RelayCancel& /*cancel*/) {}

Message Parse(std::string_view bytes) {
  ValueCounter counter;
  size_t offset = 0;
  const bool complete = msgpack::parse(bytes.data(), bytes.size(), offset, counter);
  Require(complete && counter.valid(), "message of ", bytes.size(),
          " bytes: truncated, malformed or more than ", kMaxValues, " values");
  Require(offset == bytes.size(), "message: ends after ", offset, " of ", bytes.size(), " bytes");
  const msgpack::unpack_limit limit(kMaxElements, kMaxElements, kMaxTextBytes, kMaxTextBytes, 0,
                                    kMaxDepth);
  const msgpack::object_handle handle =
      msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
  return handle.get().as<Message>();
}

}  // namespace

std::string EncodeMessage(const Message& message) { return Encode(message); }

Message DecodeMessage(std::string_view bytes) {
  try {
    Message message = Parse(bytes);
    std::visit([](const auto& body) { Check(body); }, message);
    return message;
  } catch (const Error&) {
    throw;
  } catch (const std::exception& error) {
    throw Error(ResultCode::kMalformedMessage,
                absl::StrCat("message of ", bytes.size(), " bytes: ", error.what()));
  }
}

}  // namespace ladderstream::membership
