// Runs a loop until an asynchronous call has ended; for tests.
#ifndef BALSAMHALL_TESTS_STANDIN_AWAIT_H_
#define BALSAMHALL_TESTS_STANDIN_AWAIT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <stdexcept>
#include <utility>

#include "core/types.h"

namespace balsamhall {

// Runs the loop for a fixed time.
inline void RunFor(boost::asio::io_context& loop, Milliseconds time) {
  loop.restart();
  loop.run_for(time);
}

// Calls start with a callback, and returns the callback's argument. Throws if
// it was not called within 10 s.
template <typename T, typename Start>
T Await(boost::asio::io_context& loop, Start start) {
  std::optional<T> result;
  start([&result](T value) { result.emplace(std::move(value)); });
  const auto end = std::chrono::steady_clock::now() + Milliseconds(10'000);
  loop.restart();
  while (!result && std::chrono::steady_clock::now() < end) {
    loop.run_one_for(Milliseconds(10));
  }
  if (!result) throw std::runtime_error("no callback within 10 s");
  return std::move(*result);
}

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_STANDIN_AWAIT_H_
