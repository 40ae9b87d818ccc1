#define BOOST_TEST_MODULE standin_processes
#include <boost/test/unit_test.hpp>
