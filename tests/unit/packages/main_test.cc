#define BOOST_TEST_MODULE packages
#include <boost/test/unit_test.hpp>
