#define BOOST_TEST_MODULE replay
#include <boost/test/unit_test.hpp>
