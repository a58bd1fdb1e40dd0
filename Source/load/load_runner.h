// Sends a planned load to routers over HTTP.
#ifndef BALSAMHALL_LOAD_LOAD_RUNNER_H_
#define BALSAMHALL_LOAD_LOAD_RUNNER_H_

#include <memory>
#include <string>

#include "core/types.h"
#include "load/load_report.h"
#include "load/request_ledger.h"

namespace balsamhall {

struct LoadOptions {
  Milliseconds interval{1000};
  // The answer of a backend stand-in names its request; another one counts as
  // mismatched.
  bool check_bodies = false;
};

// Open loop: a request is sent at its planned time, whatever came back so far.
// A request that could not be sent to one router goes to another one, as
// behind a load balancer. Not thread-safe.
class LoadRunner {
 public:
  LoadRunner(const schema::LoadScenario& scenario, std::string tag,
             LoadOptions options);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  // Blocks until every request is answered or past its deadline.
  void Run();

  LoadReport& report();
  const RequestLedger& ledger() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_LOAD_RUNNER_H_
