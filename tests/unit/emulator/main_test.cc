#define BOOST_TEST_MODULE emulator
#include <boost/test/unit_test.hpp>
