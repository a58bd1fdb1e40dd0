#include "gateway/store_follower.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

#include "telemetry/event_log.h"

namespace balsamhall::gateway {
namespace {

// Pause after a failed read; doubles from the minimum to the maximum. All
// gateways lose the store at the same moment. The pauses are short compared
// with the store's recovery, and the calls stay far below its rates.
constexpr Milliseconds kMinRetryPause{100};
constexpr Milliseconds kMaxRetryPause{500};
// Minimum time between two reads of a log on demand.
constexpr Milliseconds kMinReadNowInterval{50};

}  // namespace

class StoreFollower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop, CoordinationStore& store, Options options,
       PageHandler on_page, FailureHandler on_failure)
      : store_(store),
        options_(options),
        on_page_(std::move(on_page)),
        on_failure_(std::move(on_failure)),
        timer_(loop) {}

  void Read() {
    reading_ = true;
    // At a store that does not answer, a read that waits hides its return for
    // as long as it waits.
    const BootTime sent = BootClock::now();
    const Milliseconds wait =
        failing_ || !next_ ? Milliseconds(0) : WaitAt(sent);
    const auto done = [self = shared_from_this(), sent,
                       wait](ReadResult result) {
      self->OnRead(std::move(result), sent, wait);
    };
    if (!next_) {
      store_.ReadNewest(options_.log, done);
    } else {
      store_.ReadFrom(options_.log, *next_, wait, done);
    }
  }

  void ReadNow(std::uint64_t min_offset, FailureHandler on_failure) {
    const BootTime now = BootClock::now();
    if (now - last_read_now_ < kMinReadNowInterval) return;
    SkipTo(min_offset);
    if (!next_) return;
    last_read_now_ = now;
    store_.ReadFrom(options_.log, *next_, Milliseconds(0),
                    [self = shared_from_this(), now,
                     on_failure = std::move(on_failure)](ReadResult result) {
                      if (self->stopped_) return;
                      if (result.page) {
                        self->HandlePage(*result.page, {now, now});
                      } else if (on_failure) {
                        on_failure(result.detail, now);
                      }
                    });
  }

  void Pause() {
    paused_ = true;
    timer_.cancel();
  }

  void Resume(std::uint64_t min_offset) {
    if (!std::exchange(paused_, false)) return;
    SkipTo(min_offset);
    if (!reading_) Read();
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void SkipTo(std::uint64_t offset) {
    if (next_ || offset > 0) next_ = std::max(next_.value_or(0), offset);
  }

  Milliseconds WaitAt(BootTime now) const {
    if (options_.max_age == Milliseconds(0)) return options_.max_wait;
    const auto left = std::chrono::duration_cast<Milliseconds>(
        as_of_ + options_.max_age - now);
    return std::clamp(left, Milliseconds(0), options_.max_wait);
  }

  void OnRead(ReadResult result, BootTime sent, Milliseconds wait) {
    reading_ = false;
    if (stopped_) return;
    failing_ = !result.page;
    if (!result.page) {
      if (result.failure == ReadFailure::kTruncated) {
        next_.reset();
        return Schedule(Milliseconds(0));
      }
      on_failure_(result.detail, sent);
      retry_pause_ =
          std::clamp(retry_pause_ * 2, kMinRetryPause, kMaxRetryPause);
      return Schedule(retry_pause_);
    }
    retry_pause_ = Milliseconds(0);
    LogEvent(
        EventLevel::kDebug, "log_read", 0,
        {{"log", std::to_string(static_cast<int>(options_.log))},
         {"from", next_ ? std::to_string(*next_) : "newest"},
         {"next", std::to_string(result.page->next)},
         {"end", std::to_string(result.page->log_end)},
         {"took_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(
                                        BootClock::now() - sent)
                                        .count())}});
    // The store responds without a record only once the wait is over.
    const bool waited =
        result.page->records.empty() && BootClock::now() - sent >= wait;
    HandlePage(*result.page, {sent, waited ? sent + wait : sent});
    // If the log has further records, the next page is read at once.
    const bool more =
        !result.page->is_snapshot && *next_ < result.page->log_end;
    Schedule(more ? Milliseconds(0) : options_.interval);
  }

  void HandlePage(const LogPage& page, const PageTimes& times) {
    // A parallel read may already have got further.
    if (!page.is_snapshot && next_ && page.next < *next_) return;
    next_ = page.next;
    as_of_ = std::max(as_of_, times.as_of);
    on_page_(page, times);
  }

  void Schedule(Milliseconds pause) {
    if (paused_) return;
    timer_.expires_after(pause);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          if (!error && !self->stopped_ && !self->paused_) self->Read();
        });
  }

  CoordinationStore& store_;
  const Options options_;
  const PageHandler on_page_;
  const FailureHandler on_failure_;
  boost::asio::steady_timer timer_;
  std::optional<std::uint64_t> next_;
  BootTime as_of_;  // of the last page
  Milliseconds retry_pause_{0};
  BootTime last_read_now_;
  bool reading_ = false;
  bool failing_ = false;  // the last read failed
  bool paused_ = true;
  bool stopped_ = false;
};

StoreFollower::StoreFollower(boost::asio::io_context& loop,
                             CoordinationStore& store, Options options,
                             PageHandler on_page, FailureHandler on_failure)
    : impl_(std::make_shared<Impl>(loop, store, options, std::move(on_page),
                                   std::move(on_failure))) {}

// Cancelling a timer does not throw on Linux.
// NOLINTNEXTLINE(bugprone-exception-escape)
StoreFollower::~StoreFollower() { impl_->Stop(); }

void StoreFollower::Pause() { impl_->Pause(); }

void StoreFollower::Resume(std::uint64_t min_offset) {
  impl_->Resume(min_offset);
}

void StoreFollower::ReadNow(std::uint64_t min_offset,
                            FailureHandler on_failure) {
  impl_->ReadNow(min_offset, std::move(on_failure));
}

}  // namespace balsamhall::gateway
