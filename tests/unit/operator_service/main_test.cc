#define BOOST_TEST_MODULE operator_service
#include <boost/test/unit_test.hpp>
