#define BOOST_TEST_MODULE gateway_settings
#include <boost/test/unit_test.hpp>
