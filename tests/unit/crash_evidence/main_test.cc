#define BOOST_TEST_MODULE crash_evidence
#include <boost/test/unit_test.hpp>
