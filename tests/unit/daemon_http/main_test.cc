#define BOOST_TEST_MODULE daemon_http
#include <boost/test/unit_test.hpp>
