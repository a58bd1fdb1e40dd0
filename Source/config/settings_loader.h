// Loader for the settings of a router process.
#ifndef BALSAMHALL_CONFIG_SETTINGS_LOADER_H_
#define BALSAMHALL_CONFIG_SETTINGS_LOADER_H_

#include <string>
#include <vector>

#include "core/config_rules.h"
#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// Reads the JSON settings file, fills in defaults, takes the operator key from
// the environment if the file has none, and checks every rule. Fails with
// kOperatorFileMissing if the file can't be read, or with kSettingsInvalid and
// a detail that lists every error with its path. The detail never contains the
// operator key. Reads the environment: not thread-safe against setenv.
Result<schema::RouterSettings> LoadSettings(const std::string& path);

// As LoadSettings, for JSON text that is already in memory.
Result<schema::RouterSettings> ParseSettings(const std::string& json);

// Returns an error for every violated rule; empty if the settings are valid.
// The defaults must be filled in. Thread-safe.
std::vector<ConfigError> CheckSettings(const schema::RouterSettings& settings);

}  // namespace balsamhall

#endif  // BALSAMHALL_CONFIG_SETTINGS_LOADER_H_
