#define BOOST_TEST_MODULE operator
#include <boost/test/unit_test.hpp>
