#define BOOST_TEST_MODULE rate_limit
#include <boost/test/unit_test.hpp>
