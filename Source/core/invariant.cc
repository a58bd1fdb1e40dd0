#include "core/invariant.h"

#include <atomic>
#include <mutex>
#include <utility>

namespace balsamhall {
namespace {

std::atomic<std::uint64_t> violations{0};
std::mutex handler_mutex;

InvariantHandler& Handler() {
  static InvariantHandler handler;
  return handler;
}

}  // namespace

void SetInvariantHandler(InvariantHandler handler) {
  const std::scoped_lock lock(handler_mutex);
  Handler() = std::move(handler);
}

void ReportInvariantViolation(const std::string& name,
                              const std::string& detail) {
  violations.fetch_add(1, std::memory_order_relaxed);
  InvariantHandler handler;
  {
    const std::scoped_lock lock(handler_mutex);
    handler = Handler();
  }
  if (handler) handler(name, detail);
}

std::uint64_t InvariantViolations() {
  return violations.load(std::memory_order_relaxed);
}

}  // namespace balsamhall
