#include "core/membership/member_table.h"

#include <boost/test/unit_test.hpp>

#include "node_fixture.h"

namespace ladderstream::membership {
namespace {

constexpr Duration kLifetime = absl::Seconds(3);
constexpr Duration kReportInterval = absl::Milliseconds(300);

struct Fixture {
  MemberTable table{MakeIdentity(1), kLifetime, absl::Milliseconds(10)};
};

BOOST_FIXTURE_TEST_CASE(ASilentMemberLeaves, Fixture) {
  table.OnReport(MakeIdentity(2), 5, kStart);
  table.OnReport(MakeIdentity(3), 6, kStart + absl::Seconds(1));
  BOOST_TEST(table.Refresh(kStart + absl::Seconds(1), kReportInterval));
  BOOST_TEST(table.members().size() == 3);
  const uint64_t version = table.version();
  BOOST_TEST(!table.Refresh(kStart + kLifetime, kReportInterval));
  BOOST_TEST(table.Refresh(kStart + absl::Milliseconds(3001), kReportInterval));
  BOOST_TEST(table.members().size() == 2);
  BOOST_TEST(table.version() > version);
}

BOOST_FIXTURE_TEST_CASE(RareReportsMakeALongerLife, Fixture) {
  table.OnReport(MakeIdentity(2), 5, kStart);
  table.Refresh(kStart + absl::Seconds(5), absl::Milliseconds(1500));
  BOOST_TEST(table.members().size() == 2);
}

BOOST_FIXTURE_TEST_CASE(AnotherRunAtTheAddressReplacesTheFirst, Fixture) {
  PeerIdentity restarted = MakeIdentity(2);
  restarted.incarnation = 22;
  table.OnReport(MakeIdentity(2), 5, kStart);
  table.OnReport(restarted, 6, kStart);
  table.Refresh(kStart, kReportInterval);
  BOOST_TEST((table.members() == std::vector<PeerIdentity>{MakeIdentity(1), restarted}));
}

BOOST_FIXTURE_TEST_CASE(ManyChangesArePublishedTogether, Fixture) {
  table.OnReport(MakeIdentity(2), 5, kStart);
  BOOST_TEST(table.Refresh(kStart, kReportInterval));
  table.OnReport(MakeIdentity(3), 6, kStart);
  BOOST_TEST(!table.Refresh(kStart + absl::Milliseconds(29), kReportInterval));
  BOOST_TEST(table.Refresh(kStart + absl::Milliseconds(30), kReportInterval));
}

BOOST_FIXTURE_TEST_CASE(ListsOfALaterEpochAreNewer, Fixture) {
  BOOST_TEST(table.Adopt({MakeIdentity(1), MakeIdentity(2)}, (uint64_t{4} << 32U) + 9, kStart));
  BOOST_TEST(!table.Adopt({MakeIdentity(1)}, (uint64_t{4} << 32U) + 8, kStart));
  BOOST_TEST(table.members().size() == 2);
  MemberTable successor{MakeIdentity(2), kLifetime, absl::Milliseconds(10)};
  successor.OnReport(MakeIdentity(1), 7, kStart);
  successor.TakeOver(5, kStart);
  BOOST_TEST(table.Adopt(successor.members(), successor.version(), kStart));
}

BOOST_FIXTURE_TEST_CASE(ASuccessorGivesEverybodyTimeToReport, Fixture) {
  table.Adopt({MakeIdentity(1), MakeIdentity(2)}, 9, kStart);
  const Time take_over = kStart + absl::Minutes(1);
  table.TakeOver(5, take_over);
  table.Refresh(take_over + absl::Seconds(2), kReportInterval);
  BOOST_TEST(table.members().size() == 2);
  BOOST_TEST(table.Refresh(take_over + absl::Seconds(4), kReportInterval));
  BOOST_TEST(table.members().size() == 1);
}

}  // namespace
}  // namespace ladderstream::membership
