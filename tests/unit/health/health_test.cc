#include <boost/test/unit_test.hpp>
#include <vector>

#include "core/health/backend_health.h"
#include "core/health/group_health.h"

namespace ladderstream::health {
namespace {

const Time kStart = absl::UnixEpoch();
constexpr Duration kLatency = absl::Milliseconds(5);

void FailTimes(BackendHealth& health, int times, Time now) {
  for (int i = 0; i < times; ++i) {
    health.RecordFailure(now);
  }
}

BOOST_AUTO_TEST_CASE(FailuresInARowEject) {
  BackendHealth health;
  FailTimes(health, 4, kStart);
  BOOST_TEST(!health.IsSuspect(kStart));
  health.RecordFailure(kStart);
  BOOST_TEST(health.IsSuspect(kStart));
  BOOST_TEST(!health.IsSuspect(kStart + absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(AnAnswerBreaksTheRow) {
  BackendHealth health;
  FailTimes(health, 4, kStart);
  health.RecordSuccess(kLatency, kStart);
  health.RecordFailure(kStart);
  BOOST_TEST(!health.IsSuspect(kStart));
}

BOOST_AUTO_TEST_CASE(AHighShareOfFailuresEjects) {
  BackendHealth health;
  for (int i = 0; i < 200 && !health.IsSuspect(kStart); ++i) {
    FailTimes(health, 2, kStart);
    health.RecordSuccess(kLatency, kStart);
  }
  BOOST_TEST(health.IsSuspect(kStart));
}

BOOST_AUTO_TEST_CASE(FailingAgainEjectsForLongerAndRecoveryForgets) {
  BackendHealth health;
  FailTimes(health, 5, kStart);
  const Time second = kStart + absl::Seconds(1);
  health.RecordFailure(second);
  BOOST_TEST(health.IsSuspect(second + absl::Milliseconds(1999)));
  BOOST_TEST(!health.IsSuspect(second + absl::Seconds(2)));
  health.RecordSuccess(kLatency, second + absl::Seconds(2));
  health.RecordFailure(second + absl::Seconds(2));
  BOOST_TEST(!health.IsSuspect(second + absl::Seconds(2)));
}

BOOST_AUTO_TEST_CASE(AnswersOfBeforeTheEjectionDoNotEndIt) {
  BackendHealth health;
  FailTimes(health, 5, kStart);
  health.RecordSuccess(kLatency, kStart + absl::Milliseconds(10));
  BOOST_TEST(health.IsSuspect(kStart + absl::Milliseconds(10)));
}

std::vector<const BackendHealth*> Pointers(const std::vector<BackendHealth>& group) {
  std::vector<const BackendHealth*> pointers;
  pointers.reserve(group.size());
  for (const BackendHealth& member : group) {
    pointers.push_back(&member);
  }
  return pointers;
}

BOOST_AUTO_TEST_CASE(AFewBadMembersAreEjected) {
  std::vector<BackendHealth> group(4);
  FailTimes(group[0], 5, kStart);
  FailTimes(group[1], 5, kStart);
  const std::vector<bool> eligible = EligibleMembers(Pointers(group), {}, kStart);
  BOOST_TEST(eligible == std::vector<bool>({false, false, true, true}));
}

BOOST_AUTO_TEST_CASE(ASignalAboutTheWholeGroupEjectsNobody) {
  std::vector<BackendHealth> group(4);
  for (int i = 0; i < 3; ++i) {
    FailTimes(group[static_cast<size_t>(i)], 5, kStart);
  }
  const std::vector<bool> eligible = EligibleMembers(Pointers(group), {}, kStart);
  BOOST_TEST(eligible == std::vector<bool>(4, true));
}

BOOST_AUTO_TEST_CASE(AMemberFarSlowerThanTheOthersIsEjected) {
  std::vector<BackendHealth> group(4);
  for (BackendHealth& member : group) {
    member.RecordSuccess(kLatency, kStart);
  }
  for (int i = 0; i < 100; ++i) {
    group[2].RecordSuccess(absl::Milliseconds(400), kStart);
  }
  const std::vector<bool> eligible = EligibleMembers(Pointers(group), {}, kStart);
  BOOST_TEST(eligible == std::vector<bool>({true, true, false, true}));
}

BOOST_AUTO_TEST_CASE(AnEmptyGroupHasNoMembers) {
  BOOST_TEST(EligibleMembers({}, {}, kStart).empty());
}

}  // namespace
}  // namespace ladderstream::health
