#define BOOST_TEST_MODULE partition
#include <boost/test/unit_test.hpp>
