#define BOOST_TEST_MODULE balsamhall
#include <boost/test/unit_test.hpp>
