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

/// No list of a sound message is longer: one entry for each key.
constexpr size_t kMaxElements = ownership::kLastKey + 1;
constexpr size_t kMaxTextBytes = size_t{1} << 20;
constexpr size_t kMaxDepth = 16;
/// The configuration and the back ends.
constexpr size_t kTablesRelayed = 2;
/// Values in one message, in all its lists together; each takes some 24 bytes once parsed.
constexpr size_t kMaxValues = 500'000;

/// Counts the values of a message without keeping any, and stops when there are too many.
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

void Require(bool condition, std::string_view what) {
  if (!condition) {
    throw Error(ResultCode::kMalformedMessage, std::string(what));
  }
}

void Check(const LoadReport& load) {
  Require(load.keys.size() == load.counts.size(), "loads: keys and counts differ in number");
  const size_t backends = load.backends.size();
  Require(backends == load.answers.size() && backends == load.busy_us.size() &&
              backends == load.includes_wait.size(),
          "loads: back ends and their figures differ in number");
  Require(load.declined_by.size() == load.backoff_ms.size(),
          "loads: back ends that declined and their rests differ in number");
  Require(load.reported_share > 0 && load.reported_share <= 1,
          "loads: the reported share is not between 0 and 1");
  for (const uint32_t key : load.keys) {
    Require(key <= ownership::kLastKey, "loads: a key beyond the last one");
  }
  for (const uint32_t key : load.denied_keys) {
    Require(key <= ownership::kLastKey, "loads: a denied key beyond the last one");
  }
  for (const float count : load.counts) {
    Require(std::isfinite(count) && count >= 0, "loads: a count that is no number of requests");
  }
}

void Check(const ownership::KeyRange& range) {
  Require(range.first <= range.last && range.last <= ownership::kLastKey,
          "map: a range outside of the key space");
}

void Check(const ownership::ServiceOwnership& service) {
  ownership::Key next = 0;
  for (const ownership::Assignment& assignment : service.assignments) {
    Check(assignment.range);
    Require(assignment.range.first == next, "map: a gap or an overlap between assignments");
    next = assignment.range.last + 1;
  }
  Require(service.assignments.empty() || next == ownership::kLastKey + 1,
          "map: assignments that end before the last key");
  for (const ownership::KeyRange& range : service.moving) {
    Check(range);
  }
}

void Check(const ownership::MapChanges& changes) {
  Require(changes.base < changes.version, "map changes: they lead back");
  for (const auto& [name, service] : changes.services) {
    ownership::Key next = 0;
    for (const ownership::Assignment& assignment : service.assignments) {
      Check(assignment.range);
      Require(assignment.range.first >= next, "map changes: ranges out of order, or twice");
      next = assignment.range.last + 1;
    }
    for (const ownership::KeyRange& range : service.moving) {
      Check(range);
    }
  }
}

void Check(const TableUpdate& update) {
  Require(update.base <= update.version, "tables: changes that lead back");
  Require(update.newest_change <= update.version, "tables: a change after the version");
  Require(update.gap_first <= update.gap_last, "tables: a gap that ends before it begins");
  for (const SharedRow& row : update.rows) {
    Require(row.version > update.base, "tables: a row that did not change");
  }
  for (const RemovedRow& row : update.removals) {
    Require(row.version > update.base, "tables: a removal before the base");
  }
}

void Check(const std::vector<SharedSuspect>& suspects) {
  Require(suspects.size() <= quarantine::CrashSuspects::kMostShared, "suspects: too many");
  for (const SharedSuspect& suspect : suspects) {
    Require(suspect.backends.size() == suspect.ages_ms.size(),
            "suspects: back ends and their ages differ in number");
    Require(suspect.backends.size() <= quarantine::kMostCrashes, "suspects: too many back ends");
  }
}

bool IsRate(double rate) { return std::isfinite(rate); }

void Check(const std::vector<SharedLimit>& limits) {
  Require(limits.size() <= allowance::ToldLimits::kMostShared, "limits: too many");
  for (const SharedLimit& limit : limits) {
    Require(IsRate(limit.rate), "limits: a rate that is no number");
  }
}

void Check(const Report& report) {
  Require(report.sender.incarnation != 0, "report: no sender");
  Check(report.suspects);
  Check(report.limits);
  for (const LoadReport& load : report.loads) {
    Check(load);
  }
}

void Check(const Heartbeat& heartbeat) {
  Check(heartbeat.suspects);
  Check(heartbeat.limits);
  Require(heartbeat.map.size() <= 1, "heartbeat: more than one map");
  for (const ownership::OwnershipMap& map : heartbeat.map) {
    Require(map.version == heartbeat.map_version, "heartbeat: a map of another version");
    for (const auto& [name, service] : map.services) {
      Check(service);
    }
  }
  Require(heartbeat.map_changes.size() <= 1, "heartbeat: more than one set of map changes");
  for (const ownership::MapChanges& changes : heartbeat.map_changes) {
    Require(changes.version == heartbeat.map_version, "heartbeat: changes to another version");
    Check(changes);
  }
  Require(heartbeat.member_changes.empty() ||
              (heartbeat.member_changes.size() == 1 && heartbeat.members.empty()),
          "heartbeat: more than one list of members");
  Require(heartbeat.tables.empty() || heartbeat.tables.size() == kTablesRelayed,
          "heartbeat: not each table once");
  for (const TableUpdate& update : heartbeat.tables) {
    Check(update);
  }
}

void Check(const Resignation& resignation) {
  Require(resignation.incarnation != 0, "resignation: no sender");
}

void Check(const SnapshotRequest& /*request*/) {}

void Check(const Snapshot& snapshot) {
  for (const SharedRow& row : snapshot.configuration) {
    Require(row.version != 0, "snapshot: a row without version");
  }
  for (const SharedRow& row : snapshot.backends) {
    Require(row.version != 0, "snapshot: a row without version");
  }
}

void Check(const PermitRequest& request) {
  Require(request.wanted <= allowance::kMostPermitsAsked, "permit: too many are wanted");
  Require(IsRate(request.rate) && request.rate >= 0, "permit: a limit that is no rate");
}

void Check(const PermitAnswer& answer) {
  Require(answer.granted <= allowance::kMostPermitsAsked, "permit: too many are granted");
}

Message Parse(std::string_view bytes) {
  ValueCounter counter;
  size_t offset = 0;
  const bool complete = msgpack::parse(bytes.data(), bytes.size(), offset, counter);
  Require(complete && counter.valid(), "message: not whole, or too many values");
  Require(offset == bytes.size(), "message: bytes behind its end");
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
