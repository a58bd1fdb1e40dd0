// Configurations that operators name on a command line.
#ifndef BALSAMHALL_OPERATOR_CONFIG_SOURCE_H_
#define BALSAMHALL_OPERATOR_CONFIG_SOURCE_H_

#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// Reads and checks a sheet, or a JSON file if its first character is "{".
// Fails with kOperatorFileMissing, kSheetInvalid (the detail lists every fault
// with its cell) or a configuration code. Thread-safe.
Result<schema::RoutingConfig> ReadConfigFile(const std::string& path);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_CONFIG_SOURCE_H_
