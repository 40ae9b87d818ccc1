#define BOOST_TEST_MODULE configuration_bound
#include <boost/test/unit_test.hpp>
