// The operator commands. Each takes the arguments that follow its name, writes
// to the given streams and returns its exit status. Not thread-safe.
#ifndef BALSAMHALL_OPERATOR_COMMANDS_H_
#define BALSAMHALL_OPERATOR_COMMANDS_H_

#include <string>
#include <vector>

#include "operator/command_line.h"
#include "operator/exit_status.h"

namespace balsamhall {

using CommandArguments = std::vector<std::string>;
using Command = ExitStatus (*)(const CommandArguments&, CommandIo);

// Checks, converts and compares sheets.
ExitStatus RunSheet(const CommandArguments& arguments, CommandIo io);
// Publishes a configuration or declares a VM lost.
ExitStatus RunPublish(const CommandArguments& arguments, CommandIo io);
// Shows the state of the fleet.
ExitStatus RunStatus(const CommandArguments& arguments, CommandIo io);
// Explains the owner of a key or the path of a request.
ExitStatus RunExplain(const CommandArguments& arguments, CommandIo io);

// Runs a command as a process. An exception ends it with ExitStatus::kInternal
// and a reason.
int RunAsProcess(Command command, int argc, char** argv);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_COMMANDS_H_
