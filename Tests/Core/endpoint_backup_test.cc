#include "core/endpoint_backup.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "Core/fake_control_context.h"
#include "core/lease_holder.h"

namespace balsamhall {
namespace {

struct ResponderCase {
  const char* name;
  EndpointId responder;  // to the grants for e1
  int failovers;
};

std::ostream& operator<<(std::ostream& out, const ResponderCase& test) {
  return out << test.name;
}

const ResponderCase kResponders[] = {
    {"the endpoint", "e1", 1},
    {"another endpoint at its address", "e9", 0},
};

// Guards against a failover of another endpoint, which answers at the address
// of the one that is handed over.
BOOST_DATA_TEST_CASE(OnlyTheEndpointItselfFailsOver,
                     boost::unit_test::data::make(kResponders), test) {
  FakeControlContext context;
  LeaseHolder responder(test.responder, 5, true);
  schema::GrantRequest grant;
  schema::View* const view = grant.mutable_view();
  view->set_endpoint(test.responder);
  view->set_endpoint_incarnation(responder.incarnation());
  *view->mutable_term() = ToProto(Fence{10, 1});
  *view->mutable_primary() = ToProto(RouterRef{"r2", 2});
  *view->mutable_backup() = ToProto(context.router);
  grant.set_sequence(1);
  BOOST_REQUIRE(responder.OnGrant(grant, context.time, 0).status() ==
                schema::GRANT_ACCEPTED);

  schema::Handover handover;
  *handover.mutable_view() = *view;
  handover.mutable_view()->set_endpoint("e1");
  EndpointBackup backup(&context, handover.view());
  backup.OnHandover(handover);
  int failovers = 0;
  for (int i = 0; i < 3; ++i) {
    context.time += Milliseconds(150);
    backup.OnTick();
    for (const OwnershipAction& action : std::exchange(context.actions, {})) {
      const auto& request = std::get<SendGrant>(action).request;
      if (!request.read_only()) ++failovers;
      if (failovers > 0) break;
      backup.OnGrantResponse(responder.OnGrant(request, context.time, 0));
    }
  }
  BOOST_CHECK_EQUAL(failovers, test.failovers);
}

}  // namespace
}  // namespace balsamhall
