// Stand-in for one backend server, with switchable faults.
#ifndef BALSAMHALL_TESTS_STANDIN_BACKEND_STAND_IN_H_
#define BALSAMHALL_TESTS_STANDIN_BACKEND_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall {

struct BackendStandInOptions {
  std::string name;
  std::uint32_t slots = 2;
  std::size_t connections = 100;
  Microseconds service_time{2000};
  std::map<std::string, Microseconds> service_time_by_kind;
  bool checks_fences = true;
  // Service takes three times as long for this time after the start.
  Milliseconds cold_time{0};
  std::uint64_t incarnation = 0;  // 0: picked from the clock
};

// All calls run on the loop's thread. No queue: work above the slots is
// refused with 503. Work that is cancelled or reaches its deadline is stopped
// and answered with 504.
//
// Besides the backend interface: GET /executions (see ExecutionRecord), also
// with ?id=ID or ?after=N&max=M; PUT /fault changes the fields that are
// present:
//   freeze          takes requests and holds them until it ends (as a paused
//                   process), grants included
//   silent          true: the connections of this moment stay silent for good
//   late_ms         delays answers, not the work
//   crossed         answers with the id and body of another request
//   truncated       cuts answers off
//   shed, drain     refuses work; drain also shows in the health report
//   no_fence_check  runs work without looking at fences
//   lying_load      always reports load 0
class BackendStandIn {
 public:
  BackendStandIn(boost::asio::io_context& loop, BackendStandInOptions options);
  ~BackendStandIn();
  BackendStandIn(const BackendStandIn&) = delete;
  BackendStandIn& operator=(const BackendStandIn&) = delete;

  Result<std::uint16_t> Listen(const std::string& address);
  // Same as PUT /fault.
  void SetFault(const std::string& json);
  // Same as GET /executions.
  std::string Executions() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_STANDIN_BACKEND_STAND_IN_H_
