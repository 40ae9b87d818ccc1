#define BOOST_TEST_MODULE bench
#include <boost/test/unit_test.hpp>
