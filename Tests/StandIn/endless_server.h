// Stand-in of a server that answers each request with bytes without end.
#ifndef BALSAMHALL_TESTS_STANDIN_ENDLESS_SERVER_H_
#define BALSAMHALL_TESTS_STANDIN_ENDLESS_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "core/types.h"

namespace balsamhall::stand_in {

struct EndlessAnswer {
  std::string start;        // sent once
  std::string repeated;     // sent again and again
  Milliseconds interval{};  // between two of them; 0: as fast as possible
  std::uint64_t most = UINT64_MAX;  // bytes; it is silent after so many
};

// Runs on a thread of its own, so that it sends whatever the caller does.
// Thread-safe.
class EndlessServer {
 public:
  explicit EndlessServer(EndlessAnswer answer);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string address() const;
  // Connections on which a request arrived.
  int asked() const;
  // Those of them that the caller has closed, and how many by a reset; only
  // a slow answer tells.
  int closed() const;
  int reset() const;
  std::uint64_t sent_bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall::stand_in

#endif  // BALSAMHALL_TESTS_STANDIN_ENDLESS_SERVER_H_
