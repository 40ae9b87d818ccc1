#define BOOST_TEST_MODULE daemon_peer
#include <boost/test/unit_test.hpp>
