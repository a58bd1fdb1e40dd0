// Guards against a caller that gets no answer because it has ended its sending
// side after its request, and against answers to it that are not true.
#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <ostream>

#include "UsersPlatform/gateway_fixture.h"
#include "net/http_wire.h"

namespace balsamhall::platform {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using tcp = asio::ip::tcp;

constexpr int kCallers = 60;
constexpr Milliseconds kWorkTime{700};
constexpr Milliseconds kMaxWorkAfterLeaving{500};

struct RawCaller {
  RawCaller(GatewayFixture& fixture, const std::string& target, std::string id)
      : id(std::move(id)), socket(callers) {
    const HttpRequest request = GatewayFixture::Request(target, this->id);
    std::string text = request.method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: 0\r\n\r\n";
    socket.connect(*http_wire::ParseAddress(fixture.front_address));
    asio::write(socket, asio::buffer(text));
    socket.non_blocking(true);
  }

  // Reads what has arrived; returns whether the connection has ended.
  bool ReadSome() {
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    BOOST_TEST((error == asio::error::eof || error == asio::error::would_block),
               error.message());
    return error == asio::error::eof;
  }
  std::string Status() const { return answer.substr(0, 12); }

  std::string id;
  asio::io_context callers{1};
  tcp::socket socket;
  std::string answer;
};

struct HalfCloseCase {
  const char* name;
  const char* target;
  const char* status;  // of those that are under way
  bool cancelled;
};
std::ostream& operator<<(std::ostream& out, const HalfCloseCase& input) {
  return out << input.name;
}
const HalfCloseCase kHalfCloseCases[] = {
    {"idempotent", "/slow/read/1", "HTTP/1.1 502", true},
    {"not idempotent", "/slow/write/1", "HTTP/1.1 200", false},
};

BOOST_DATA_TEST_CASE_F(GatewayFixture,
                       a_caller_that_only_ends_its_sending_side_is_answered,
                       data::make(kHalfCloseCases), input) {
  plain1.set_work_time(kWorkTime);
  plain2.set_work_time(kWorkTime);
  RawCaller caller(*this, input.target, "r");
  BOOST_REQUIRE(RunUntil([&] { return Runs("r") == 1; }));
  caller.socket.shutdown(tcp::socket::shutdown_send);
  BOOST_TEST(
      RunUntil([&] { return caller.ReadSome(); },
               input.cancelled ? kMaxWorkAfterLeaving : Milliseconds(2'000)));
  BOOST_TEST(caller.Status() == input.status);
  BOOST_TEST(RunUntil(
      [&] { return plain1.aborted() + plain2.aborted() == input.cancelled; },
      kMaxWorkAfterLeaving));
  BOOST_TEST(Runs("r") == 1);
}

// Guards against work for a caller that has reset its connection.
BOOST_FIXTURE_TEST_CASE(a_reset_cancels_idempotent_work, GatewayFixture) {
  plain1.set_work_time(kWorkTime);
  plain2.set_work_time(kWorkTime);
  RawCaller caller(*this, "/slow/read/1", "r");
  BOOST_REQUIRE(RunUntil([&] { return Runs("r") == 1; }));
  caller.socket.set_option(tcp::socket::linger(true, 0));
  caller.socket.close();
  BOOST_TEST(RunUntil([&] { return plain1.aborted() + plain2.aborted() == 1; },
                      kMaxWorkAfterLeaving));
}

// The endpoints have more to do than they take at a time.
BOOST_DATA_TEST_CASE_F(GatewayFixture, answers_to_half_closed_callers_are_true,
                       data::make(kHalfCloseCases), input) {
  plain1.set_work_time(kWorkTime);
  plain2.set_work_time(kWorkTime);
  std::vector<std::unique_ptr<RawCaller>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(*this, input.target,
                                                  "r" + std::to_string(i)));
  }
  RunFor(loop, Milliseconds(100));
  for (const auto& caller : callers) {
    caller->socket.shutdown(tcp::socket::shutdown_send);
  }
  BOOST_TEST(RunUntil(
      [&] {
        return std::ranges::all_of(
            callers, [](const auto& caller) { return caller->ReadSome(); });
      },
      Milliseconds(3'000)));
  RunFor(loop, kWorkTime);
  for (const auto& caller : callers) {
    BOOST_TEST_CONTEXT(caller->id << ": " << caller->answer) {
      const bool rejected = caller->Status() == "HTTP/1.1 503";
      BOOST_TEST((rejected || caller->Status() == input.status));
      if (rejected) BOOST_TEST(Runs(caller->id) == 0);
    }
  }
  const auto rejected = std::ranges::count_if(callers, [](const auto& caller) {
    return caller->Status() == "HTTP/1.1 503";
  });
  BOOST_TEST(rejected > 0);
  BOOST_TEST(rejected < kCallers);
}

}  // namespace
}  // namespace balsamhall::platform
