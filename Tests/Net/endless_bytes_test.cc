// Bytes without end, read by the HTTP client and by the HTTP server.
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "StandIn/await.h"
#include "StandIn/endless_server.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using stand_in::EndlessAnswer;
using stand_in::EndlessServer;

constexpr std::size_t kMaxBodyBytes = 1U << 20U;
// Limit of the body, and what the two sockets may hold.
constexpr std::uint64_t kMaxSentBytes = kMaxBodyBytes + (24U << 20U);
constexpr Milliseconds kTimeout{2'000};
constexpr Milliseconds kDrippingTimeout{200};
// A caller's answer may come that late after its time-out.
constexpr Milliseconds kMaxLateness{500};
constexpr std::size_t kMaxGrowthBytes = 16U << 20U;
constexpr Milliseconds kTick{5};
constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kLongBytes = 3 * kMegabyte;
constexpr std::size_t kSoundBytes = 6 * kMegabyte;
constexpr int kExchanges = 16;
constexpr std::size_t kStatedBytes = 8U << 20U;
constexpr int kLong = 5;
constexpr std::size_t kAnswerBytes = 32U << 20U;  // more than sockets hold

std::size_t ResidentBytes() {
  std::size_t pages = 0;
  std::ifstream statm("/proc/self/statm");
  statm >> pages >> pages;
  return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string Padded(std::string line, std::size_t bytes) {
  line.resize(bytes - 2, 'x');
  return line + "\r\n";
}

struct AnswerCase {
  const char* name;
  EndlessAnswer answer;
  bool accept_unframed = true;
};
std::ostream& operator<<(std::ostream& out, const AnswerCase& input) {
  return out << input.name;
}

bool IsOther(const HttpRequest& /*request*/, const HttpResponse& response) {
  return FindHeader(response.headers, "Id") == "other";
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kSized = kOk + "Content-Length: 1000000\r\n\r\n";
const std::string kOther =
    "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx";
// As long as a power of two, so that the reads end at the ends of lines.
const std::string kLine = Padded("A: ", 64);
const std::string kWholeLines = Padded("HTTP/1.1 200 ", 64);

std::vector<AnswerCase> PouringCases() {
  return {
      {"not_http", {"", "garbage", {}}},
      {"status_line", {"HTTP/1.1 200 O", "xxxxxxx", {}}},
      {"headers", {kOk, "A: b\r\n", {}}},
      {"headers_that_end_with_the_reads", {kWholeLines, kLine, {}}},
      {"header_value", {kOk + "A: ", "xxxxxxx", {}}},
      {"header_name", {kOk, "xxxxxxx", {}}},
      {"folded_header", {kOk + "A: b\r\n", " c\r\n", {}}},
      {
          "length_over_the_limit",
          {kOk + "Content-Length: 4000000000\r\n\r\n", "x", {}},
      },
      {"chunked_body", {kChunked, "8\r\nxxxxxxxx\r\n", {}}},
      {"large_chunk", {kChunked + "ffffffff\r\n", "x", {}}},
      {"chunk_size", {kChunked, "0000000", {}}},
      {"chunk_extension", {kChunked + "1;", "xxxxxxx", {}}},
      {"last_chunk_extension", {kChunked + "0;", "xxxxxxx", {}}},
      {"trailers", {kChunked + "0\r\n", "A: b\r\n", {}}},
      {"trailer_value", {kChunked + "0\r\nA: ", "xxxxxxx", {}}},
      {"no_length", {kOk + "\r\n", "x", {}}},
      {"no_length_not_accepted", {kOk + "\r\n", "x", {}}, false},
      {"continue", {"", "HTTP/1.1 100 Continue\r\n\r\n", {}}},
      {"processing", {"", "HTTP/1.1 102 Processing\r\n\r\n", {}}},
      {
          "switching",
          {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "x", {}},
      },
      {"other_answers", {"", kOther, {}}},
  };
}

// Slow enough to stay below every limit.
std::vector<AnswerCase> DrippingCases() {
  std::vector<AnswerCase> cases = PouringCases();
  std::erase_if(cases, [](const AnswerCase& input) {
    const std::string name = input.name;
    return name == "not_http" || name == "length_over_the_limit" ||
           name == "large_chunk" || name == "switching" ||
           name == "folded_header";
  });
  cases.push_back({"sized_body", {kSized, "x", {}}});
  for (AnswerCase& input : cases) input.answer.interval = Milliseconds(20);
  return cases;
}

// A client and a clock that records the longest pause of its loop.
struct Fixture {
  Fixture() : ticks(loop) {
    options.max_body_bytes = kMaxBodyBytes;
    options.named_request = [](const HttpRequest& request,
                               const HttpResponse& response) {
      return IsOther(request, response) ? NamedRequest::kOther
                                        : NamedRequest::kThis;
    };
    at_start = ResidentBytes();
    Tick();
  }

  void Tick() {
    const auto due = std::chrono::steady_clock::now() + kTick;
    ticks.expires_at(due);
    ticks.async_wait([this, due](boost::system::error_code error) {
      if (error) return;
      const auto now = std::chrono::steady_clock::now();
      longest_pause =
          std::max<std::chrono::nanoseconds>(longest_pause, now - due + kTick);
      const std::size_t resident = ResidentBytes();
      growth = std::max(growth, resident - std::min(resident, at_start));
      Tick();
    });
  }

  template <typename Condition>
  bool RunUntil(Condition condition, Milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    loop.restart();
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(5));
    }
    return condition();
  }

  asio::io_context loop{1};
  asio::steady_timer ticks;
  std::chrono::nanoseconds longest_pause{};
  std::size_t at_start = 0;
  std::size_t growth = 0;
  HttpClientOptions options;
};

struct RequestCase {
  const char* name;
  std::string start;
  std::string repeated;
  Milliseconds interval;
  ResultCode fault;
};
std::ostream& operator<<(std::ostream& out, const RequestCase& input) {
  return out << input.name;
}

const std::string kWholeRequestLine = Padded("GET / HTTP/1.1", 16);

const std::string kChunkedRequest =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<RequestCase> RequestCases() {
  const auto large = ResultCode::kNotRunTooLarge;
  const auto late = ResultCode::kNotRunDeadline;
  const Milliseconds slow{20};
  return {
      {"headers", kWholeRequestLine, "A: b\r\n", {}, large},
      {"headers_that_end_with_the_reads",
       kWholeRequestLine,
       Padded("A: ", 16),
       {},
       large},
      {"header_value", kWholeRequestLine + "A: ", "xxxxxxx", {}, large},
      {"chunked_body", kChunkedRequest, "8\r\nxxxxxxxx\r\n", {}, large},
      {"chunk_extension", kChunkedRequest + "1;", "xxxxxxx", {}, large},
      {"trailers", kChunkedRequest + "0\r\n", "A: b\r\n", {}, large},
      {"slow_headers", kWholeRequestLine, "A: b\r\n", slow, late},
      {"slow_chunk_extension", kChunkedRequest + "1;", "xxxxxxx", slow, late},
  };
}

// A caller that sends a request without end to an HTTP server.
class EndlessCaller {
 public:
  EndlessCaller(asio::io_context& loop, std::uint16_t port,
                const RequestCase& input)
      : input_(input), socket_(loop), timer_(loop), block_(input.repeated) {
    while (input_.interval.count() == 0 && block_.size() < (64U << 10U)) {
      block_ += input_.repeated;
    }
    socket_.connect({asio::ip::address_v4::loopback(), port});
    Write(input_.start);
  }

  bool ended() const { return ended_; }

 private:
  void Write(const std::string& bytes) {
    asio::async_write(
        socket_, asio::buffer(bytes),
        [this](boost::system::error_code error, std::size_t /*bytes*/) {
          if (error) {
            ended_ = true;
            return;
          }
          timer_.expires_after(input_.interval);
          timer_.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) Write(block_);
          });
        });
  }

  const RequestCase input_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string block_;
  bool ended_ = false;
};

// Guards against a request without end that fills the memory, or is read for
// longer than the limits allow.
BOOST_DATA_TEST_CASE(RequestsWithoutEndReachALimit, data::make(RequestCases()),
                     input) {
  Fixture fixture;
  HttpServerOptions options;
  options.max_header_bytes = 16U << 10U;
  options.max_body_bytes = kMaxBodyBytes;
  options.header_timeout = Milliseconds(400);
  options.transfer_timeout = Milliseconds(600);
  options.idle_timeout = Milliseconds(8'000);
  bool handled = false;
  HttpServer server(
      fixture.loop, options,
      [&](const HttpRequest&, const HttpServer::Respond&) { handled = true; });
  std::vector<ResultCode> faults;
  server.set_fault_handler(
      [&](ResultCode code, const std::string&) { faults.push_back(code); });
  const std::uint16_t port = server.Listen("127.0.0.1:0").value();
  const EndlessCaller caller(fixture.loop, port, input);
  // The time-out, the time in which the rest is read and dropped, and two
  // intervals at which the server checks both.
  const Milliseconds most = *options.header_timeout + kTimeout;
  BOOST_CHECK(fixture.RunUntil([&] { return caller.ended(); }, most));
  BOOST_CHECK(!handled);
  BOOST_REQUIRE_EQUAL(faults.size(), 1U);
  BOOST_CHECK(faults.front() == input.fault);
  BOOST_CHECK_EQUAL(server.connections(), 0U);
  BOOST_CHECK_LT(fixture.growth, kMaxGrowthBytes);
}

// Guards against an answer without end that fills the memory, or is read until
// the time-out although a limit is reached.
BOOST_DATA_TEST_CASE(AnswersWithoutEndReachALimit, data::make(PouringCases()),
                     input) {
  Fixture fixture;
  fixture.options.accept_unframed = input.accept_unframed;
  const EndlessServer server(input.answer);
  HttpClient client(fixture.loop, server.address(), fixture.options);
  std::optional<HttpClient::Outcome> outcome;
  client.Send({"GET", "/", {}, "", 0}, kTimeout,
              [&](HttpClient::Outcome ended) { outcome = std::move(ended); });
  BOOST_REQUIRE(fixture.RunUntil([&] { return outcome.has_value(); },
                                 kTimeout + kMaxLateness));
  BOOST_CHECK(!outcome->response);
  BOOST_CHECK(outcome->error.failure == HttpFailure::kBadAnswer);
  BOOST_CHECK_LT(outcome->error.detail.size(), 100);
  BOOST_CHECK_EQUAL(client.open_connections(), 0);
  BOOST_CHECK(fixture.RunUntil([&] { return server.closed() == 1; },
                               Milliseconds(500)));
  BOOST_CHECK_EQUAL(server.asked(), 1);
  BOOST_CHECK_LT(server.sent_bytes(), kMaxSentBytes);
  BOOST_CHECK_LT(fixture.growth, kMaxGrowthBytes);
  BOOST_CHECK_LT(fixture.longest_pause.count(),
                 std::chrono::nanoseconds(kMaxLateness).count());
}

// Guards against an interim answer that is taken for the final one.
BOOST_AUTO_TEST_CASE(InterimAnswersAreNotTheAnswer) {
  Fixture fixture;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const EndlessServer server({"HTTP/1.1 100 Continue\r\n\r\n" + interim +
                                  interim + kOk + "Content-Length: 2\r\n\r\nok",
                              "",
                              {}});
  HttpClient client(fixture.loop, server.address(), fixture.options);
  const auto outcome = Await<HttpClient::Outcome>(fixture.loop, [&](auto done) {
    client.Send({"GET", "/", {}, "", 0}, kTimeout, done);
  });
  BOOST_REQUIRE(outcome.response);
  BOOST_CHECK_EQUAL(outcome.response->status, 200U);
  BOOST_CHECK_EQUAL(outcome.response->body, "ok");
  // The connection can be used again.
  BOOST_CHECK_EQUAL(client.open_connections(), 1U);
}

// Guards against memory that is allocated for bytes that were only announced.
BOOST_AUTO_TEST_CASE(StatedLengthsTakeNoMemory) {
  Fixture fixture;
  fixture.options.max_body_bytes = kStatedBytes;
  const EndlessServer server(
      {kOk + "Content-Length: " + std::to_string(kStatedBytes) + "\r\n\r\nx",
       "",
       {}});
  HttpClient client(fixture.loop, server.address(), fixture.options);
  const auto allocated = [] {
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  const std::size_t at_start = allocated();
  for (int i = 0; i < kExchanges; ++i) {
    client.Send({"GET", "/", {}, "", 0}, kTimeout,
                [](const HttpClient::Outcome&) {});
  }
  RunFor(fixture.loop, kTimeout / 2);
  BOOST_CHECK_EQUAL(server.asked(), kExchanges);
  BOOST_CHECK_LT(allocated(), at_start + kStatedBytes);
}

// Guards against short answers that fail because long ones hold the memory.
BOOST_AUTO_TEST_CASE(ShortAnswersFindRoomBesideLongOnes) {
  BodyMemory memory(1000);
  BOOST_CHECK(!memory.Take(600, 0));
  BOOST_CHECK(memory.Take(400, 0));
  BOOST_CHECK(!memory.Take(200, 400));
  BOOST_CHECK(memory.Take(100, 0));
  memory.Return(500);
  BOOST_CHECK(memory.Take(500, 0));
}

// Guards against answers that fail because another server's hold the memory.
BOOST_AUTO_TEST_CASE(TheServerThatHoldsMostGivesWay) {
  Fixture fixture;
  fixture.options.max_body_bytes = 8 * kMegabyte;
  fixture.options.answer_memory = std::make_shared<BodyMemory>(24 * kMegabyte);
  const auto head = [](std::size_t bytes) {
    return kOk + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
  };
  const EndlessServer faulty({head(kLongBytes), "x", {}, kLongBytes - 1});
  const EndlessServer sound(
      {head(kSoundBytes) + std::string(kSoundBytes, 'x'), "", {}});
  HttpClient faulty_client(fixture.loop, faulty.address(), fixture.options);
  HttpClient sound_client(fixture.loop, sound.address(), fixture.options);
  int given_up = 0;
  for (int i = 0; i < kLong; ++i) {
    faulty_client.Send({"GET", "/", {}, "", 0}, 2 * kTimeout,
                       [&](const HttpClient::Outcome& outcome) {
                         if (outcome.error.too_large) ++given_up;
                       });
  }
  BOOST_REQUIRE(fixture.RunUntil(
      [&] {
        return fixture.options.answer_memory->taken() == kLong * kLongBytes;
      },
      kTimeout));
  const auto outcome = Await<HttpClient::Outcome>(fixture.loop, [&](auto done) {
    sound_client.Send({"GET", "/", {}, "", 0}, kTimeout, done);
  });
  BOOST_REQUIRE_MESSAGE(outcome.response, outcome.error.detail);
  BOOST_CHECK_EQUAL(outcome.response->body.size(), kSoundBytes);
  BOOST_CHECK(fixture.RunUntil([&] { return given_up > 0; }, kTimeout));
  BOOST_CHECK_EQUAL(given_up, 1);
}

struct MemoryServer : Fixture {
  MemoryServer()
      : server(loop, {}, [this](const HttpRequest&, auto respond) {
          waiting.push_back(std::move(respond));
        }) {
    HttpServerOptions limits;
    limits.max_body_bytes = kMaxBodyBytes;
    limits.request_memory = requests;
    limits.response_memory = responses;
    server.set_options(limits);
    server.set_abort_handler([](std::uint64_t) {});
    port = server.Listen("127.0.0.1:0").value();
    client.emplace(loop, "127.0.0.1:" + std::to_string(port), options);
  }
  void Send(std::size_t body_bytes) {
    client->Send(
        {"POST", "/", {}, std::string(body_bytes, 'x'), 0}, kTimeout,
        [this](const HttpClient::Outcome& outcome) {
          statuses.push_back(outcome.response ? outcome.response->status : 0U);
        });
  }

  void Connect(asio::ip::tcp::socket& caller) const {
    caller.connect({asio::ip::address_v4::loopback(), port});
  }
  // Sends bytes, and returns the first ones of the answer.
  std::string Exchange(const std::string& bytes) {
    asio::ip::tcp::socket caller(loop);
    Connect(caller);
    std::string answer(64, ' ');
    bool read = false;
    asio::async_write(caller, asio::buffer(bytes), [](auto, auto) {});
    caller.async_read_some(asio::buffer(answer),
                           [&](auto, auto) { read = true; });
    BOOST_CHECK(RunUntil([&] { return read; }, kTimeout));
    return answer;
  }

  std::vector<HttpServer::Respond> waiting;
  std::shared_ptr<BodyMemory> requests =
      std::make_shared<BodyMemory>(6 * kMaxBodyBytes);
  std::shared_ptr<BodyMemory> responses =
      std::make_shared<BodyMemory>(6 * kMaxBodyBytes);
  HttpServer server;
  std::uint16_t port = 0;
  std::optional<HttpClient> client;
  std::vector<unsigned> statuses;
};

// Guards against bodies of requests that together fill the memory, and against
// small requests that find no room beside them.
BOOST_AUTO_TEST_CASE(RequestBodiesBeyondTheMemoryAreNotRun) {
  MemoryServer fixture;
  for (int i = 0; i < 3; ++i) fixture.Send(kMaxBodyBytes);
  fixture.Send(10);
  BOOST_CHECK(fixture.RunUntil(
      [&] { return fixture.waiting.size() + fixture.statuses.size() == 4; },
      kTimeout));
  BOOST_CHECK(fixture.statuses == std::vector<unsigned>{503U});
  BOOST_CHECK_EQUAL(fixture.waiting.size(), 3U);
  for (const auto& respond : fixture.waiting) respond({200, {}, ""});
  fixture.Send(kMaxBodyBytes);
  BOOST_CHECK(
      fixture.RunUntil([&] { return fixture.waiting.size() == 4; }, kTimeout));
  fixture.client.reset();
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.requests->taken() == 0; },
                               kTimeout));
}

// Guards against bodies of no stated length that are not counted.
BOOST_AUTO_TEST_CASE(ChunkedBodiesBeyondTheMemoryAreNotRun) {
  MemoryServer fixture;
  BOOST_REQUIRE(fixture.requests->Take(3 * kMaxBodyBytes, 0));
  BOOST_REQUIRE(fixture.requests->Take(kMaxBodyBytes, 0));
  BOOST_REQUIRE(fixture.requests->Take(kMaxBodyBytes / 2, 0));
  const std::string answer = fixture.Exchange(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n" +
      std::string(0x80000, 'x'));
  BOOST_CHECK(answer.starts_with("HTTP/1.1 503"));
  BOOST_CHECK(fixture.waiting.empty());
}

// Guards against answers that wait for a slow caller and are not counted.
BOOST_AUTO_TEST_CASE(AnswersThatWaitForTheirCallersAreCounted) {
  MemoryServer fixture;
  asio::ip::tcp::socket caller(fixture.loop);
  fixture.Connect(caller);
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  BOOST_REQUIRE(
      fixture.RunUntil([&] { return fixture.waiting.size() == 1; }, kTimeout));
  fixture.waiting.front()({200, {}, std::string(kAnswerBytes, 'x')});
  BOOST_CHECK_EQUAL(fixture.responses->taken(), kAnswerBytes);
  caller.close();
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.responses->taken() == 0; },
                               kTimeout));
}

// Guards against an answer whose bytes put off the time-out.
BOOST_AUTO_TEST_CASE(DrippingAnswersEndAtTheTimeout) {
  struct Exchange {
    Exchange(Fixture& fixture, const EndlessAnswer& answer)
        : server(answer),
          client(fixture.loop, server.address(), fixture.options) {
      client.Send(
          {"GET", "/", {}, "", 0}, kDrippingTimeout,
          [this](HttpClient::Outcome ended) { outcome = std::move(ended); });
    }

    EndlessServer server;
    HttpClient client;
    std::optional<HttpClient::Outcome> outcome;
  };
  Fixture fixture;
  fixture.options.accept_unframed = true;
  const std::vector<AnswerCase> cases = DrippingCases();
  std::vector<std::unique_ptr<Exchange>> exchanges;
  exchanges.reserve(cases.size());
  for (const AnswerCase& input : cases) {
    exchanges.push_back(std::make_unique<Exchange>(fixture, input.answer));
  }
  BOOST_CHECK(fixture.RunUntil(
      [&] {
        return std::ranges::all_of(exchanges, [](const auto& exchange) {
          return exchange->outcome && exchange->server.reset() == 1;
        });
      },
      kDrippingTimeout + kMaxLateness));
  for (std::size_t i = 0; i < cases.size(); ++i) {
    BOOST_TEST_CONTEXT(cases[i].name) {
      const auto& outcome = exchanges[i]->outcome;
      BOOST_CHECK(outcome && !outcome->response);
      BOOST_CHECK(outcome && outcome->error.failure == HttpFailure::kTimeout);
      BOOST_CHECK_EQUAL(exchanges[i]->client.open_connections(), 0);
      BOOST_CHECK_EQUAL(exchanges[i]->server.reset(), 1);
    }
  }
}

}  // namespace
}  // namespace balsamhall
