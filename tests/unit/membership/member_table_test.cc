#include "core/membership/member_table.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "node_fixture.h"

namespace ladderstream::membership {
namespace {

constexpr Duration kLifetime = absl::Seconds(3);
constexpr Duration kReportInterval = absl::Milliseconds(300);

struct Fixture {
  MemberTable table{MakeIdentity(1), kLifetime, absl::Milliseconds(10)};
};

BOOST_FIXTURE_TEST_CASE(UnresponsiveMemberIsRemoved, Fixture) {
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

BOOST_FIXTURE_TEST_CASE(InfrequentReportsExtendMemberLifetime, Fixture) {
  table.OnReport(MakeIdentity(2), 5, kStart);
  table.Refresh(kStart + absl::Seconds(5), absl::Milliseconds(1500));
  BOOST_TEST(table.members().size() == 2);
}

BOOST_FIXTURE_TEST_CASE(NewProcessAtSameAddressReplacesTheOld, Fixture) {
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
  BOOST_TEST(table.Adopt(
      MakeMemberList({MakeIdentity(1), MakeIdentity(2)}, (uint64_t{4} << 32U) + 9), kStart));
  BOOST_TEST(!table.Adopt(MakeMemberList({MakeIdentity(1)}, (uint64_t{4} << 32U) + 8), kStart));
  BOOST_TEST(table.members().size() == 2);
  MemberTable successor{MakeIdentity(2), kLifetime, absl::Milliseconds(10)};
  successor.OnReport(MakeIdentity(1), 7, kStart);
  successor.TakeOver(5, kStart);
  BOOST_TEST(table.Adopt(MakeMemberList(successor.members(), successor.version()), kStart));
}

BOOST_FIXTURE_TEST_CASE(SuccessorGivesMembersFullLifetimeToReport, Fixture) {
  table.Adopt(MakeMemberList({MakeIdentity(1), MakeIdentity(2)}, 9), kStart);
  const Time take_over = kStart + absl::Minutes(1);
  table.TakeOver(5, take_over);
  table.Refresh(take_over + absl::Seconds(2), kReportInterval);
  BOOST_TEST(table.members().size() == 2);
  BOOST_TEST(table.Refresh(take_over + absl::Seconds(4), kReportInterval));
  BOOST_TEST(table.members().size() == 1);
}

/// A coordinator's list and a copy that adopted its first full version.
struct ChangesFixture : Fixture {
  ChangesFixture() {
    table.TakeOver(1, kStart);
    Join(2);
    Join(3);
    Publish();
    BOOST_TEST(copy.Adopt(MakeMemberList(table.members(), table.version()), kStart));
  }

  void Join(uint64_t number) { table.OnReport(MakeIdentity(number), number, now); }
  void Publish() {
    now += absl::Seconds(1);
    BOOST_TEST(table.Refresh(now, kReportInterval));
  }
  Heartbeat Lacking(uint64_t version) const {
    Heartbeat heartbeat;
    heartbeat.members_version = table.version();
    table.AddTo(version, &heartbeat);
    return heartbeat;
  }
  static std::set<uint64_t> Listed(const MemberTable& listed) {
    std::set<uint64_t> incarnations;
    for (const PeerIdentity& member : listed.members()) {
      incarnations.insert(member.incarnation);
    }
    return incarnations;
  }

  Time now = kStart;
  MemberTable copy{MakeIdentity(3), kLifetime, absl::Milliseconds(10)};
};

BOOST_FIXTURE_TEST_CASE(CopyReceivesChangesSinceItsVersion, ChangesFixture) {
  Join(4);
  Publish();
  PeerIdentity restarted = MakeIdentity(2);
  restarted.incarnation = 20;
  table.OnReport(restarted, 8, now);
  Publish();
  const Heartbeat heartbeat = Lacking(copy.version());
  BOOST_TEST(heartbeat.members.empty());
  BOOST_TEST_REQUIRE(heartbeat.member_changes.size() == 1);
  BOOST_TEST(heartbeat.member_changes.front().joined.size() == 2);
  BOOST_TEST(copy.Adopt(heartbeat, now));
  BOOST_TEST(copy.version() == table.version());
  BOOST_TEST(Listed(copy) == (std::set<uint64_t>{1, 3, 4, 20}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(ChangesWithAnotherBaseAreRejected, ChangesFixture) {
  const uint64_t base = table.version();
  Join(4);
  Publish();
  Heartbeat first = Lacking(base);
  Join(5);
  Publish();
  Heartbeat second = Lacking(first.members_version);
  BOOST_TEST(!copy.Adopt(second, now));
  BOOST_TEST(copy.version() == base);
  BOOST_TEST(copy.Adopt(Lacking(base), now));
  BOOST_TEST(!copy.Adopt(first, now));
  BOOST_TEST(Listed(copy) == Listed(table), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(ReporterToACopyIsNoMember, ChangesFixture) {
  copy.OnReport(MakeIdentity(9), 9, now);
  PeerIdentity restarted = MakeIdentity(2);
  restarted.incarnation = 20;
  copy.OnReport(restarted, 8, now);
  Join(4);
  Publish();
  BOOST_TEST(copy.Adopt(Lacking(copy.version()), now));
  BOOST_TEST(Listed(copy) == Listed(table), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(UnknownVersionReceivesFullList, ChangesFixture) {
  BOOST_TEST(Lacking(0).members.size() == 3);
  BOOST_TEST(Lacking(table.version() - 1000).members.size() == 3);
  BOOST_TEST(Lacking(table.version()).members.empty());
  BOOST_TEST(Lacking(table.version()).member_changes.empty());
}

BOOST_FIXTURE_TEST_CASE(SuccessorContinuesFromAdoptedList, ChangesFixture) {
  MemberTable successor(MakeIdentity(2), kLifetime, absl::Milliseconds(10));
  successor.Adopt(MakeMemberList(table.members(), table.version()), now);
  successor.TakeOver(2, now);
  Heartbeat heartbeat;
  heartbeat.members_version = successor.version();
  successor.AddTo(copy.version(), &heartbeat);
  BOOST_TEST(heartbeat.members.empty());
  BOOST_TEST(copy.Adopt(heartbeat, now));
  BOOST_TEST(Listed(copy) == Listed(successor), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(IncarnationIdentifiesKnownMember, ChangesFixture) {
  PeerIdentity only_incarnation;
  only_incarnation.incarnation = 2;
  const auto known = table.OnReport(only_incarnation, 9, now);
  BOOST_TEST_REQUIRE(known.has_value());
  BOOST_TEST((*known == MakeIdentity(2)));
  only_incarnation.incarnation = 77;
  BOOST_TEST(!table.OnReport(only_incarnation, 9, now).has_value());
  BOOST_TEST(!table.Refresh(now + absl::Seconds(1), kReportInterval));
}

}  // namespace
}  // namespace ladderstream::membership
