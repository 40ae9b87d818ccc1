#define BOOST_TEST_MODULE standin_fleet
#include <boost/test/unit_test.hpp>
