#define BOOST_TEST_MODULE replication
#include <boost/test/unit_test.hpp>
