#define BOOST_TEST_MODULE rehearsal
#include <boost/test/unit_test.hpp>
