#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>
