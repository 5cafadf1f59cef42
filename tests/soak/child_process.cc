#include "tests/soak/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace flamingoshunt::soak {
namespace {

constexpr int kSignalBase = 128;
constexpr int kCannotRun = 127;
constexpr mode_t kOwnerOnly = 0600;

// Replaces the forked process; returns only if that fails.
void Execute(std::vector<std::string> command, const std::string& log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
      open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, kOwnerOnly);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  std::vector<char*> words;
  words.reserve(command.size() + 1);
  for (std::string& word : command)
    words.push_back(word.data());
  words.push_back(nullptr);
  execv(words.front(), words.data());
}

}  // namespace

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& log)
    : pid_(fork()) {
  if (pid_ < 0)
    throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    Execute(command, log);
    _exit(kCannotRun);
  }
}

child_process::~child_process() {
  if (ExitCode())
    return;
  // A stopped process takes this signal, too.
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
}

void child_process::Signal(int signal) {
  if (!ExitCode())
    kill(pid_, signal);
}

std::optional<int> child_process::ExitCode() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_)
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : kSignalBase + WTERMSIG(status);
  return exit_code_;
}

}  // namespace flamingoshunt::soak
