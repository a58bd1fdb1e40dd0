// Child process of a test.
#ifndef BALSAMHALL_TESTS_ROUTER_PROCESS_H_
#define BALSAMHALL_TESTS_ROUTER_PROCESS_H_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// Redirects the standard error of the process to a file. The destructor kills
// the process.
class Process {
 public:
  Process(std::vector<std::string> arguments, const std::string& log) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(),
                                     O_CREAT | O_WRONLY | O_TRUNC, 0644);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    const int failed =
        posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) throw std::runtime_error("cannot start " + arguments[0]);
  }
  ~Process() {
    if (running_) {
      Signal(SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const {
    if (running_) kill(pid_, signal);
  }

  // Returns the exit code or 128 + the signal number, or nullopt if the process
  // is still running after the limit.
  std::optional<int> Wait(Milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (running_ && std::chrono::steady_clock::now() < end) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        running_ = false;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return std::nullopt;
  }

 private:
  pid_t pid_ = 0;
  bool running_ = true;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_ROUTER_PROCESS_H_
