// Frames between routers over TCP: 4-byte big-endian length and a PeerMessage.
#ifndef BALSAMHALL_NET_PEER_TRANSPORT_H_
#define BALSAMHALL_NET_PEER_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall {

struct PeerTransportOptions {
  std::size_t max_frame_bytes = 16U << 20U;
  std::size_t max_queued_bytes = 32U << 20U;  // per connection
  Milliseconds connect_timeout{500};
  Milliseconds reconnect_delay{100};
  // A connection with unacknowledged traffic and no inbound frame for this
  // long is closed and opened anew: it may have gone silent for good.
  Milliseconds silence_timeout{2000};
  bool reuse_port = false;
};

// One listener and one outgoing connection for each address sent to. Not
// thread-safe: all calls and callbacks run on the loop's thread.
class PeerTransport {
 public:
  // Identifies an inbound connection, to reply on it.
  using ConnectionId = std::uint64_t;
  using Handler = std::function<void(ConnectionId, schema::PeerMessage)>;
  using FaultHandler = std::function<void(ResultCode, const std::string&)>;
  // An outgoing connection to the address was lost. opened = false: it was
  // never established, so no frame was sent; else frames not yet answered may
  // or may not have arrived.
  using LostHandler =
      std::function<void(const std::string& address, bool opened)>;

  PeerTransport(boost::asio::io_context& loop, PeerTransportOptions options,
                Handler handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  void set_fault_handler(FaultHandler handler);
  void set_lost_handler(LostHandler handler);

  // Listens on "ip:port". Returns the bound port.
  Result<std::uint16_t> Listen(const std::string& address);

  // Sends to an address; answers on that connection come to the handler too.
  // Returns false if nothing was queued: not connected and not connecting, or
  // the queue is full. A frame that was queued but not written when the
  // connection is lost is dropped and counts as sent.
  bool Send(const std::string& address, const schema::PeerMessage& message);

  // Replies on an inbound connection; false if it is closed.
  bool Reply(ConnectionId connection, const schema::PeerMessage& message);

  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_PEER_TRANSPORT_H_
