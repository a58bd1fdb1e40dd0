#include "operator/commands.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>
#include <unistd.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <sstream>

#include "Operator/child_process.h"
#include "config/text_file.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(Commands)

struct NamedCommand {
  const char* name;
  Command run;
};

std::ostream& operator<<(std::ostream& stream, const NamedCommand& command) {
  return stream << command.name;
}

const NamedCommand kCommands[] = {
    {"balsamhall-sheet", RunSheet},
    {"balsamhall-publish", RunPublish},
    {"balsamhall-status", RunStatus},
    {"balsamhall-explain", RunExplain},
};

struct Outcome {
  ExitStatus status;
  std::string out;
  std::string err;
};

Outcome Run(Command command, const CommandArguments& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const auto status = command(arguments, {out, err});
  return {status, out.str(), err.str()};
}

struct ExitCase {
  Command run;
  CommandArguments arguments;
  ExitStatus status;
  const char* reason;  // part of what is written to the error stream
};

std::ostream& operator<<(std::ostream& stream, const ExitCase& exit) {
  return stream << fmt::format("{}", fmt::join(exit.arguments, " "));
}

// Port 1 of loopback refuses connections, so no router answers there.
constexpr const char* kSilent = "127.0.0.1:1";
constexpr const char* kSheet = "Examples/association.csv";

// Guards against scripts that take one failure for another, and against a
// command that fails without a reason.
const ExitCase kExits[] = {
    {RunSheet, {}, ExitStatus::kUsage, "322"},
    {RunSheet, {"check"}, ExitStatus::kUsage, "322"},
    {RunSheet, {"prove", kSheet}, ExitStatus::kUsage, "prove"},
    {RunSheet, {"check", kSheet, "extra"}, ExitStatus::kUsage, "extra"},
    {RunSheet, {"check", kSheet, "--unknown"}, ExitStatus::kUsage, "--unknown"},
    {RunSheet, {"check", "missing.csv"}, ExitStatus::kFileMissing, "323"},
    {RunSheet, {"check", "README.md"}, ExitStatus::kInvalid, "310"},
    {RunSheet, {"check", kSheet}, ExitStatus::kOk, ""},
    {RunSheet, {"convert", kSheet}, ExitStatus::kOk, ""},
    {RunSheet, {"diff", kSheet}, ExitStatus::kUsage, "--router"},
    {RunSheet,
     {"check", kSheet, "--against", kSheet},
     ExitStatus::kUsage,
     "--against"},
    {RunSheet, {"diff", kSheet, "--against", kSheet}, ExitStatus::kOk, ""},
    {RunSheet,
     {"diff", kSheet, "--against", "missing"},
     ExitStatus::kFileMissing,
     "323"},
    {RunSheet,
     {"diff", kSheet, "--router", kSilent},
     ExitStatus::kUnreachable,
     "321"},
    {RunPublish, {}, ExitStatus::kUsage, "FILE"},
    {RunPublish, {kSheet, "--router", kSilent}, ExitStatus::kUsage, "based-on"},
    {RunPublish, {kSheet, "--based-on", "0"}, ExitStatus::kUsage, "--router"},
    {RunPublish,
     {kSheet, "--based-on", "old", "--router", kSilent},
     ExitStatus::kUsage,
     "old"},
    {RunPublish,
     {kSheet, "--based-on", "0", "--router", "host:1"},
     ExitStatus::kUsage,
     "host:1"},
    {RunPublish,
     {kSheet, "--based-on", "0", "--declare-lost", "vm-1"},
     ExitStatus::kUsage,
     "either"},
    {RunPublish,
     {"--declare-lost", "vm 1", "--router", kSilent},
     ExitStatus::kUsage,
     "name of a VM"},
    {RunPublish,
     {"missing", "--based-on", "0", "--router", kSilent},
     ExitStatus::kFileMissing,
     "323"},
    {RunPublish,
     {"README.md", "--based-on", "0", "--router", kSilent},
     ExitStatus::kInvalid,
     "310"},
    {RunPublish,
     {kSheet, "--based-on", "0", "--router", kSilent},
     ExitStatus::kWrongKey,
     "320"},
    {RunPublish,
     {kSheet, "--based-on", "0", "--router", kSilent, "--key-file", "missing"},
     ExitStatus::kFileMissing,
     "323"},
    {RunPublish,
     {kSheet, "--based-on", "0", "--router", kSilent, "--key-file",
      "docs/errors.md"},
     ExitStatus::kUnreachable,
     "nothing was published"},
    {RunPublish,
     {"--declare-lost", "vm-1", "--router", kSilent, "--key-file",
      "docs/errors.md"},
     ExitStatus::kUnreachable,
     "nothing was declared"},
    {RunStatus, {}, ExitStatus::kUsage, "--router"},
    {RunStatus, {"--router", kSilent}, ExitStatus::kUnreachable, "321"},
    {RunStatus,
     {"--router", kSilent, "--json"},
     ExitStatus::kUnreachable,
     "321"},
    {RunStatus,
     {"--router", kSilent, "--timeout-ms", "0"},
     ExitStatus::kUsage,
     "--timeout-ms"},
    {RunExplain, {"--router", kSilent}, ExitStatus::kUsage, "either"},
    {RunExplain, {"key", "--router", kSilent}, ExitStatus::kUsage, "--service"},
    {RunExplain,
     {"key", "--service", "lookup"},
     ExitStatus::kUsage,
     "--router"},
    {RunExplain,
     {"key", "--service", "lookup", "--router", kSilent},
     ExitStatus::kUnreachable,
     "321"},
    {RunExplain,
     {"--request", "id", "--router", kSilent},
     ExitStatus::kUnreachable,
     "321"},
};

BOOST_DATA_TEST_CASE(ExitStatusTellsTheCase, data::make(kExits), exit) {
  ::unsetenv("BALSAMHALL_OPERATOR_KEY");
  const auto outcome = Run(exit.run, exit.arguments);
  BOOST_TEST_INFO(outcome.err);
  BOOST_TEST(static_cast<int>(outcome.status) == static_cast<int>(exit.status));
  BOOST_TEST_INFO(outcome.err);
  BOOST_TEST(outcome.err.find(exit.reason) != std::string::npos);
  BOOST_TEST(outcome.err.empty() == (exit.status == ExitStatus::kOk));
}

// Guards against an operator key in the output of a failed command.
BOOST_AUTO_TEST_CASE(OperatorKeyIsNeverShown) {
  ::setenv("BALSAMHALL_OPERATOR_KEY", "secret-value", 1);
  for (const CommandArguments& arguments :
       {CommandArguments{kSheet, "--based-on", "0", "--router", kSilent},
        CommandArguments{"--declare-lost", "vm-1", "--router", kSilent},
        CommandArguments{"--help"}}) {
    const auto outcome = Run(RunPublish, arguments);
    BOOST_TEST(outcome.out.find("secret-value") == std::string::npos);
    BOOST_TEST(outcome.err.find("secret-value") == std::string::npos);
  }
  ::unsetenv("BALSAMHALL_OPERATOR_KEY");
}

// Returns the long options that a text names.
std::set<std::string> LongOptions(const std::string& text) {
  std::set<std::string> options;
  for (auto at = text.find("--"); at != std::string::npos;
       at = text.find("--", at + 2)) {
    const auto end =
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyz-", at + 2);
    const auto option = text.substr(at, end - at);
    const bool begins = at == 0 || (text[at - 1] != '-' && text[at - 1] != '|');
    if (begins && option.size() > 2 && option[2] != '-') options.insert(option);
  }
  return options;
}

// Guards against a page that names other options than the command has.
BOOST_DATA_TEST_CASE(HelpPageNamesTheSameOptions, data::make(kCommands),
                     command) {
  const auto page = ReadTextFile(fmt::format("Help/{}.md", command.name));
  BOOST_REQUIRE(page);
  const auto outcome = Run(command.run, {"--help"});
  BOOST_TEST(static_cast<int>(outcome.status) == 0);
  BOOST_TEST(LongOptions(page.value()) == LongOptions(outcome.out),
             boost::test_tools::per_element());
  // The synopsis of the page is that of the command.
  const auto usage = outcome.out.substr(0, outcome.out.find("\n\n"));
  BOOST_TEST(page.value().find(usage) != std::string::npos, usage);
}

// Guards against an exit status that the page does not explain.
BOOST_DATA_TEST_CASE(HelpPageListsItsExitStatuses, data::make(kCommands),
                     command) {
  const auto page = ReadTextFile(fmt::format("Help/{}.md", command.name));
  BOOST_REQUIRE(page);
  for (const auto& exit : kExits) {
    if (exit.run != command.run) continue;
    const auto row = fmt::format("\n| {} |", static_cast<int>(exit.status));
    BOOST_TEST(page.value().find(row) != std::string::npos, row);
  }
}

// Guards against a page of another binary that names other options than the
// binary has.
BOOST_DATA_TEST_CASE(BinaryPageNamesTheSameOptions,
                     data::make({"balsamhall-router", "balsamhall-load"}),
                     name) {
  const auto page = ReadTextFile(fmt::format("Help/{}.md", name));
  BOOST_REQUIRE(page);
  const auto output = (std::filesystem::temp_directory_path() /
                       fmt::format("{}-help-{}", name, ::getpid()))
                          .string();
  std::filesystem::remove(output);
  ChildProcess process(fmt::format("{}/{}", BALSAMHALL_BINARY_DIR, name),
                       {"--help"}, output);
  BOOST_TEST(process.Wait(Milliseconds(10'000)).value_or(-1) == 0);
  auto options = LongOptions(process.Output());
  std::filesystem::remove(output);
  // TCLAP adds "--ignore_rest" to every binary.
  options.erase("--ignore");
  BOOST_TEST(LongOptions(page.value()) == options,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
