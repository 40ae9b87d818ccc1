#define BOOST_TEST_MODULE standin
#include <boost/test/unit_test.hpp>
