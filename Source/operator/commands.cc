#include "operator/commands.h"

#include <iostream>

namespace balsamhall {

int RunAsProcess(Command command, int argc, char** argv) {
  const CommandIo io{std::cout, std::cerr};
  try {
    const CommandArguments arguments(argv + 1, argv + argc);
    return static_cast<int>(command(arguments, io));
  } catch (const std::exception& fault) {
    return static_cast<int>(
        ReportFailure(io, argv[0], {ResultCode::kInternal, fault.what()}));
  }
}

}  // namespace balsamhall
