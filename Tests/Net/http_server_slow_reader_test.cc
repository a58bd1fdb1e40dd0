// Guards against callers that are cut off although they read, only slowly, and
// against memory that those who do not read hold from others.
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using tcp = asio::ip::tcp;

// More than the system buffers for a connection on loopback.
constexpr std::size_t kLarge = 16U << 20U;
constexpr std::size_t kMemory = 24U << 20U;
constexpr Milliseconds kTurn{10};

struct SlowReaderFixture {
  explicit SlowReaderFixture(Milliseconds transfer_timeout,
                             std::size_t max_response_bytes = kMemory)
      : server(loop, Options(transfer_timeout, max_response_bytes),
               [this](const HttpRequest& request,
                      const HttpServer::Respond& respond) {
                 ++started;
                 if (request.target == "/open") return;
                 respond({200, {}, std::string(kLarge, 'x')});
               }) {
    server.set_overtake_filter([](const HttpRequest&) { return true; });
    server.set_abort_handler([this](std::uint64_t) { ++aborts; });
    server.set_fault_handler([this](ResultCode, const std::string& detail) {
      faults.push_back(detail);
    });
    caller.connect({asio::ip::address_v4::loopback(),
                    server.Listen("127.0.0.1:0").value()});
  }

  HttpServerOptions Options(Milliseconds transfer_timeout,
                            std::size_t max_response_bytes) const {
    HttpServerOptions options;
    options.max_requests_per_connection = 4;
    options.transfer_timeout = transfer_timeout;
    options.response_memory = memory;
    options.max_response_bytes_per_connection = max_response_bytes;
    return options;
  }

  void Request(const std::string& target) {
    asio::write(caller, asio::buffer("GET " + target + " HTTP/1.1\r\n\r\n"));
    Run(kTurn * 3);
  }

  void Run(Milliseconds time) {
    loop.restart();
    loop.run_for(time);
  }

  // Reads up to so many bytes a turn until the end of the time; returns the
  // number of all.
  std::size_t Read(std::size_t per_turn, Milliseconds time) {
    std::size_t total = 0;
    std::string text(per_turn, '\0');
    caller.non_blocking(true);
    for (int turn = 0; turn < time / kTurn && total < kLarge; ++turn) {
      Run(kTurn);
      boost::system::error_code error;
      total += caller.read_some(asio::buffer(text), error);
    }
    return total;
  }

  asio::io_context loop{1};
  asio::io_context callers{1};
  std::shared_ptr<BodyMemory> memory = std::make_shared<BodyMemory>(kMemory);
  int started = 0;
  int aborts = 0;
  std::vector<std::string> faults;
  HttpServer server;
  tcp::socket caller{callers};
};

struct ReadingCase {
  const char* name;
  std::size_t per_turn;
  bool served;
};
std::ostream& operator<<(std::ostream& out, const ReadingCase& input) {
  return out << input.name;
}
const ReadingCase kReadings[] = {
    {"slowly", 192U << 10U, true},
    {"a few bytes at a time", 100, false},
};

// A response takes several times the time-out when it is read slowly.
BOOST_DATA_TEST_CASE(only_a_caller_that_does_not_read_on_is_cut_off,
                     data::make(kReadings), input) {
  SlowReaderFixture fixture(Milliseconds(250));
  fixture.Request("/large");
  fixture.Request("/open");
  const std::size_t read = fixture.Read(input.per_turn, Milliseconds(4'000));
  BOOST_TEST((read >= kLarge) == input.served);
  BOOST_TEST(fixture.server.connections() == (input.served ? 1U : 0U));
  BOOST_TEST(fixture.aborts == (input.served ? 0 : 1));
  BOOST_TEST(fixture.memory->taken() == 0U);
}

struct MemoryCase {
  const char* name;
  bool reads;
  bool given_up;
};
std::ostream& operator<<(std::ostream& out, const MemoryCase& input) {
  return out << input.name;
}
const MemoryCase kMemories[] = {
    {"unread", false, true},
    {"being read", true, false},
};

BOOST_DATA_TEST_CASE(unread_responses_give_way_when_memory_is_short,
                     data::make(kMemories), input) {
  SlowReaderFixture fixture(Milliseconds(30'000));
  fixture.Request("/large");
  fixture.Request("/open");
  BOOST_TEST(fixture.memory->taken() == kLarge);
  if (input.reads) {
    fixture.Read(48U << 10U, Milliseconds(1'600));
  } else {
    fixture.Run(Milliseconds(1'600));
  }
  UnfinishedBody other{"endpoint", 0, [] {}};
  BOOST_TEST(fixture.memory->Grow(other, kMemory / 3 + (1U << 20U)) ==
             input.given_up);
  fixture.Run(kTurn);
  BOOST_TEST(fixture.server.connections() == (input.given_up ? 0U : 1U));
  BOOST_TEST(fixture.aborts == (input.given_up ? 1 : 0));
  BOOST_TEST(fixture.faults.size() == (input.given_up ? 1U : 0U));
  fixture.memory->Release(other);
}

// Guards against a caller that sends requests on and reads no response.
BOOST_AUTO_TEST_CASE(a_connection_whose_responses_wait_is_not_read) {
  SlowReaderFixture fixture(Milliseconds(30'000), kLarge - 1);
  fixture.Request("/open");
  for (int i = 0; i < 3; ++i) fixture.Request("/large");
  BOOST_TEST(fixture.started == 2);
  BOOST_TEST(fixture.memory->taken() == kLarge);
}

// Guards against further work for callers while memory is full.
BOOST_AUTO_TEST_CASE(requests_wait_for_their_turn_while_memory_is_full) {
  SlowReaderFixture fixture(Milliseconds(30'000));
  fixture.Request("/large");
  UnfinishedBody other{"endpoint", 0, [] {}};
  fixture.memory->TakeAnyway(other, kMemory);
  fixture.Request("/open");
  BOOST_TEST(fixture.started == 1);
  fixture.memory->Release(other);
  fixture.Read(4U << 20U, Milliseconds(2'000));
  fixture.Run(kTurn);
  BOOST_TEST(fixture.started == 2);
}

}  // namespace
}  // namespace balsamhall
