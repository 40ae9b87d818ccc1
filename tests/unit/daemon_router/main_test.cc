#define BOOST_TEST_MODULE daemon_router
#include <boost/test/unit_test.hpp>
