#define BOOST_TEST_MODULE simulation
#include <boost/test/unit_test.hpp>
