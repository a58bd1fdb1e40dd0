#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/ownership_controller.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

bool Reports(const OwnershipActions& actions, const std::string& name) {
  return std::ranges::any_of(actions, [&](const OwnershipAction& action) {
    const auto* report = std::get_if<ReportEvent>(&action);
    return report != nullptr && report->name == name;
  });
}

// Guards against applying the records after a truncated part of the log as if
// none were missing: the gap must be detected with the first record of the
// page, not at its end.
BOOST_DATA_TEST_CASE(GapIsDetectedBeforeTheNextRecord,
                     data::make({std::uint64_t{0}, std::uint64_t{1},
                                 std::uint64_t{40}}),
                     first_offset) {
  schema::RouterJoined self;
  self.set_id("r1");
  OwnershipController controller(self, OwnershipOptions{}, 1);
  const SteadyTime now{std::chrono::seconds(10)};
  controller.Handle(LogReadFinished{true, 1, 1, Milliseconds{60000}}, now);
  schema::LogRecord record;
  record.mutable_vm_declared_lost()->set_vm("v");
  const auto actions = controller.Handle(
      LogRecordRead{40, "w", 1, Milliseconds{0}, record, first_offset}, now);
  BOOST_CHECK_EQUAL(Reports(actions, "log_truncated"), first_offset == 40);
}

}  // namespace
}  // namespace balsamhall
