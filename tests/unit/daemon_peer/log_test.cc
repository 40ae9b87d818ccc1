#include "logging/log.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace ladderstream {
namespace {

BOOST_AUTO_TEST_SUITE(log_suite)

BOOST_AUTO_TEST_CASE(LineHasPrefixSentenceAndFields) {
  const std::string line = FormatLogLine(Part::kPeer, Severity::kWarning, "Connection lost.",
                                         {{"node", "rennes-1"}, {"attempt", 3}});
  BOOST_TEST(line == "warning peer: Connection lost. node=rennes-1 attempt=3");
}

BOOST_AUTO_TEST_CASE(HostileValueStaysOnOneLine) {
  const std::string line =
      FormatLogLine(Part::kHttp, Severity::kInfo, "It's refused.", {{"key", "a\nb=\"c\""}});
  BOOST_TEST(line == "info http: It's refused. key=\"a\\nb=\\\"c\\\"\"");
}

BOOST_AUTO_TEST_CASE(SeverityIsParsedByItsExactName) {
  Severity severity = Severity::kInfo;
  BOOST_TEST(ParseSeverity("error", &severity));
  BOOST_TEST((severity == Severity::kError));
  BOOST_TEST(!ParseSeverity("ERROR", &severity));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream
