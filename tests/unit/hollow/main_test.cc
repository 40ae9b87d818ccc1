#define BOOST_TEST_MODULE hollow
#include <boost/test/unit_test.hpp>
