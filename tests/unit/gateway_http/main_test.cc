#define BOOST_TEST_MODULE gateway_http
#include <boost/test/unit_test.hpp>
