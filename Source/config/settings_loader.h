// Settings of a router process.
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
// kOperatorFileMissing, or with kSettingsInvalid and a detail that holds every
// fault with its path. The detail never holds the operator key. Reads the
// environment: not thread-safe against setenv.
Result<schema::RouterSettings> LoadSettings(const std::string& path);

// The same for JSON text that was read already.
Result<schema::RouterSettings> ParseSettings(const std::string& json);

// Returns every broken rule of settings whose defaults are filled in.
// Thread-safe.
std::vector<ConfigError> CheckSettings(const schema::RouterSettings& settings);

}  // namespace balsamhall

#endif  // BALSAMHALL_CONFIG_SETTINGS_LOADER_H_
