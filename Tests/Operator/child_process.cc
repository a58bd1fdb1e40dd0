#include "Operator/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace balsamhall {

ChildProcess::ChildProcess(const std::string& binary,
                           std::vector<std::string> arguments,
                           std::string output_file)
    : output_file_(std::move(output_file)) {
  std::vector<char*> argv = {const_cast<char*>(binary.c_str())};
  for (auto& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   output_file_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket that the child inherits stays open when the test closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, binary.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start " + binary);
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  Wait(Milliseconds(5000));
}

void ChildProcess::Signal(int number) {
  if (!status_) ::kill(pid_, number);
}

std::optional<int> ChildProcess::Wait(Milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!status_) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = status;
    } else if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }
  if (!WIFEXITED(*status_)) return std::nullopt;
  return WEXITSTATUS(*status_);
}

bool ChildProcess::HasEnded() {
  Wait(Milliseconds(0));
  return status_.has_value();
}

std::string ChildProcess::Output() const {
  std::ifstream file(output_file_);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace balsamhall
