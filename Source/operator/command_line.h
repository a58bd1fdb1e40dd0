// Command lines of the operator commands.
#ifndef BALSAMHALL_OPERATOR_COMMAND_LINE_H_
#define BALSAMHALL_OPERATOR_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "core/result_code.h"
#include "operator/exit_status.h"

namespace balsamhall {

// Where a command writes: results and failures.
struct CommandIo {
  std::ostream& out;
  std::ostream& err;
};

// Writes "COMMAND: reason [code name]" and returns the exit status.
ExitStatus ReportFailure(CommandIo io, const std::string& command,
                         const Error& error);

// TCLAP command line that writes to the given streams and never exits by
// itself. Not thread-safe.
class CommandLine {
 public:
  // synopsis: the arguments without the command's name, one form per element.
  CommandLine(std::string command, std::string description,
              std::vector<std::string> synopsis);

  // Arguments are added to this object; they must outlive Parse.
  TCLAP::CmdLine& arguments() { return line_; }

  // Parses the arguments that follow the command's name. Returns a status if
  // the command has to end: help or version was written, or the arguments are
  // wrong and the reason and usage were written.
  std::optional<ExitStatus> Parse(const std::vector<std::string>& arguments,
                                  CommandIo io);

  // Writes the reason and the usage, for faults that Parse can't see.
  ExitStatus Misused(CommandIo io, const std::string& reason);

 private:
  void WriteUsage(std::ostream& stream) const;
  void WriteHelp(std::ostream& stream);

  std::string command_;
  std::string description_;
  std::vector<std::string> synopsis_;
  TCLAP::CmdLine line_;
  TCLAP::SwitchArg help_;
  TCLAP::SwitchArg version_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_COMMAND_LINE_H_
