#define BOOST_TEST_MODULE gateway_peer
#include <boost/test/unit_test.hpp>
