#include "StandIn/endless_server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <utility>

namespace balsamhall::stand_in {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kBlockBytes = 64U << 10U;

}  // namespace

class EndlessServer::Impl {
 public:
  explicit Impl(EndlessAnswer answer)
      : answer_(std::move(answer)),
        acceptor_(loop_, {asio::ip::address_v4::loopback(), 0}),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())) {
    block_ = answer_.repeated;
    while (answer_.interval.count() == 0 && !block_.empty() &&
           block_.size() < kBlockBytes) {
      block_ += answer_.repeated;
    }
    Accept();
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~Impl() {
    loop_.stop();
    thread_.join();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  const std::string& address() const { return address_; }

  std::atomic<int> asked_ = 0;
  std::atomic<int> closed_ = 0;
  std::atomic<int> reset_ = 0;
  std::atomic<std::uint64_t> sent_bytes_ = 0;

 private:
  struct Session {
    explicit Session(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}

    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, kBlockBytes> input{};
    std::uint64_t sent = 0;
    bool asked = false;
    bool closed = false;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      socket.set_option(tcp::no_delay(true));
      Read(std::make_shared<Session>(std::move(socket)));
      Accept();
    });
  }

  void Read(const SessionPtr& session) {
    session->socket.async_read_some(
        asio::buffer(session->input),
        [this, session](error_code error, std::size_t /*bytes*/) {
          if (error) return OnClosed(*session, error);
          if (!std::exchange(session->asked, true)) {
            ++asked_;
            Write(session, answer_.start);
          }
          Read(session);
        });
  }

  void Write(const SessionPtr& session, const std::string& bytes) {
    const auto left = static_cast<std::size_t>(
        std::min<std::uint64_t>(bytes.size(), answer_.most - session->sent));
    if (left == 0 && !bytes.empty()) return;
    asio::async_write(
        session->socket, asio::buffer(bytes, left),
        [this, session](error_code error, std::size_t written) {
          session->sent += written;
          sent_bytes_ += written;
          if (error) return OnClosed(*session, error);
          if (block_.empty()) return;
          if (answer_.interval.count() == 0) return Write(session, block_);
          session->timer.expires_after(answer_.interval);
          session->timer.async_wait([this, session](error_code stopped) {
            if (!stopped && !session->closed) Write(session, block_);
          });
        });
  }

  void OnClosed(Session& session, error_code error) {
    if (!session.asked || std::exchange(session.closed, true)) return;
    if (error == asio::error::connection_reset ||
        error == asio::error::broken_pipe) {
      ++reset_;
    }
    ++closed_;
    error_code ignored;
    session.timer.cancel();
    session.socket.close(ignored);
  }

  const EndlessAnswer answer_;
  std::string block_;
  asio::io_context loop_{1};
  tcp::acceptor acceptor_;
  const std::string address_;
  std::thread thread_;
};

EndlessServer::EndlessServer(EndlessAnswer answer)
    : impl_(std::make_unique<Impl>(std::move(answer))) {}

EndlessServer::~EndlessServer() = default;

std::string EndlessServer::address() const { return impl_->address(); }
int EndlessServer::asked() const { return impl_->asked_; }
int EndlessServer::closed() const { return impl_->closed_; }
int EndlessServer::reset() const { return impl_->reset_; }
std::uint64_t EndlessServer::sent_bytes() const { return impl_->sent_bytes_; }

}  // namespace balsamhall::stand_in
