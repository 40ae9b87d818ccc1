#include "core/membership/message_codec.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>

#include "node_fixture.h"
#include "wire/result_code.h"

namespace ladderstream::membership {
namespace {

bool IsMalformed(const std::string& bytes) {
  try {
    DecodeMessage(bytes);
    return false;
  } catch (const Error& error) {
    return error.code() == ResultCode::kMalformedMessage;
  }
}

bool IsMalformed(const Message& message) { return IsMalformed(EncodeMessage(message)); }

Report ValidReport() {
  Report report;
  report.sender = MakeIdentity(1);
  report.loads.push_back(
      {"scripts", {7}, {3.5F}, {"backend-1"}, {4}, {900}, {1}, 0.5, {8}, {"backend-2"}, {3000}});
  return report;
}

Heartbeat ValidHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender = 1;
  heartbeat.lease = MakeLease(3, 1);
  heartbeat.map = {MakeMap(3, 2)};
  heartbeat.map_version = heartbeat.map.front().version;
  heartbeat.members = {MakeIdentity(1), MakeIdentity(2)};
  return heartbeat;
}

BOOST_AUTO_TEST_CASE(MessagesRoundTrip) {
  const Message report = DecodeMessage(EncodeMessage(ValidReport()));
  BOOST_TEST((std::get<Report>(report).sender == MakeIdentity(1)));
  BOOST_TEST(std::get<Report>(report).loads.front().busy_us.front() == 900);
  BOOST_TEST(std::get<Report>(report).loads.front().includes_wait.front() == 1);
  BOOST_TEST(std::get<Report>(report).loads.front().reported_share == 0.5);
  const Message heartbeat = DecodeMessage(EncodeMessage(ValidHeartbeat()));
  BOOST_TEST((std::get<Heartbeat>(heartbeat).members == ValidHeartbeat().members));
  BOOST_TEST((std::get<Heartbeat>(heartbeat).map.front().services ==
              ValidHeartbeat().map.front().services));
}

/// Returns the message with the last fields of its body removed, or with more fields, as a node of
/// the previous or the next version sends it.
std::string OfAnotherVersion(const Message& message, int more_fields) {
  const std::string bytes = EncodeMessage(message);
  msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
  msgpack::object& body = handle.get().via.array.ptr[1];
  std::vector<msgpack::object> fields(body.via.array.ptr, body.via.array.ptr + body.via.array.size);
  fields.resize(fields.size() + static_cast<size_t>(more_fields), msgpack::object(uint64_t{7}));
  body.via.array.ptr = fields.data();
  body.via.array.size = static_cast<uint32_t>(fields.size());
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, handle.get());
  return {buffer.data(), buffer.size()};
}

/// During a rolling update nodes of two versions exchange messages.
BOOST_AUTO_TEST_CASE(HeartbeatsOfPreviousAndNextVersionAreAccepted) {
  Heartbeat heartbeat = ValidHeartbeat();
  heartbeat.standbys = {2, 3};
  heartbeat.suspects = {{1, 2, {"backend-1"}, {30}, 40, {}, {}, {}, {}, 0, kUnknownAge}};
  heartbeat.limits = {{"backend-1", 3.4, 30}};
  heartbeat.suspects_known = true;
  heartbeat.sent_us = 17;
  const Message last = DecodeMessage(OfAnotherVersion(heartbeat, -1));
  BOOST_TEST(std::get<Heartbeat>(last).suspects_known);
  BOOST_TEST(std::get<Heartbeat>(last).sent_us == 0);
  const Message before = DecodeMessage(OfAnotherVersion(heartbeat, -2));
  BOOST_TEST((std::get<Heartbeat>(before).members == heartbeat.members));
  BOOST_TEST(std::get<Heartbeat>(before).standbys.size() == 2);
  BOOST_TEST(std::get<Heartbeat>(before).suspects.size() == 1);
  BOOST_TEST(std::get<Heartbeat>(before).limits.size() == 1);
  BOOST_TEST(!std::get<Heartbeat>(before).suspects_known);
  const Message next = DecodeMessage(OfAnotherVersion(heartbeat, 1));
  BOOST_TEST(std::get<Heartbeat>(next).standbys.size() == 2);
}

/// TableUpdate of the previous version.
struct PreviousTableUpdate {
  uint64_t base = 0;
  uint64_t version = 0;
  uint64_t newest_change = 0;
  std::vector<SharedRow> rows;
  std::vector<RemovedRow> removals;
  uint32_t age_ms = 0;
  uint64_t gap_first = 0;
  uint64_t gap_last = 0;
  MSGPACK_DEFINE_ARRAY(base, version, newest_change, rows, removals, age_ms, gap_first, gap_last);
};

BOOST_AUTO_TEST_CASE(TableUpdateOfPreviousVersionHasUnknownChangeAge) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, PreviousTableUpdate{40, 50, 45, {}, {{"i-1", 41}}, 7, 0, 0});
  const auto update = msgpack::unpack(buffer.data(), buffer.size())->as<TableUpdate>();
  BOOST_TEST(update.age_ms == 7);
  BOOST_TEST(update.change_age_ms == kUnknownAge);
}

BOOST_AUTO_TEST_CASE(TruncatedOrExtendedMessagesAreRejected) {
  const std::string complete = EncodeMessage(ValidHeartbeat());
  for (size_t size = 0; size < complete.size(); ++size) {
    BOOST_TEST(IsMalformed(complete.substr(0, size)));
  }
  BOOST_TEST(IsMalformed(complete + '\0'));
}

BOOST_AUTO_TEST_CASE(MismatchedListsAreRejected) {
  Report report = ValidReport();
  report.loads.front().counts.clear();
  BOOST_TEST(IsMalformed(report));
  report = ValidReport();
  report.loads.front().answers.push_back(1);
  BOOST_TEST(IsMalformed(report));
  report = ValidReport();
  report.loads.front().counts.front() = std::numeric_limits<float>::quiet_NaN();
  BOOST_TEST(IsMalformed(report));
  report = ValidReport();
  report.loads.front().rejected_keys = {ownership::kLastKey + 1};
  BOOST_TEST(IsMalformed(report));
}

BOOST_AUTO_TEST_CASE(TwoMemberListsAreRejected) {
  Heartbeat heartbeat = ValidHeartbeat();
  heartbeat.member_changes.emplace_back();
  BOOST_TEST(IsMalformed(heartbeat));
  heartbeat.members.clear();
  BOOST_TEST(!IsMalformed(heartbeat));
  heartbeat.member_changes.emplace_back();
  BOOST_TEST(IsMalformed(heartbeat));
}

BOOST_AUTO_TEST_CASE(MapsWithGapsAreRejected) {
  Heartbeat heartbeat = ValidHeartbeat();
  auto& assignments = heartbeat.map.front().services.at("scripts").assignments;
  assignments = {{{0, 9}, "backend-1", 1}, {{11, ownership::kLastKey}, "backend-2", 1}};
  BOOST_TEST(IsMalformed(heartbeat));
  assignments = {{{0, 9}, "backend-1", 1}};
  BOOST_TEST(IsMalformed(heartbeat));
  heartbeat = ValidHeartbeat();
  heartbeat.map_version.sequence += 1;
  BOOST_TEST(IsMalformed(heartbeat));
}

BOOST_AUTO_TEST_CASE(MapChangesOutOfOrderAreRejected) {
  Heartbeat heartbeat = ValidHeartbeat();
  heartbeat.map.clear();
  ownership::MapChanges changes;
  changes.base = {3, 1};
  changes.version = heartbeat.map_version;
  changes.services["scripts"].assignments = {{{0, 9}, "backend-1", 1}, {{20, 29}, "backend-2", 1}};
  heartbeat.map_changes = {changes};
  BOOST_TEST(!IsMalformed(heartbeat));
  auto& assignments = heartbeat.map_changes.front().services.at("scripts").assignments;
  assignments.front().range = {0, 20};
  BOOST_TEST(IsMalformed(heartbeat));
  assignments.front().range = {40, 49};
  BOOST_TEST(IsMalformed(heartbeat));
}

BOOST_AUTO_TEST_CASE(InconsistentTableUpdatesAreRejected) {
  Heartbeat heartbeat = ValidHeartbeat();
  const TableUpdate valid{40, 50, 45, {{"config", "r12", 45}}, {{"i-1", 41}}, 7};
  heartbeat.tables = {valid, valid};
  const Message decoded = DecodeMessage(EncodeMessage(heartbeat));
  BOOST_TEST(std::get<Heartbeat>(decoded).tables.back().removals.front().version == 41);
  heartbeat.tables.pop_back();
  BOOST_TEST(IsMalformed(heartbeat));
  for (const TableUpdate& malformed :
       {TableUpdate{51, 50, 45, {}, {}, 7}, TableUpdate{40, 50, 51, {}, {}, 7},
        TableUpdate{40, 50, 45, {{"config", "r12", 40}}, {}, 7},
        TableUpdate{40, 50, 45, {}, {{"i-1", 40}}, 7}}) {
    heartbeat.tables = {valid, malformed};
    BOOST_TEST(IsMalformed(heartbeat));
  }
}

BOOST_AUTO_TEST_CASE(AnnouncedSizesAreNotTrusted) {
  // A list announcing 2^32 - 1 values, none of which follows.
  BOOST_TEST(IsMalformed(std::string("\x92\x00\xdd\xff\xff\xff\xff", 7)));
  // Valid except for the number of values in all lists together.
  Report report = ValidReport();
  report.loads.assign(9, LoadReport{});
  for (LoadReport& load : report.loads) {
    load.rejected_keys.assign(ownership::kLastKey + 1, 7);
  }
  BOOST_TEST(IsMalformed(report));
  report.loads.resize(1);
  BOOST_TEST(!IsMalformed(report));
  BOOST_TEST(IsMalformed(std::string(100'000, '\x91')));
}

}  // namespace
}  // namespace ladderstream::membership
