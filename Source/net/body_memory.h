// Memory that bodies of requests or responses may hold together.
#ifndef BALSAMHALL_NET_BODY_MEMORY_H_
#define BALSAMHALL_NET_BODY_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <unordered_set>
#include <utility>

namespace balsamhall {

// A body that still arrives. It can be given up for one of another source.
struct UnfinishedBody {
  std::string source;
  std::size_t bytes = 0;  // set by BodyMemory
  // Must call BodyMemory::Release.
  std::function<void()> give_up;
};

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
  // Takes more bytes for a body. Without room, the largest bodies of the source
  // that holds most are given up until there is. Returns false, and takes none,
  // if that is the body's own source, or if all others' would not be enough.
  bool Grow(UnfinishedBody& body, std::size_t bytes);
  // Returns the bytes of a body, which may grow again.
  void Release(UnfinishedBody& body);

  // Takes bytes for a body that exists already, even if there is no room.
  void TakeAnyway(std::size_t bytes) { taken_ += bytes; }
  // Precondition: so many bytes were taken.
  void Return(std::size_t bytes) { taken_ -= bytes; }
  std::size_t taken() const { return taken_; }

 private:
  // Returns the largest body of the source that holds most, or nullptr.
  UnfinishedBody* LargestOfLargestSource() const;

  const std::size_t max_bytes_;
  std::size_t taken_ = 0;
  std::unordered_set<UnfinishedBody*> unfinished_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_BODY_MEMORY_H_
