// Speeds of the endpoints of one service, as the whole fleet observes them.
#ifndef BALSAMHALL_GATEWAY_ENDPOINT_SPEEDS_H_
#define BALSAMHALL_GATEWAY_ENDPOINT_SPEEDS_H_

#include <map>
#include <string>
#include <string_view>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

// Speeds that one gateway has observed at an endpoint. A speed is the typical
// service time of a kind of request divided by the time that one has taken.
struct SpeedSamples {
  unsigned count = 0;
  double mean = 0;

  void Add(double speed);
  bool operator==(const SpeedSamples&) const = default;
};

using SpeedReport = std::map<EndpointRef, SpeedSamples>;

// Codec of a report as the value of an HTTP header. Formatting leaves out the
// endpoints for which there is no room. Parsing skips what is malformed.
// Thread-safe.
std::string FormatSpeedReport(const SpeedReport& report);
SpeedReport ParseSpeedReport(std::string_view text);

// Load pattern: endpoints differ in speed by a factor of two, and each serves
// the keys that it holds, however slow it is. The leader of a large fleet sees
// a response of an endpoint less than once in half a minute, so it would give
// all of them the same load and overload the slow ones for good. Therefore all
// gateways report what they see.
//
// Times are of any monotonic clock, the same in all calls. Not thread-safe.
class EndpointSpeeds {
 public:
  void Add(const SpeedReport& report, BootTime now);

  // Returns the speed of an endpoint relative to the mean of all; 1 if little
  // is known of it, also because its last report is old.
  double Speed(const EndpointRef& endpoint, BootTime now) const;

 private:
  struct Entry {
    double speed = 1;
    double weight = 0;  // of the samples, decaying
    BootTime updated_at;
  };

  double MeanSpeed() const;

  std::map<EndpointRef, Entry> entries_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ENDPOINT_SPEEDS_H_
