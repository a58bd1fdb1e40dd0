// Follows one log of the store and tells whether the store answers.
#ifndef BALSAMHALL_GATEWAY_STORE_FOLLOWER_H_
#define BALSAMHALL_GATEWAY_STORE_FOLLOWER_H_

#include <functional>
#include <memory>

#include "gateway/boot_clock.h"
#include "gateway/coordination_store.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall::gateway {

// Reads the newest records first, then what is added. Runs on one loop; not
// thread-safe.
class StoreFollower {
 public:
  struct Options {
    Log log = Log::kOperatorConfig;
    // How long the store may hold a read that finds nothing; 0: it answers at
    // once.
    Milliseconds max_wait{0};
    // Pause between two reads.
    Milliseconds interval{0};
  };
  // as_of: when the read was sent.
  using PageHandler = std::function<void(const LogPage&, BootTime as_of)>;
  using FailureHandler = std::function<void(const std::string& detail)>;

  // The store must outlive the follower.
  StoreFollower(boost::asio::io_context& loop, CoordinationStore& store,
                Options options, PageHandler on_page,
                FailureHandler on_failure);
  ~StoreFollower();
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  // Starts to read, or goes on from the last known place, or from a later one
  // that another source has covered. No effect while it reads.
  void Resume(std::uint64_t min_offset = 0);
  // No further reads until Resume; one under way still counts.
  void Pause();
  // Reads from the last known place at once, beside a read under way.
  void ReadNow();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_STORE_FOLLOWER_H_
