#define BOOST_TEST_MODULE changes
#include <boost/test/unit_test.hpp>
