#define BOOST_TEST_MODULE requested_rest
#include <boost/test/unit_test.hpp>
