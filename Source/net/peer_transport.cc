#include "net/peer_transport.h"

#include <array>
#include <boost/asio.hpp>
#include <charconv>
#include <cstring>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsamhall {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kPrefixBytes = 4;
constexpr std::size_t kReadChunk = 64U << 10U;
constexpr std::size_t kMaxBuffersPerWrite = 64;
constexpr std::size_t kMaxIdleInput = 1U << 20U;

std::optional<Tcp::endpoint> ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  ErrorCode error;
  const bool bracketed = colon >= 2 && address.front() == '[';
  const auto ip = asio::ip::make_address(
      bracketed ? address.substr(1, colon - 2) : address.substr(0, colon),
      error);
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, port);
}

std::string Prefix(std::size_t size) {
  return {static_cast<char>(size >> 24U), static_cast<char>(size >> 16U),
          static_cast<char>(size >> 8U), static_cast<char>(size)};
}

std::size_t ParsePrefix(const char* data) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    size = (size << 8U) | static_cast<unsigned char>(data[i]);
  }
  return size;
}

std::string Frame(const schema::PeerMessage& message) {
  std::string frame = Prefix(message.ByteSizeLong());
  message.AppendToString(&frame);
  return frame;
}

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

}  // namespace

class PeerTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop, PeerTransportOptions options, Handler handler)
      : loop_(loop),
        options_(options),
        handler_(std::move(handler)),
        acceptor_(loop),
        timer_(loop) {}

  void Start() { ScheduleHousekeeping(); }

  void Close() {
    closed_ = true;
    ErrorCode ignored;
    acceptor_.close(ignored);
    timer_.cancel(ignored);
    for (auto& [id, connection] : connections_) connection->CloseSocket();
    connections_.clear();
    outgoing_.clear();
  }

  void set_fault_handler(FaultHandler handler) {
    fault_handler_ = std::move(handler);
  }
  void set_lost_handler(LostHandler handler) {
    lost_handler_ = std::move(handler);
  }

  Result<std::uint16_t> Listen(const std::string& address) {
    const auto endpoint = ParseAddress(address);
    if (!endpoint) {
      return Error{ResultCode::kSettingsInvalid, "not ip:port: " + address};
    }
    ErrorCode error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error && options_.reuse_port) {
      acceptor_.set_option(ReusePort(true), error);
    }
    if (!error) acceptor_.bind(*endpoint, error);
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Error{ResultCode::kPeerUnreachable,
                   "cannot listen on " + address + ": " + error.message()};
    }
    Accept();
    return acceptor_.local_endpoint().port();
  }

  bool Send(const std::string& address, const schema::PeerMessage& message) {
    const auto found = outgoing_.find(address);
    if (found != outgoing_.end()) return Enqueue(*found->second, message);
    const auto retry = retry_at_.find(address);
    if (retry != retry_at_.end()) {
      if (std::chrono::steady_clock::now() < retry->second) return false;
      retry_at_.erase(retry);
    }
    const auto endpoint = ParseAddress(address);
    if (!endpoint) return false;
    const auto connection = Add(Tcp::socket(loop_));
    connection->address = address;
    outgoing_[address] = connection;
    Connect(connection, *endpoint);
    return Enqueue(*connection, message);
  }

  bool Reply(ConnectionId id, const schema::PeerMessage& message) {
    const auto found = connections_.find(id);
    return found != connections_.end() && Enqueue(*found->second, message);
  }

  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  struct Connection {
    explicit Connection(Tcp::socket s) : socket(std::move(s)) {}
    void CloseSocket() {
      ErrorCode ignored;
      socket.close(ignored);
    }

    ConnectionId id = 0;
    std::string address;  // set for outgoing connections
    Tcp::socket socket;
    bool connected = false;
    bool writing = false;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
    std::vector<char> input;
    std::size_t input_used = 0;
    bool acknowledgement_due = false;
    std::optional<SteadyTime> unanswered_since;
    SteadyTime opened = std::chrono::steady_clock::now();
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr Add(Tcp::socket socket) {
    auto connection = std::make_shared<Connection>(std::move(socket));
    connection->id = ++last_id_;
    connections_[connection->id] = connection;
    return connection;
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
          if (self->closed_) return;
          if (!error) {
            const auto connection = self->Add(std::move(socket));
            self->Opened(connection);
          }
          self->Accept();
        });
  }

  void Connect(const ConnectionPtr& connection, const Tcp::endpoint& endpoint) {
    connection->socket.async_connect(endpoint, [self = shared_from_this(),
                                                connection](ErrorCode error) {
      if (!self->Live(connection)) return;
      if (error) {
        self->Fail(connection, ResultCode::kPeerUnreachable, error.message());
        return;
      }
      self->Opened(connection);
    });
  }

  void Opened(const ConnectionPtr& connection) {
    ErrorCode ignored;
    connection->socket.set_option(Tcp::no_delay(true), ignored);
    connection->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    connection->connected = true;
    connection->input.resize(kReadChunk);
    Read(connection);
    Write(connection);
  }

  bool Live(const ConnectionPtr& connection) const {
    return !closed_ && connections_.contains(connection->id);
  }

  bool Enqueue(Connection& connection, const schema::PeerMessage& message) {
    std::string frame = Frame(message);
    if (frame.size() > options_.max_frame_bytes + kPrefixBytes ||
        connection.queued_bytes + frame.size() > options_.max_queued_bytes) {
      return false;
    }
    if (!connection.unanswered_since) {
      connection.unanswered_since = std::chrono::steady_clock::now();
    }
    connection.acknowledgement_due = false;
    Queue(connection, std::move(frame));
    return true;
  }

  void Queue(Connection& connection, std::string frame) {
    connection.queued_bytes += frame.size();
    connection.queue.push_back(std::move(frame));
    Write(connections_.at(connection.id));
  }

  void Write(const ConnectionPtr& connection) {
    if (!connection->connected || connection->writing ||
        connection->queue.empty()) {
      return;
    }
    connection->writing = true;
    std::vector<asio::const_buffer> buffers;
    for (const std::string& frame : connection->queue) {
      if (buffers.size() == kMaxBuffersPerWrite) break;
      buffers.push_back(asio::buffer(frame));
    }
    const std::size_t frames = buffers.size();
    asio::async_write(connection->socket, buffers,
                      [self = shared_from_this(), connection, frames](
                          ErrorCode error, std::size_t bytes) {
                        self->Written(connection, frames, error, bytes);
                      });
  }

  void Written(const ConnectionPtr& connection, std::size_t frames,
               ErrorCode error, std::size_t bytes) {
    bytes_sent_ += bytes;
    connection->writing = false;
    if (!Live(connection)) return;
    if (error) {
      Fail(connection, ResultCode::kPeerUnreachable, error.message());
      return;
    }
    for (std::size_t i = 0; i < frames; ++i) {
      connection->queued_bytes -= connection->queue.front().size();
      connection->queue.pop_front();
    }
    Write(connection);
  }

  void Read(const ConnectionPtr& connection) {
    auto& input = connection->input;
    if (input.size() - connection->input_used < kReadChunk / 2) {
      input.resize(input.size() * 2);
    }
    connection->socket.async_read_some(
        asio::buffer(input.data() + connection->input_used,
                     input.size() - connection->input_used),
        [self = shared_from_this(), connection](ErrorCode error,
                                                std::size_t bytes) {
          if (!self->Live(connection)) return;
          if (error) {
            self->Fail(connection, ResultCode::kPeerUnreachable,
                       error.message());
            return;
          }
          self->bytes_received_ += bytes;
          connection->input_used += bytes;
          connection->unanswered_since.reset();
          if (self->TakeFrames(connection)) self->Read(connection);
        });
  }

  // Delivers all whole frames. Returns false if the connection was closed.
  bool TakeFrames(const ConnectionPtr& connection) {
    std::size_t begin = 0;
    while (connection->input_used - begin >= kPrefixBytes) {
      const char* const data = connection->input.data() + begin;
      const std::size_t size = ParsePrefix(data);
      if (size > options_.max_frame_bytes) {
        Fail(connection, ResultCode::kPeerFrameMalformed,
             "frame of " + std::to_string(size) + " bytes");
        return false;
      }
      if (connection->input_used - begin < kPrefixBytes + size) break;
      begin += kPrefixBytes + size;
      // An empty frame acknowledges earlier frames and carries no message.
      if (size == 0) continue;
      schema::PeerMessage message;
      if (!message.ParseFromArray(data + kPrefixBytes,
                                  static_cast<int>(size))) {
        Fail(connection, ResultCode::kPeerFrameMalformed,
             "not a protobuf message");
        return false;
      }
      connection->acknowledgement_due = true;
      handler_(connection->id, std::move(message));
      if (!Live(connection)) return false;
    }
    auto& input = connection->input;
    connection->input_used -= begin;
    if (begin > 0 && connection->input_used > 0) {
      std::memmove(input.data(), input.data() + begin, connection->input_used);
    }
    // Gives the memory of a large frame back.
    if (input.size() > kMaxIdleInput && connection->input_used < kReadChunk) {
      input.resize(2 * kReadChunk);
      input.shrink_to_fit();
    }
    return true;
  }

  void Fail(const ConnectionPtr& connection, ResultCode code,
            const std::string& detail) {
    const std::string address = connection->address;
    const bool opened = connection->connected;
    connection->CloseSocket();
    connections_.erase(connection->id);
    if (!address.empty()) {
      outgoing_.erase(address);
      retry_at_[address] =
          std::chrono::steady_clock::now() + options_.reconnect_delay;
    }
    if (fault_handler_ &&
        (code == ResultCode::kPeerFrameMalformed || !address.empty())) {
      fault_handler_(code,
                     (address.empty() ? "inbound" : address) + ": " + detail);
    }
    if (lost_handler_ && !address.empty()) lost_handler_(address, opened);
  }

  void ScheduleHousekeeping() {
    timer_.expires_after(options_.silence_timeout / 8);
    timer_.async_wait([weak = weak_from_this()](ErrorCode error) {
      const auto self = weak.lock();
      if (error || !self || self->closed_) return;
      self->Housekeeping();
      self->ScheduleHousekeeping();
    });
  }

  // Acknowledges inbound frames that got no reply and closes connections that
  // do not connect or went silent.
  void Housekeeping() {
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<ConnectionPtr> all;
    all.reserve(connections_.size());
    for (const auto& [id, connection] : connections_) all.push_back(connection);
    for (const ConnectionPtr& connection : all) {
      if (!Live(connection)) continue;
      if (!connection->connected) {
        if (now - connection->opened > options_.connect_timeout) {
          Fail(connection, ResultCode::kPeerUnreachable, "connect timed out");
        }
      } else if (!connection->address.empty() && connection->unanswered_since &&
                 now - *connection->unanswered_since >
                     options_.silence_timeout) {
        Fail(connection, ResultCode::kPeerUnreachable, "connection is silent");
      } else if (connection->acknowledgement_due) {
        connection->acknowledgement_due = false;
        Queue(*connection, Prefix(0));
      }
    }
    std::erase_if(retry_at_,
                  [now](const auto& item) { return item.second < now; });
  }

  asio::io_context& loop_;
  PeerTransportOptions options_;
  Handler handler_;
  FaultHandler fault_handler_;
  LostHandler lost_handler_;
  Tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  bool closed_ = false;
  ConnectionId last_id_ = 0;
  std::unordered_map<ConnectionId, ConnectionPtr> connections_;
  std::map<std::string, ConnectionPtr> outgoing_;
  std::map<std::string, SteadyTime> retry_at_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

PeerTransport::PeerTransport(asio::io_context& loop,
                             PeerTransportOptions options, Handler handler)
    : impl_(std::make_shared<Impl>(loop, options, std::move(handler))) {
  impl_->Start();
}

PeerTransport::~PeerTransport() { impl_->Close(); }

void PeerTransport::set_fault_handler(FaultHandler handler) {
  impl_->set_fault_handler(std::move(handler));
}

void PeerTransport::set_lost_handler(LostHandler handler) {
  impl_->set_lost_handler(std::move(handler));
}

Result<std::uint16_t> PeerTransport::Listen(const std::string& address) {
  return impl_->Listen(address);
}

bool PeerTransport::Send(const std::string& address,
                         const schema::PeerMessage& message) {
  return impl_->Send(address, message);
}

bool PeerTransport::Reply(ConnectionId connection,
                          const schema::PeerMessage& message) {
  return impl_->Reply(connection, message);
}

std::uint64_t PeerTransport::bytes_sent() const { return impl_->bytes_sent(); }

std::uint64_t PeerTransport::bytes_received() const {
  return impl_->bytes_received();
}

}  // namespace balsamhall
