// A back end stand-in keeps the rules for grants and leases that the product relies on.
#include "standin/backend/grant_holder.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::standin {
namespace {

constexpr uint32_t kOneRange = 1;
const ServiceName kScripts("scripts");

GrantSet SetOf(const GrantToken& version, std::vector<Grant> grants) {
  return GrantSet{version, std::move(grants)};
}

Grant RangeGrant(const GrantToken& token, std::vector<std::string> excluded = {}) {
  return Grant{ShardId{kScripts, RangeIndex(0), ""}, token, std::move(excluded)};
}

BOOST_AUTO_TEST_SUITE(grant_holder)

BOOST_AUTO_TEST_CASE(set_that_is_not_newer_is_ignored) {
  GrantHolder holder(kOneRange);
  BOOST_TEST(holder.Apply(SetOf({1, 2, 5}, {RangeGrant({1, 1, 3})})));
  BOOST_TEST(!holder.Apply(SetOf({1, 2, 5}, {})));
  BOOST_TEST(!holder.Apply(SetOf({1, 1, 9}, {})));
  BOOST_TEST(holder.Find(kScripts, "a", {1, 1, 3}) != nullptr);
  BOOST_TEST(holder.Find(kScripts, "a", {1, 1, 2}) == nullptr);
}

BOOST_AUTO_TEST_CASE(split_key_needs_its_own_token) {
  GrantHolder holder(kOneRange);
  const Grant split{ShardId{kScripts, RangeIndex(0), "hot"}, {1, 1, 8}, {}};
  holder.Apply(SetOf({1, 1, 9}, {RangeGrant({1, 1, 3}, {"hot"}), split}));
  BOOST_TEST(holder.Find(kScripts, "hot", {1, 1, 3}) == nullptr);
  BOOST_TEST(holder.Find(kScripts, "hot", {1, 1, 8}) != nullptr);
  BOOST_TEST(holder.Find(kScripts, "cold", {1, 1, 8}) == nullptr);
}

BOOST_AUTO_TEST_CASE(lease_counts_from_the_sending_and_under_the_held_version_only) {
  GrantHolder holder(kOneRange);
  holder.Apply(SetOf({1, 1, 5}, {}));
  const Time sent = absl::UnixEpoch();
  holder.RenewLease({1, 1, 4}, sent, absl::Seconds(9));
  BOOST_TEST(!holder.LeaseIsLive(sent));
  holder.RenewLease({1, 1, 5}, sent, absl::Seconds(1));
  BOOST_TEST(holder.LeaseIsLive(sent + absl::Milliseconds(999)));
  BOOST_TEST(!holder.LeaseIsLive(sent + absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(version_counts_as_applied_once_revoked_work_has_ended) {
  GrantHolder holder(kOneRange);
  const Grant grant = RangeGrant({1, 1, 3});
  const GrantKey key(grant.shard, grant.token);
  holder.Apply(SetOf({1, 1, 5}, {grant}));
  holder.UpdateApplied();
  holder.BeginWork(key);
  holder.Apply(SetOf({1, 1, 6}, {}));
  BOOST_TEST(!holder.UpdateApplied());
  BOOST_TEST((holder.applied_version() == GrantToken{1, 1, 5}));
  holder.EndWork(key);
  BOOST_TEST(holder.UpdateApplied());
  BOOST_TEST((holder.applied_version() == GrantToken{1, 1, 6}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::standin
