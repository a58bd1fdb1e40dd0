#include "capacity/line_fit.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

struct FitCase {
  const char* name;
  std::vector<Sample> samples;
  double slope;
  double intercept;
  double residual;
};

std::ostream& operator<<(std::ostream& out, const FitCase& fit) {
  return out << fit.name;
}

const std::vector<FitCase> kFitCases = {
    {"exact line", {{1, 5}, {2, 7}, {10, 23}}, 2, 3, 0},
    {"falling line", {{0, 4}, {2, 0}}, -2, 4, 0},
    {"constant", {{1, 3}, {5, 3}}, 0, 3, 0},
    {"all zero", {{1, 0}, {5, 0}}, 0, 0, 0},
    // Deviations of -1, 2 and -1 around y = x: sqrt(2) / mean 4.
    {"deviations", {{3, 2}, {4, 6}, {5, 4}}, 1, 0, 0.35355339},
};

// Guards against a wrong slope or residual, on which every figure of
// docs/CAPACITY.md rests.
BOOST_DATA_TEST_CASE(LineHasSlopeInterceptAndResidual, data::make(kFitCases),
                     fit_case) {
  const auto fit = FitLine(fit_case.samples);
  BOOST_REQUIRE(fit.has_value());
  BOOST_CHECK_SMALL(fit->slope - fit_case.slope, 1e-7);
  BOOST_CHECK_SMALL(fit->intercept - fit_case.intercept, 1e-7);
  BOOST_CHECK_SMALL(fit->residual - fit_case.residual, 1e-7);
}

// Guards against a division by zero where no line is determined.
BOOST_AUTO_TEST_CASE(NoLineWithoutTwoSizes) {
  const std::vector<Sample> one = {{4, 1}};
  const std::vector<Sample> same = {{4, 1}, {4, 9}};
  BOOST_CHECK(!FitLine({}));
  BOOST_CHECK(!FitLine(one));
  BOOST_CHECK(!FitLine(same));
}

// Guards against an outlier of one run that reaches the figures.
BOOST_AUTO_TEST_CASE(MedianIgnoresAnOutlier) {
  BOOST_CHECK_EQUAL(Median({7}), 7);
  BOOST_CHECK_EQUAL(Median({900, 2, 3}), 3);
  BOOST_CHECK_EQUAL(Median({4, 1, 2, 900}), 3);
}

}  // namespace
}  // namespace balsamhall
