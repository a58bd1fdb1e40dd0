// Unit tests of how old the store's word is, over several gateways.
#include "gateway/store_proofs.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;

constexpr BootTime At(int milliseconds) {
  return BootTime(std::chrono::hours(100)) + Milliseconds(milliseconds);
}

struct HopCase {
  const char* name;
  int as_of;     // of the proof of the gateway that responds
  int sent;      // when the other one sent its request
  int arrived;   // when the request arrived
  int received;  // when the other one processed the response
  int expected;  // of the proof that the other one gets
};

std::ostream& operator<<(std::ostream& out, const HopCase& c) {
  return out << c.name;
}

const HopCase kHops[] = {
    {"at once", 0, 500, 500, 500, 0},
    {"the request was under way for some time", 0, 500, 700, 700, -200},
    {"the store responded during a long poll", 900, 500, 500, 1'500, 900},
    {"the response was held", 900, 500, 500, 4'000, 900},
    {"the requester stood still until it read the response", 0, 500, 500, 9'000,
     0},
    {"the responder stood still until it read the request", 0, 500, 3'500,
     3'500, -3'000},
    {"never later than the response", 2'000, 500, 500, 1'000, 1'000},
};

// Guards against an answer that proves more than the store has said.
BOOST_DATA_TEST_CASE(a_proof_ages_on_its_way, data::make(kHops), hop) {
  const ProofAge age = AgeAt({At(hop.as_of), 2}, At(hop.arrived));
  const LogProof proof = ProofFrom(age, At(hop.sent), At(hop.received));
  BOOST_TEST((proof == LogProof{At(hop.expected), 3}));
}

BOOST_AUTO_TEST_CASE(what_the_store_never_said_proves_nothing) {
  const ProofAge age = AgeAt({}, At(0));
  BOOST_TEST((ProofFrom(age, At(0), At(0)).as_of == BootTime{}));
}

BOOST_AUTO_TEST_CASE(the_state_is_as_old_as_its_oldest_log) {
  StoreProofs proofs;
  proofs.Extend(Log::kOperatorConfig, {At(500), 1});
  BOOST_TEST((proofs.oldest() == BootTime{}));
  proofs.Extend(Log::kEndpointRegistry, {At(300), 0});
  BOOST_TEST((proofs.oldest() == At(300)));
  // An earlier proof does not replace a later one.
  proofs.Extend(Log::kOperatorConfig, {At(200), 0});
  BOOST_TEST((proofs.Of(Log::kOperatorConfig) == LogProof{At(500), 1}));
  BOOST_TEST((proofs.oldest() == At(300)));
}

}  // namespace
}  // namespace balsamhall::gateway
