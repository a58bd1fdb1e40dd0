#include "Soak/loopback_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <functional>
#include <utility>

namespace balsamhall::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Far below the time-out of a lease call, which bounds how late one arrives.
constexpr Milliseconds kDelay{60};
// Time that a full buffer takes at 4 Mbit/s.
constexpr Milliseconds kNarrowDelay{33};

tcp::endpoint ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  return {
      asio::ip::make_address(address.substr(0, colon)),
      static_cast<asio::ip::port_type>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

class LoopbackProxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(tcp::socket caller, asio::io_context& loop, const LinkFault& fault)
      : caller_(std::move(caller)), server_(loop), fault_(fault) {}

  void Start(const tcp::endpoint& upstream) {
    server_.async_connect(
        upstream, [self = shared_from_this()](error_code error) {
          if (error) return self->Reset();
          self->Pump(self->caller_, self->server_, self->to_server_, true);
          self->Pump(self->server_, self->caller_, self->to_caller_, false);
        });
  }

  // No linger time: the peer sees a reset, and what is under way is lost.
  void Reset() {
    for (tcp::socket* socket : {&caller_, &server_}) {
      error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  using Buffer = std::array<char, 16'384>;

  bool Held(bool forward) const {
    return fault_ == LinkFault::kSilent ||
           (fault_ == LinkFault::kOneWay && !forward);
  }

  void Pump(tcp::socket& from, tcp::socket& to, Buffer& buffer, bool forward) {
    from.async_read_some(asio::buffer(buffer), [this, self = shared_from_this(),
                                                forward, &from, &to,
                                                &buffer](error_code error,
                                                         std::size_t size) {
      // An end in order is passed on as one.
      if (error == asio::error::eof) {
        error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        return;
      }
      if (error) return Reset();
      if (Held(forward)) return Pump(from, to, buffer, forward);  // dropped
      const auto pass = [this, self, forward, size, &from, &to, &buffer] {
        asio::async_write(to, asio::buffer(buffer.data(), size),
                          [this, self, forward, &from, &to, &buffer](
                              error_code failed, std::size_t) {
                            if (failed) return Reset();
                            Pump(from, to, buffer, forward);
                          });
      };
      const bool narrow = fault_ == LinkFault::kNarrow && size == buffer.size();
      if (fault_ != LinkFault::kDelay && !narrow) return pass();
      auto timer = std::make_shared<asio::steady_timer>(to.get_executor());
      timer->expires_after(narrow ? kNarrowDelay : kDelay);
      timer->async_wait([timer, pass](error_code) { pass(); });
    });
  }

  tcp::socket caller_;
  tcp::socket server_;
  const LinkFault& fault_;
  Buffer to_server_{};
  Buffer to_caller_{};
};

LoopbackProxy::LoopbackProxy(asio::io_context& loop,
                             const std::string& upstream)
    : loop_(loop),
      upstream_(ParseAddress(upstream)),
      acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  Accept();
}

LoopbackProxy::~LoopbackProxy() {
  for (const auto& weak : links_) {
    if (const auto link = weak.lock()) link->Reset();
  }
}

std::string LoopbackProxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void LoopbackProxy::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    std::erase_if(links_, [](const auto& weak) { return weak.expired(); });
    const auto link = std::make_shared<Link>(std::move(socket), loop_, fault_);
    links_.push_back(link);
    if (fault_ == LinkFault::kReset) {
      link->Reset();
    } else {
      link->Start(upstream_);
    }
    Accept();
  });
}

void LoopbackProxy::Set(LinkFault fault) {
  const bool held =
      fault_ == LinkFault::kSilent || fault_ == LinkFault::kOneWay;
  fault_ = fault;
  if (!held && fault != LinkFault::kReset) return;
  for (const auto& weak : std::exchange(links_, {})) {
    if (const auto link = weak.lock()) link->Reset();
  }
}

}  // namespace balsamhall::soak
