// Reads whole files into memory.
#ifndef BALSAMHALL_CONFIG_TEXT_FILE_H_
#define BALSAMHALL_CONFIG_TEXT_FILE_H_

#include <string>

#include "core/result_code.h"

namespace balsamhall {

// Reads a file of at most 16 MiB. Fails with kOperatorFileMissing if the file
// can't be read or is larger. Thread-safe.
Result<std::string> ReadTextFile(const std::string& path);

}  // namespace balsamhall

#endif  // BALSAMHALL_CONFIG_TEXT_FILE_H_
