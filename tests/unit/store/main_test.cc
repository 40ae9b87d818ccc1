#define BOOST_TEST_MODULE store
#include <boost/test/unit_test.hpp>
