// Arguments that several operator commands share.
#ifndef BALSAMHALL_OPERATOR_ROUTER_ARGUMENTS_H_
#define BALSAMHALL_OPERATOR_ROUTER_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"
#include "operator/command_line.h"

namespace balsamhall {

// --router and --timeout-ms. Not thread-safe.
class RouterArguments {
 public:
  explicit RouterArguments(CommandLine& line);

  // Returns a reason if the values are wrong. required: at least one router.
  std::optional<std::string> Check(bool required) const;

  std::vector<std::string> addresses() const { return routers_.getValue(); }
  Milliseconds timeout() const;

 private:
  // TCLAP's getValue is not const.
  mutable TCLAP::MultiArg<std::string> routers_;
  mutable TCLAP::ValueArg<int> timeout_;
};

// Reads the operator key: the first line of the file if one is named, else the
// environment variable BALSAMHALL_OPERATOR_KEY. Fails with kOperatorFileMissing
// or kOperatorKeyWrong. No message holds the key.
Result<std::string> ReadOperatorKey(const std::string& key_file);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_ROUTER_ARGUMENTS_H_
