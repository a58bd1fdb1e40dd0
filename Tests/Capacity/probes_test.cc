#include "capacity/probes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <ostream>

#include "capacity/target_model.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

constexpr std::size_t kSmall = 128;

// Guards against a probe that stops working when the code it measures changes.
BOOST_AUTO_TEST_CASE(EveryProbeMeasuresAtSmallSizes) {
  std::vector<Slope> all;
  for (const Probe& probe : AllProbes()) {
    BOOST_TEST_CONTEXT(probe.name) {
      for (const Slope& slope : RunProbe(probe, 1, kSmall)) {
        BOOST_CHECK_GE(slope.samples.size(), 2U);
        for (const Sample& sample : slope.samples) {
          BOOST_CHECK(std::isfinite(sample.value));
        }
        all.push_back(slope);
      }
    }
  }
  BOOST_CHECK(TargetModel(all).complete());
  BOOST_CHECK(ToCsv(all).find("routers,heartbeats in,B,router,8,") !=
              std::string::npos);
}

struct CountCase {
  const char* probe;
  const char* measure;
};

std::ostream& operator<<(std::ostream& out, const CountCase& count) {
  return out << count.probe;
}

const std::vector<CountCase> kCountCases = {{"primary", "serving"},
                                            {"primary-unfenced", "serving"},
                                            {"dispatcher", "started"},
                                            {"request-memory", "remembered"}};

// Guards against a figure of work that was refused instead of done.
BOOST_DATA_TEST_CASE(ProbeDoesTheWorkThatItMeasures, data::make(kCountCases),
                     count) {
  for (const Probe& probe : AllProbes()) {
    if (probe.name != count.probe) continue;
    for (const Slope& slope : RunProbe(probe, 1, kSmall)) {
      if (slope.measure.name != count.measure) continue;
      for (const Sample& sample : slope.samples) {
        BOOST_CHECK_EQUAL(sample.value, sample.size);
      }
      return;
    }
  }
  BOOST_FAIL("no such measure");
}

// Guards against a wrong extrapolation to the target size.
BOOST_AUTO_TEST_CASE(InterpolationFollowsTheNearestSamples) {
  const std::vector<Sample> samples = {{1, 10}, {3, 20}, {5, 60}};
  BOOST_CHECK_EQUAL(Interpolate(samples, 2), 15);
  BOOST_CHECK_EQUAL(Interpolate(samples, 4), 40);
  BOOST_CHECK_EQUAL(Interpolate(samples, 7), 100);
  BOOST_CHECK_EQUAL(Interpolate(samples, 0), 5);
}

// Guards against a wrong size at which a mechanism leaves its budget.
BOOST_AUTO_TEST_CASE(LargestSizeWithinABudget) {
  const auto square = [](double n) { return n * n; };
  BOOST_CHECK_EQUAL(LargestWithin(square, 100, 4400), 10);
  BOOST_CHECK_EQUAL(LargestWithin(square, 99, 4400), 9);
  BOOST_CHECK_EQUAL(LargestWithin(square, 1e9, 4400), 4400);
  BOOST_CHECK_EQUAL(LargestWithin(square, -1, 4400), 0);
}

}  // namespace
}  // namespace balsamhall
