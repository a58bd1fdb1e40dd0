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

// Feeds the ownership controller and carries out its actions.
class ControlLoop {
 public:
  // traces outlives the loop. Creates the traffic workers.
  ControlLoop(const schema::RouterSettings& settings, TraceStore& traces);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Binds all addresses of the router. Call once, before Run.
  Result<void> Listen();

  // Runs until a graceful shutdown has ended. Returns false if its time limit
  // was reached. handle_signals makes SIGTERM and SIGINT request a shutdown.
  bool Run(bool handle_signals);

  // Starts a graceful shutdown. Thread-safe.
  void RequestShutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_LOOP_H_
