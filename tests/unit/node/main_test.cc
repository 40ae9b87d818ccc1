#define BOOST_TEST_MODULE node
#include <boost/test/unit_test.hpp>
