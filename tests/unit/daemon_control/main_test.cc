#define BOOST_TEST_MODULE daemon_control
#include <boost/test/unit_test.hpp>
