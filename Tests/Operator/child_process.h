// A process that a test starts, with its output in a file.
#ifndef BALSAMHALL_TESTS_OPERATOR_CHILD_PROCESS_H_
#define BALSAMHALL_TESTS_OPERATOR_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// Killed and reaped when destroyed. Not thread-safe.
class ChildProcess {
 public:
  // Starts the binary with arguments; standard output and error go to a file.
  ChildProcess(const std::string& binary, std::vector<std::string> arguments,
               std::string output_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends a signal unless the process has ended.
  void Signal(int number);

  // Waits for the end and returns the exit status, or nullopt if it has not
  // ended in time or was killed by a signal.
  std::optional<int> Wait(Milliseconds limit);

  // Returns whether the process has ended, also by a signal.
  bool HasEnded();

  // Returns what the process has written so far.
  std::string Output() const;

 private:
  std::string output_file_;
  pid_t pid_ = -1;
  std::optional<int> status_;  // of waitpid
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_OPERATOR_CHILD_PROCESS_H_
