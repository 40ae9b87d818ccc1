// Settings that would break the safety of leases, or the time to recover, are refused.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "core/authority/authority.h"

namespace ladderstream::authority {
namespace {

/// Whether the settings, changed by `change`, are refused with a text that names `word`.
bool IsRefused(const std::function<void(AuthoritySettings&)>& change, const std::string& word) {
  AuthoritySettings settings;
  change(settings);
  try {
    CheckAuthoritySettings(settings);
  } catch (const Error& error) {
    return error.code() == ResultCode::kInconsistentSettings &&
           std::string(error.what()).find(word) != std::string::npos;
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(defaults_fit) { BOOST_CHECK_NO_THROW(CheckAuthoritySettings({})); }

BOOST_AUTO_TEST_CASE(each_inequality_is_checked) {
  BOOST_TEST(IsRefused([](auto& settings) { settings.voter_count = 4; }, "voter_count"));
  BOOST_TEST(IsRefused([](auto& settings) { settings.backend_lease = absl::Seconds(1); },
                       "must not exceed leader_lease"));
  BOOST_TEST(IsRefused([](auto& settings) { settings.backend_lease = absl::Milliseconds(500); },
                       "outlast an election"));
  BOOST_TEST(IsRefused([](auto& settings) { settings.expiry_margin = absl::ZeroDuration(); },
                       "expiry_margin"));
  BOOST_TEST(
      IsRefused([](auto& settings) { settings.expiry_margin = absl::Seconds(1); }, "unserved"));
  BOOST_TEST(IsRefused([](auto& settings) { settings.node_timeout = absl::Milliseconds(300); },
                       "report_interval"));
  BOOST_TEST(IsRefused([](auto& settings) { settings.pull_interval = absl::Seconds(2); },
                       "pull_interval"));
  BOOST_TEST(IsRefused([](auto& settings) { settings.confirmation_limit = absl::Seconds(1); },
                       "confirmation_limit"));
  BOOST_TEST(IsRefused([](auto& settings) { settings.recovery_delay = absl::Seconds(10); },
                       "recovery_delay"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::authority
