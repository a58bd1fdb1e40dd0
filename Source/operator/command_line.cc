#include "operator/command_line.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>

namespace balsamhall {
namespace {

constexpr const char* kVersion = "0.1.0";

}  // namespace

ExitStatus ReportFailure(CommandIo io, const std::string& command,
                         const Error& error) {
  io.err << fmt::format("{}: {} [{} {}]\n", command, error.detail,
                        static_cast<int>(error.code),
                        ResultCodeName(error.code));
  return ExitStatusOf(error.code);
}

CommandLine::CommandLine(std::string command, std::string description,
                         std::vector<std::string> synopsis)
    : command_(std::move(command)),
      description_(std::move(description)),
      synopsis_(std::move(synopsis)),
      line_(description_, ' ', kVersion, false),
      help_("h", "help", "Shows this text.", line_),
      version_("", "version", "Shows the version.", line_) {
  line_.setExceptionHandling(false);
  // TCLAP remembers an optional positional argument for the whole process and
  // would refuse it in a second command line.
  TCLAP::OptionalUnlabeledTracker::alreadyOptional() = false;
}

std::optional<ExitStatus> CommandLine::Parse(
    const std::vector<std::string>& arguments, CommandIo io) {
  // Required arguments would be reported as missing before help is seen.
  if (std::ranges::any_of(arguments, [](const std::string& argument) {
        return argument == "--help" || argument == "-h";
      })) {
    WriteHelp(io.out);
    return ExitStatus::kOk;
  }
  std::vector<std::string> all = {command_};
  all.insert(all.end(), arguments.begin(), arguments.end());
  try {
    line_.parse(all);
  } catch (const TCLAP::ArgException& fault) {
    return Misused(io, fmt::format("{} {}", fault.argId(), fault.error()));
  }
  if (version_.getValue()) {
    io.out << fmt::format("{} {}\n", command_, kVersion);
    return ExitStatus::kOk;
  }
  return std::nullopt;
}

ExitStatus CommandLine::Misused(CommandIo io, const std::string& reason) {
  const auto status =
      ReportFailure(io, command_, {ResultCode::kOperatorUsage, reason});
  WriteUsage(io.err);
  io.err << fmt::format("Try {} --help.\n", command_);
  return status;
}

void CommandLine::WriteUsage(std::ostream& stream) const {
  const char* lead = "Usage:";
  for (const auto& form : synopsis_) {
    stream << fmt::format("{} {} {}\n", lead, command_, form);
    lead = "      ";
  }
}

void CommandLine::WriteHelp(std::ostream& stream) {
  WriteUsage(stream);
  stream << fmt::format("\n{}\n\n", description_);
  // TCLAP keeps positional arguments behind the options, which are in reverse
  // order.
  std::vector<std::string> positional;
  std::vector<std::string> options;
  for (const TCLAP::Arg* argument : line_.getArgList()) {
    if (argument->getName() == TCLAP::Arg::ignoreNameString()) continue;
    auto& list = argument->longID().starts_with('<') ? positional : options;
    list.push_back(fmt::format("  {}\n      {}\n", argument->longID(),
                               argument->getDescription()));
  }
  std::ranges::reverse(options);
  stream << fmt::format("{}{}", fmt::join(positional, ""),
                        fmt::join(options, ""));
}

}  // namespace balsamhall
