// Real gateway processes under random faults, checked from what callers and
// endpoints see.
#ifndef BALSAMHALL_TESTS_SOAK_SOAK_H_
#define BALSAMHALL_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall::soak {

struct SoakOptions {
  std::string gateway_binary;
  std::string directory;  // for settings and logs; kept on a violation
  Milliseconds faults{12'000};
  std::size_t gateways = 3;
  std::size_t endpoints = 3;  // of each of two services
  std::size_t callers = 8;
  std::size_t zones = 1;  // data centres of the gateways, at most 26
  // Faults and planned work in series that overlap, callers with a connection
  // of their own, and checks of the configuration. Has seeds of its own.
  bool series = false;
  // With series: gateways stand still and the store turns some away while the
  // configuration changes, and a disturbed gateway excuses no other one. Has
  // seeds of its own.
  bool stand_still = false;
  // The next three show that the checks notice. Answers writes with 503 after
  // they ran:
  bool break_promises = false;
  // Cuts connections in front of the gateways:
  bool cut_connections = false;
  // Holds back configurations that count as written; only with series:
  bool withhold_configurations = false;
};

struct SoakResult {
  std::vector<std::string> violations;
  int requests = 0;
  int served = 0;
  int checked_versions = 0;         // probes for a configuration that was due
  std::vector<std::string> faults;  // with their times, for the report
};

// Runs one seed. All processes that it starts have ended when it returns.
SoakResult RunSoak(const SoakOptions& options, std::uint32_t seed);

}  // namespace balsamhall::soak

#endif  // BALSAMHALL_TESTS_SOAK_SOAK_H_
