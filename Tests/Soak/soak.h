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
  // Answers writes with 503 after they ran, to show that the checks notice.
  bool break_promises = false;
};

struct SoakResult {
  std::vector<std::string> violations;
  int requests = 0;
  int served = 0;
  std::vector<std::string> faults;  // with their times, for the report
};

// Runs one seed. All processes that it starts have ended when it returns.
SoakResult RunSoak(const SoakOptions& options, std::uint32_t seed);

}  // namespace balsamhall::soak

#endif  // BALSAMHALL_TESTS_SOAK_SOAK_H_
