#define BOOST_TEST_MODULE observability
#include <boost/test/unit_test.hpp>
