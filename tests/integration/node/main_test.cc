#define BOOST_TEST_MODULE node_integration
#include <boost/test/unit_test.hpp>
