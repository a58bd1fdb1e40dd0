// TCP proxy on loopback that injects faults of the network.
#ifndef BALSAMHALL_TESTS_SOAK_LOOPBACK_PROXY_H_
#define BALSAMHALL_TESTS_SOAK_LOOPBACK_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall::soak {

enum class LinkFault {
  kNone,
  kDelay,   // each way takes longer
  kReset,   // open and new connections are reset
  kSilent,  // nothing arrives, either way; connections stay open
  kOneWay,  // requests arrive, answers do not
  kNarrow,  // each connection has 4 Mbit/s each way
};

// Bytes that a fault holds up are lost: connections that were open during a
// silence are reset when it ends. Runs on one loop.
class LoopbackProxy {
 public:
  // upstream: "ip:port".
  LoopbackProxy(boost::asio::io_context& loop, const std::string& upstream);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  std::string address() const;
  void Set(LinkFault fault);

 private:
  class Link;
  void Accept();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::endpoint upstream_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Link>> links_;
  LinkFault fault_ = LinkFault::kNone;
};

}  // namespace balsamhall::soak

#endif  // BALSAMHALL_TESTS_SOAK_LOOPBACK_PROXY_H_
