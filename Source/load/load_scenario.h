// Scenario files of balsamhall-load.
#ifndef BALSAMHALL_LOAD_LOAD_SCENARIO_H_
#define BALSAMHALL_LOAD_LOAD_SCENARIO_H_

#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// Parses JSON, fills in defaults and checks every rule. Fails with
// kSettingsInvalid and the path of the first fault. Thread-safe.
Result<schema::LoadScenario> ParseLoadScenario(const std::string& json);

// Returns the mean number of requests that the scenario plans, repeats
// excluded. Thread-safe.
double ExpectedRequests(const schema::LoadScenario& scenario);

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_LOAD_SCENARIO_H_
