#define BOOST_TEST_MODULE health
#include <boost/test/unit_test.hpp>
