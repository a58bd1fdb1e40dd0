#include "net/peer_transport.h"

#include <boost/asio.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using Tcp = asio::ip::tcp;

schema::PeerMessage Message(std::uint64_t correlation, std::size_t body = 1) {
  schema::PeerMessage message;
  message.mutable_forward_request()->set_correlation(correlation);
  message.mutable_forward_request()->set_body(std::string(body, 'x'));
  return message;
}

// One loop with a receiving and a sending transport.
struct Fixture {
  explicit Fixture(PeerTransportOptions options = {})
      : receiver(
            loop, options,
            [this](PeerTransport::ConnectionId id,
                   const schema::PeerMessage& message) {
              received.push_back(message.forward_request().correlation());
              schema::PeerMessage reply;
              reply.mutable_forward_reply()->set_correlation(received.back());
              if (replies) receiver.Reply(id, reply);
            }),
        sender(loop, options,
               [this](PeerTransport::ConnectionId,
                      const schema::PeerMessage& message) {
                 answered.push_back(message.forward_reply().correlation());
               }) {
    const auto port = receiver.Listen("127.0.0.1:0");
    BOOST_REQUIRE(port);
    address = "127.0.0.1:" + std::to_string(port.value());
    receiver.set_fault_handler([this](ResultCode code, const std::string&) {
      faults.push_back(code);
    });
    sender.set_fault_handler([this](ResultCode code, const std::string&) {
      sender_faults.push_back(code);
    });
    sender.set_lost_handler([this](const std::string&, bool opened) {
      ++lost;
      lost_opened = opened;
    });
  }

  template <typename Condition>
  bool RunUntil(Condition condition, Milliseconds limit = Milliseconds(3000)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_for(Milliseconds(5));
    }
    return condition();
  }

  asio::io_context loop;
  bool replies = true;
  std::vector<std::uint64_t> received;
  std::vector<std::uint64_t> answered;
  std::vector<ResultCode> faults;
  std::vector<ResultCode> sender_faults;
  int lost = 0;
  bool lost_opened = false;
  std::string address;
  PeerTransport receiver;
  PeerTransport sender;
};

// Guards against frames that are cut, joined or reordered at buffer bounds.
BOOST_DATA_TEST_CASE(FramesArriveWholeAndInOrder,
                     data::make({1U, 1000U, 65'532U, 65'536U, 1'000'000U}),
                     body) {
  Fixture fixture;
  std::vector<std::uint64_t> expected;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    BOOST_REQUIRE(fixture.sender.Send(fixture.address, Message(i, body)));
    expected.push_back(i);
  }
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.answered.size() == 20; }));
  BOOST_TEST(fixture.received == expected, boost::test_tools::per_element());
  BOOST_TEST(fixture.answered == expected, boost::test_tools::per_element());
}

struct BrokenInput {
  const char* name;
  std::string bytes;
  bool closes;
  bool reports;
};

std::ostream& operator<<(std::ostream& out, const BrokenInput& input) {
  return out << input.name;
}

const std::vector<BrokenInput>& BrokenInputs() {
  static const std::vector<BrokenInput> inputs{
      {"oversized frame", std::string("\x7f\xff\xff\xff", 4), true, true},
      {"one byte above the limit", std::string("\x01\x00\x00\x01", 4), true,
       true},
      {"broken protobuf", std::string("\x00\x00\x00\x03\xff\xff\xff", 7), true,
       true},
      {"HTTP instead of frames", "GET / HTTP/1.1\r\n\r\n", true, true},
      {"empty frame", std::string("\x00\x00\x00\x00", 4), false, false},
      {"part of a prefix", std::string("\x00\x00", 2), false, false},
  };
  return inputs;
}

// Guards against a broken frame that ends the process or other connections.
BOOST_DATA_TEST_CASE(BrokenInputClosesOnlyItsConnection,
                     data::make(BrokenInputs()), input) {
  Fixture fixture;
  BOOST_REQUIRE(fixture.sender.Send(fixture.address, Message(1)));
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.answered.size() == 1; }));

  Tcp::socket raw(fixture.loop);
  const auto port = static_cast<std::uint16_t>(
      std::stoi(fixture.address.substr(fixture.address.find(':') + 1)));
  raw.connect({asio::ip::make_address("127.0.0.1"), port});
  asio::write(raw, asio::buffer(input.bytes));
  bool closed = false;
  char byte = 0;
  raw.async_read_some(asio::buffer(&byte, 1),
                      [&](boost::system::error_code error, std::size_t) {
                        closed = static_cast<bool>(error);
                      });
  BOOST_CHECK_EQUAL(fixture.RunUntil([&] { return closed; }, Milliseconds(200)),
                    input.closes);
  BOOST_CHECK_EQUAL(fixture.faults.size(), input.reports ? 1U : 0U);
  if (input.reports && !fixture.faults.empty()) {
    BOOST_CHECK(fixture.faults.front() == ResultCode::kPeerFrameMalformed);
  }
  BOOST_REQUIRE(fixture.sender.Send(fixture.address, Message(2)));
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.answered.size() == 2; }));
  BOOST_CHECK_EQUAL(fixture.lost, 0);
}

// Guards against frames sent for ever into a connection that went silent.
BOOST_AUTO_TEST_CASE(SilentConnectionIsClosedAndOpenedAnew) {
  PeerTransportOptions options;
  options.silence_timeout = Milliseconds(200);
  options.reconnect_delay = Milliseconds(20);
  Fixture fixture(options);
  // A listener of the kernel that never reads stands for the silent path.
  Tcp::acceptor silent(fixture.loop, {asio::ip::make_address("127.0.0.1"), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  BOOST_REQUIRE(fixture.sender.Send(address, Message(1)));
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.lost == 1; }));
  BOOST_CHECK(fixture.RunUntil(
      [&] { return fixture.sender.Send(address, Message(2)); }));
}

// Guards against a healthy connection that is closed because the receiver has
// nothing to say: it acknowledges without a message.
BOOST_AUTO_TEST_CASE(OneWayTrafficKeepsItsConnection) {
  PeerTransportOptions options;
  options.silence_timeout = Milliseconds(200);
  Fixture fixture(options);
  fixture.replies = false;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    BOOST_REQUIRE(fixture.sender.Send(fixture.address, Message(i)));
    fixture.RunUntil([&] { return fixture.received.size() == i; });
    fixture.RunUntil([] { return false; }, Milliseconds(30));
  }
  BOOST_CHECK_EQUAL(fixture.received.size(), 20U);
  BOOST_CHECK_EQUAL(fixture.lost, 0);
}

// Guards against a sender that never finds a restarted receiver again.
BOOST_AUTO_TEST_CASE(SenderReconnectsAfterLoss) {
  Fixture fixture;
  std::optional<PeerTransport> other;
  const auto handler = [&](PeerTransport::ConnectionId,
                           const schema::PeerMessage& message) {
    fixture.received.push_back(message.forward_request().correlation());
  };
  other.emplace(fixture.loop, PeerTransportOptions{}, handler);
  const std::uint16_t port = other->Listen("127.0.0.1:0").value();
  const std::string address = "127.0.0.1:" + std::to_string(port);
  BOOST_REQUIRE(fixture.sender.Send(address, Message(1)));
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.received.size() == 1; }));
  other.reset();
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.lost == 1; }));
  BOOST_CHECK(fixture.lost_opened);
  BOOST_CHECK(!fixture.sender.Send(address, Message(2)));  // reconnect delay
  other.emplace(fixture.loop, PeerTransportOptions{}, handler);
  BOOST_REQUIRE(other->Listen(address));
  BOOST_CHECK(fixture.RunUntil([&] {
    if (fixture.received.size() < 2) fixture.sender.Send(address, Message(3));
    return fixture.received.size() >= 2;
  }));
}

// Guards against memory that grows without bound behind a slow receiver.
BOOST_AUTO_TEST_CASE(FullQueueRefusesFrames) {
  PeerTransportOptions options;
  options.max_queued_bytes = 100'000;
  Fixture fixture(options);
  int accepted = 0;
  while (accepted < 1000 &&
         fixture.sender.Send(fixture.address, Message(1, 10'000))) {
    ++accepted;
  }
  BOOST_CHECK_EQUAL(accepted, 9);
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.received.size() == 9; }));
  BOOST_CHECK(fixture.sender.Send(fixture.address, Message(2, 10'000)));
}

// Guards against a refused connection that is reported as sent for ever.
BOOST_AUTO_TEST_CASE(UnreachableAddressIsReported) {
  Fixture fixture;
  Tcp::acceptor taken(fixture.loop, {asio::ip::make_address("127.0.0.1"), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
  taken.close();
  fixture.sender.Send(address, Message(1));
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.lost == 1; }));
  BOOST_CHECK(!fixture.lost_opened);
  BOOST_REQUIRE_EQUAL(fixture.sender_faults.size(), 1U);
  BOOST_CHECK(fixture.sender_faults[0] == ResultCode::kPeerUnreachable);
  BOOST_CHECK(!fixture.sender.Send("nonsense", Message(1)));
}

}  // namespace
}  // namespace balsamhall
