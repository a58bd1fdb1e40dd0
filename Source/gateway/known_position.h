// How far a gateway knows a log that it reads by itself and learns from others.
#ifndef BALSAMHALL_GATEWAY_KNOWN_POSITION_H_
#define BALSAMHALL_GATEWAY_KNOWN_POSITION_H_

#include <cstdint>

#include "gateway/boot_clock.h"

namespace balsamhall::gateway {

// Position up to which the records of a log have been taken into account, from
// pages of the store or from lists of other gateways. Not thread-safe.
class KnownPosition {
 public:
  std::uint64_t value() const { return value_; }

  // Returns whether a record at this position has been taken into account.
  bool Covers(std::uint64_t record) const { return record < value_; }

  // Returns whether a listing of the store that ends at next, and was requested
  // then, is to be applied. One from behind the position is late, or comes from
  // a store that has lost records. Only a store that states no era can have
  // done so without a sign.
  bool AcceptsListing(std::uint64_t next, BootTime requested,
                      bool has_eras) const {
    return next >= value_ || (!has_eras && requested >= known_since_);
  }

  void Set(std::uint64_t value, BootTime now) {
    value_ = value;
    known_since_ = now;
  }

 private:
  std::uint64_t value_ = 0;
  BootTime known_since_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_KNOWN_POSITION_H_
