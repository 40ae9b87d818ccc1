#define BOOST_TEST_MODULE drain_bound
#include <boost/test/unit_test.hpp>
