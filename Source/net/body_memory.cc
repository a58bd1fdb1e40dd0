#include "net/body_memory.h"

#include <unordered_map>

namespace balsamhall {

bool BodyMemory::Grow(UnfinishedBody& body, std::size_t bytes) {
  std::size_t others = 0;
  for (const UnfinishedBody* other : unfinished_) {
    if (other->source != body.source) others += other->bytes;
  }
  // What stays taken even if all others are given up.
  const std::size_t least = taken_ - others + bytes;
  if (least > max_bytes_ || body.bytes + bytes > max_bytes_ - least) {
    return false;
  }
  while (!Take(bytes, body.bytes)) {
    UnfinishedBody* const largest = LargestOfLargestSource();
    if (largest == nullptr || largest->source == body.source) return false;
    largest->give_up();
  }
  body.bytes += bytes;
  unfinished_.insert(&body);
  return true;
}

void BodyMemory::Release(UnfinishedBody& body) {
  Return(std::exchange(body.bytes, 0));
  unfinished_.erase(&body);
}

UnfinishedBody* BodyMemory::LargestOfLargestSource() const {
  std::unordered_map<std::string, std::size_t> held;
  for (const UnfinishedBody* body : unfinished_) {
    held[body->source] += body->bytes;
  }
  const auto size = [&](const UnfinishedBody* body) {
    return std::pair(held.at(body->source), body->bytes);
  };
  const auto largest = std::ranges::max_element(unfinished_, {}, size);
  return largest == unfinished_.end() ? nullptr : *largest;
}

}  // namespace balsamhall
