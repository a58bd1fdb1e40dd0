// The requests of one connection whose responses have not been written yet.
#ifndef BALSAMHALL_NET_RESPONSE_QUEUE_H_
#define BALSAMHALL_NET_RESPONSE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "net/body_memory.h"
#include "net/http_types.h"

namespace balsamhall {

// Keeps responses that are finished out of order until all earlier ones have
// been written. Not thread-safe.
class ResponseQueue {
 public:
  struct Request {
    std::uint64_t number = 0;  // unique within the queue
    // Later requests may be dispatched before this one is answered.
    bool may_be_overtaken = false;
    bool pipelined = false;     // an earlier one was unanswered at its arrival
    bool with_handler = false;  // dispatched, not answered by the server itself
    bool head_only = false;     // method HEAD: its response has no body
    HeldBytes body_memory;      // of the request's body until the response
  };
  struct Entry {
    Request request;
    bool answered = false;
    HttpResponse response;
    std::string head;  // for the writer; stays valid until PopFront
  };

  void Add(Request request);

  // Stores the response to a request. Returns false, and drops it, if the
  // request is unknown or has a response already.
  bool SetResponse(std::uint64_t number, HttpResponse response);

  // Returns the entry whose response is to be written next, or nullptr if there
  // is none yet. It stays where it is until PopFront.
  Entry* Next();

  // Removes the entry that Next returned, and returns its request.
  // Precondition: Next returned an entry.
  Request PopFront();

  // Returns the memory of all requests' bodies, because the connection has
  // ended; the handler may keep their callbacks for longer.
  void ReturnBodyMemory();

  // Whether a request may be dispatched behind those in the queue.
  bool MayOvertake() const;

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  // Requests without a response.
  std::size_t unanswered() const { return unanswered_; }
  std::size_t with_handler() const { return with_handler_; }
  std::size_t pipelined() const { return pipelined_; }
  // Bytes of the bodies of all responses in the queue.
  std::size_t response_bytes() const { return response_bytes_; }

 private:
  std::deque<Entry> entries_;
  std::size_t unanswered_ = 0;
  std::size_t with_handler_ = 0;  // answered or not
  std::size_t pipelined_ = 0;
  std::size_t response_bytes_ = 0;
};

// Whether the response has a Content-Length that differs from its body's.
bool DeclaresOtherLength(const HttpResponse& response);

// Makes the length of a response certain for a reader of the connection, so
// that further responses can follow. head_only: to a request with method HEAD.
void FixLength(HttpResponse& response, bool head_only);

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_RESPONSE_QUEUE_H_
