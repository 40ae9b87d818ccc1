#define BOOST_TEST_MODULE gateway_store
#include <boost/test/unit_test.hpp>
