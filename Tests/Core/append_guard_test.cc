#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/ownership_controller.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

LogRecordRead MakeRead(std::uint64_t offset, const std::string& writer,
                       const schema::LogRecord& record) {
  LogRecordRead read;
  read.offset = offset;
  read.writer = writer;
  read.sequence = 1;
  read.record = record;
  return read;
}

schema::LogRecord MakeJoin(std::uint64_t replaces, std::uint64_t nonce) {
  schema::LogRecord record;
  record.mutable_router_joined()->set_id("r2");
  record.mutable_router_joined()->set_replaces(replaces);
  record.mutable_router_joined()->set_nonce(nonce);
  return record;
}

// Guards against the duplicate of an append whose response was lost. An
// operator declared the old process of r2 lost; the duplicate of that record
// follows the join of the next process, which is running. Without the check
// that process would count as gone, and its endpoints could be reset.
BOOST_DATA_TEST_CASE(RepeatedDeclarationDoesNotMarkNextProcessGone,
                     data::make({false, true}), guard_removed) {
  OwnershipOptions options;
  if (guard_removed) options.removed_guards = {Guard::kAppendDeduplication};
  schema::RouterJoined self;
  self.set_id("r1");
  OwnershipController controller(self, options, 1);
  const SteadyTime now{std::chrono::seconds(10)};
  controller.Handle(LogReadFinished{true, 1, 1, Milliseconds{60000}}, now);
  schema::LogRecord lost;
  lost.mutable_vm_declared_lost()->set_vm("r2");
  controller.Handle(MakeRead(5, "r2#1", MakeJoin(0, 1)), now);
  controller.Handle(MakeRead(6, "operator", lost), now);
  BOOST_CHECK_EQUAL(controller.status(now).peers_size(), 0);
  controller.Handle(MakeRead(7, "r2#2", MakeJoin(5, 2)), now);
  BOOST_CHECK_EQUAL(controller.status(now).peers_size(), 1);
  controller.Handle(MakeRead(8, "operator", lost), now);
  BOOST_CHECK_EQUAL(controller.status(now).peers_size(), guard_removed ? 0 : 1);
}

}  // namespace
}  // namespace balsamhall
