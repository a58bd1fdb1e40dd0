// Stand-in for the platform's log and VM list, with switchable faults.
#ifndef BALSAMHALL_TESTS_STANDIN_LOG_STAND_IN_H_
#define BALSAMHALL_TESTS_STANDIN_LOG_STAND_IN_H_

#include <cstdint>
#include <memory>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall {

struct LogStandInOptions {
  Milliseconds retention{3'600'000};
  Milliseconds vm_lag{0};  // delay until a change of the VM list is visible
  std::string vms = R"({"vms":[]})";
};

// All calls run on the loop's thread.
//
// Besides the platform's interface: PUT /vms replaces the list; PUT /fault
// takes {"outage":bool, "vms_outage":bool, "lose_append_answers":N,
// "slow_ms":N, "malformed_pages":N} and changes the fields that are present.
class LogStandIn {
 public:
  LogStandIn(boost::asio::io_context& loop, LogStandInOptions options);
  ~LogStandIn();
  LogStandIn(const LogStandIn&) = delete;
  LogStandIn& operator=(const LogStandIn&) = delete;

  Result<std::uint16_t> Listen(const std::string& address);
  // Same as PUT /fault.
  void SetFault(const std::string& json);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_STANDIN_LOG_STAND_IN_H_
