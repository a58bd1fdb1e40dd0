// Memory that bodies of requests or responses may hold together.
#ifndef BALSAMHALL_NET_BODY_MEMORY_H_
#define BALSAMHALL_NET_BODY_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

namespace balsamhall {

// A body that still arrives, or finished bodies that wait for a slow reader. It
// can be given up for one of another source.
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

  // Takes bytes for bodies that exist already, even if there is no room. This
  // alone does not let them be given up.
  void TakeAnyway(UnfinishedBody& body, std::size_t bytes) {
    taken_ += bytes;
    body.bytes += bytes;
  }
  // Returns a part of what was taken for the body.
  // Precondition: at least so many bytes were taken.
  void ReturnPart(UnfinishedBody& body, std::size_t bytes) {
    taken_ -= bytes;
    body.bytes -= bytes;
  }
  // Whether the body can be given up for others until Release.
  void set_can_be_given_up(UnfinishedBody& body, bool can_be_given_up) {
    if (can_be_given_up) {
      unfinished_.insert(&body);
    } else {
      unfinished_.erase(&body);
    }
  }
  // Precondition: so many bytes were taken.
  void Return(std::size_t bytes) { taken_ -= bytes; }
  std::size_t taken() const { return taken_; }
  bool IsFull() const { return taken_ >= max_bytes_; }

 private:
  // Returns the largest body of the source that holds most, or nullptr.
  UnfinishedBody* LargestOfLargestSource() const;

  const std::size_t max_bytes_;
  std::size_t taken_ = 0;
  std::unordered_set<UnfinishedBody*> unfinished_;
};

// Bytes taken of a BodyMemory, returned at the end of this object's life.
class HeldBytes {
 public:
  HeldBytes() = default;
  HeldBytes(HeldBytes&& other) noexcept { Swap(other); }
  HeldBytes& operator=(HeldBytes&& other) noexcept {
    HeldBytes moved(std::move(other));
    Swap(moved);
    return *this;
  }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes() {
    if (memory_) memory_->Return(bytes_);
  }

  // Takes what is missing to hold so many bytes; memory, which may be empty
  // (no limit), has an effect only the first time. Returns false if there is no
  // room.
  bool GrowTo(std::size_t bytes, const std::shared_ptr<BodyMemory>& memory) {
    if (bytes_ == 0) memory_ = memory;
    if (!memory_ || bytes <= bytes_) return true;
    if (!memory_->Take(bytes - bytes_, bytes_)) return false;
    bytes_ = bytes;
    return true;
  }

 private:
  void Swap(HeldBytes& other) {
    std::swap(memory_, other.memory_);
    std::swap(bytes_, other.bytes_);
  }

  std::shared_ptr<BodyMemory> memory_;
  std::size_t bytes_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_BODY_MEMORY_H_
