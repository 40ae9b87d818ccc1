#define BOOST_TEST_MODULE gateway_relay
#include <boost/test/unit_test.hpp>
