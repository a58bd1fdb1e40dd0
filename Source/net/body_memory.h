// Memory that bodies of requests or responses may hold together.
#ifndef BALSAMHALL_NET_BODY_MEMORY_H_
#define BALSAMHALL_NET_BODY_MEMORY_H_

#include <algorithm>
#include <cstddef>

namespace balsamhall {

// Bytes that the bodies of several connections hold together. A body may hold
// as much as is left beside it: the largest reach the limit first, and short
// ones still find room. Not thread-safe.
class BodyMemory {
 public:
  explicit BodyMemory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Takes bytes for a body that holds so many already. Returns false, and
  // takes none, if it would hold more than what is left.
  bool Take(std::size_t bytes, std::size_t held) {
    const std::size_t left = max_bytes_ - std::min(taken_, max_bytes_);
    if (bytes > left || held + bytes > left - bytes) return false;
    taken_ += bytes;
    return true;
  }
  // Takes bytes for a body that exists already, even if there is no room.
  void TakeAnyway(std::size_t bytes) { taken_ += bytes; }
  // Precondition: so many bytes were taken.
  void Return(std::size_t bytes) { taken_ -= bytes; }
  std::size_t taken() const { return taken_; }

 private:
  const std::size_t max_bytes_;
  std::size_t taken_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_BODY_MEMORY_H_
