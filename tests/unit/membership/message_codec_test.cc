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

Report SoundReport() {
  Report report;
  report.sender = MakeIdentity(1);
  report.loads.push_back({"scripts", {7}, {3.5F}, {"backend-1"}, {4}, {900}, {8}});
  return report;
}

Heartbeat SoundHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender = 1;
  heartbeat.lease = MakeLease(3, 1);
  heartbeat.map = {MakeMap(3, 2)};
  heartbeat.map_version = heartbeat.map.front().version;
  heartbeat.members = {MakeIdentity(1), MakeIdentity(2)};
  return heartbeat;
}

BOOST_AUTO_TEST_CASE(MessagesSurviveTheWire) {
  const Message report = DecodeMessage(EncodeMessage(SoundReport()));
  BOOST_TEST((std::get<Report>(report).sender == MakeIdentity(1)));
  BOOST_TEST(std::get<Report>(report).loads.front().busy_us.front() == 900);
  const Message heartbeat = DecodeMessage(EncodeMessage(SoundHeartbeat()));
  BOOST_TEST((std::get<Heartbeat>(heartbeat).members == SoundHeartbeat().members));
  BOOST_TEST((std::get<Heartbeat>(heartbeat).map.front().services ==
              SoundHeartbeat().map.front().services));
}

BOOST_AUTO_TEST_CASE(EveryCutOrLongerMessageIsRefused) {
  const std::string whole = EncodeMessage(SoundHeartbeat());
  for (size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(IsMalformed(whole.substr(0, size)));
  }
  BOOST_TEST(IsMalformed(whole + '\0'));
}

BOOST_AUTO_TEST_CASE(ListsThatDoNotMatchAreRefused) {
  Report report = SoundReport();
  report.loads.front().counts.clear();
  BOOST_TEST(IsMalformed(report));
  report = SoundReport();
  report.loads.front().answers.push_back(1);
  BOOST_TEST(IsMalformed(report));
  report = SoundReport();
  report.loads.front().counts.front() = std::numeric_limits<float>::quiet_NaN();
  BOOST_TEST(IsMalformed(report));
  report = SoundReport();
  report.loads.front().denied_keys = {ownership::kLastKey + 1};
  BOOST_TEST(IsMalformed(report));
}

BOOST_AUTO_TEST_CASE(MapsWithHolesAreRefused) {
  Heartbeat heartbeat = SoundHeartbeat();
  auto& assignments = heartbeat.map.front().services.at("scripts").assignments;
  assignments = {{{0, 9}, "backend-1", 1}, {{11, ownership::kLastKey}, "backend-2", 1}};
  BOOST_TEST(IsMalformed(heartbeat));
  assignments = {{{0, 9}, "backend-1", 1}};
  BOOST_TEST(IsMalformed(heartbeat));
  heartbeat = SoundHeartbeat();
  heartbeat.map_version.sequence += 1;
  BOOST_TEST(IsMalformed(heartbeat));
}

BOOST_AUTO_TEST_CASE(AnnouncedSizesAreNotBelieved) {
  // A list of four thousand million values, of which none follows.
  BOOST_TEST(IsMalformed(std::string("\x92\x00\xdd\xff\xff\xff\xff", 7)));
  // Lists in lists, each within its own bound.
  std::string many("\x92\x00\xdc\x00\x20", 5);
  for (int i = 0; i < 32; ++i) {
    many += std::string("\xdc\xff\xff", 3) + std::string(65535, '\0');
  }
  BOOST_TEST(IsMalformed(many));
  BOOST_TEST(IsMalformed(std::string(100'000, '\x91')));
}

}  // namespace
}  // namespace ladderstream::membership
