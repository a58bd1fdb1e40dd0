// Reads one log of the store continuously and reports read failures.
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

// Reads the newest record of each key first, then the records that are appended
// later. Runs on one event loop; not thread-safe.
class StoreFollower {
 public:
  struct Options {
    Log log = Log::kOperatorConfig;
    // How long the store may delay its response to a read that finds no record;
    // 0: it responds at once.
    Milliseconds max_wait{0};
    // Age of what the store has shown at which it has to respond again, without
    // its way: a page that took long to arrive shortens the next wait. 0: none.
    Milliseconds max_age{0};
    // Pause between the end of a read and the next one.
    Milliseconds interval{0};
  };
  struct PageTimes {
    BootTime sent;  // when the read was sent
    // The log's end as the page states it is not older than this. Later than
    // sent if the store has waited for a record in vain.
    BootTime as_of;
  };
  using PageHandler = std::function<void(const LogPage&, const PageTimes&)>;
  using FailureHandler =
      std::function<void(const std::string& detail, BootTime sent)>;

  // The store must outlive the follower.
  StoreFollower(boost::asio::io_context& loop, CoordinationStore& store,
                Options options, PageHandler on_page,
                FailureHandler on_failure);
  ~StoreFollower();
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  // Starts reading, or continues from the last known offset. A higher
  // min_offset skips records that another source has already delivered, at the
  // start the newest record of each key as well. No effect unless paused, as at
  // the start.
  void Resume(std::uint64_t min_offset = 0);
  // Starts no further reads until Resume; a read in progress is still
  // delivered.
  void Pause();
  // Reads from the last known offset, or a higher one, at once, in parallel
  // with a read in progress. No effect shortly after another ReadNow, nor
  // without an offset, as before the first page. A failure is reported to
  // on_failure, if there is one, and to nobody else.
  void ReadNow(std::uint64_t min_offset = 0, FailureHandler on_failure = {});

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_STORE_FOLLOWER_H_
