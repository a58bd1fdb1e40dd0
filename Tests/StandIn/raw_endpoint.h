// Stand-in of an endpoint of the users' platform that writes what a test tells
// it to, also what no sound server writes.
#ifndef BALSAMHALL_TESTS_STANDIN_RAW_ENDPOINT_H_
#define BALSAMHALL_TESTS_STANDIN_RAW_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/types.h"
#include "net/http_types.h"

namespace balsamhall::stand_in {

struct RawRequest {
  int number = 0;  // on its connection, from 1
  std::string target;
  std::string id;
};

struct RawPart {
  std::string bytes;
  Milliseconds delay{0};  // after the part before
  bool close = false;     // closes the connection after the bytes
};

// Runs on one loop, which must outlive it.
class RawEndpoint {
 public:
  // Called when the head of a request has been read. Returns what to write.
  using Script = std::function<std::vector<RawPart>(const RawRequest&)>;

  RawEndpoint(boost::asio::io_context& loop, std::string id, Script script);
  ~RawEndpoint();
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;

  const std::string& id() const { return id_; }
  // Its registry entry.
  std::string Entry(const std::string& service) const;

 private:
  struct Connection;

  void Accept();

  boost::asio::io_context& loop_;
  const std::string id_;
  const std::shared_ptr<const Script> script_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

// Returns the bytes of a response with a length.
std::string ResponseBytes(const HttpResponse& response);

}  // namespace balsamhall::stand_in

#endif  // BALSAMHALL_TESTS_STANDIN_RAW_ENDPOINT_H_
