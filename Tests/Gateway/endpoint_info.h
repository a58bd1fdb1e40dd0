// An endpoint for tests of what the registry says.
#ifndef BALSAMHALL_TESTS_GATEWAY_ENDPOINT_INFO_H_
#define BALSAMHALL_TESTS_GATEWAY_ENDPOINT_INFO_H_

#include <string>

#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

inline EndpointInfo Endpoint(const std::string& id, bool draining = false) {
  EndpointInfo info;
  info.ref = {id, 1};
  info.service = "service";
  info.address = "10.0.0.1:80";
  info.draining = draining;
  return info;
}

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_TESTS_GATEWAY_ENDPOINT_INFO_H_
