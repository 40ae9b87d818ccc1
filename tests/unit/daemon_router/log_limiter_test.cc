#include "daemon/router/log_limiter.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream {
namespace {

BOOST_AUTO_TEST_CASE(HoldsBackWhatIsTooMuchAndCountsIt) {
  const Time start = absl::UnixEpoch();
  LogLimiter limiter(2);
  BOOST_TEST((limiter.Admit(start) == 0U));
  BOOST_TEST((limiter.Admit(start) == 0U));
  BOOST_TEST(!limiter.Admit(start).has_value());
  BOOST_TEST(!limiter.Admit(start + absl::Milliseconds(999)).has_value());
  BOOST_TEST((limiter.Admit(start + absl::Seconds(1)) == 2U));
  BOOST_TEST((limiter.Admit(start + absl::Seconds(1)) == 0U));
}

}  // namespace
}  // namespace ladderstream
