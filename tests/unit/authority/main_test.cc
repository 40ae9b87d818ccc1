#define BOOST_TEST_MODULE authority
#include <boost/test/unit_test.hpp>
