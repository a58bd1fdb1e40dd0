// The control thread of a router.
#ifndef BALSAMHALL_ROUTER_CONTROL_LOOP_H_
#define BALSAMHALL_ROUTER_CONTROL_LOOP_H_

#include <memory>
#include <vector>

#include "core/ownership_events.h"
#include "core/result_code.h"
#include "router/traffic_worker.h"
#include "telemetry/trace_store.h"

namespace balsamhall {

// Passes events to the ownership controller and performs its actions.
class ControlLoop {
 public:
  // Creates the traffic workers. traces must outlive the loop.
  ControlLoop(const schema::RouterSettings& settings, TraceStore& traces);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Binds all addresses of the router. Call once, before Run.
  Result<void> Listen();

  // Runs until a graceful shutdown has completed. Returns false if the shutdown
  // exceeded its time limit. With handle_signals, SIGTERM and SIGINT start a
  // shutdown.
  bool Run(bool handle_signals);

  // Starts a graceful shutdown. Thread-safe.
  void RequestShutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_LOOP_H_
