#include "tests/fleet/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <stdexcept>

extern char** environ;

namespace dragonflyglade {

Process::Process(const std::vector<std::string>& command,
                 const std::string& log, Output output) {
  std::array<int, 2> pipe_ends;
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int to = output == Output::kLog ? STDERR_FILENO : pipe_ends[1];
  posix_spawn_file_actions_adddup2(&actions, to, STDOUT_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int spawn_error = posix_spawn(&this->pid, command[0].c_str(), &actions,
                                      nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  this->output = pipe_ends[0];
  if (spawn_error != 0) throw std::runtime_error("cannot start " + command[0]);
}

Process::~Process() {
  if (!this->exit_code.has_value()) {
    kill(this->pid, SIGKILL);
    this->Wait();
  }
  close(this->output);
}

std::string Process::ReadLine() {
  std::string line;
  char c = 0;
  while (read(this->output, &c, 1) == 1 && c != '\n') line += c;
  return line;
}

void Process::Signal(int signal) {
  if (!this->exit_code.has_value()) kill(this->pid, signal);
}

int Process::Wait() {
  if (this->exit_code.has_value()) return *this->exit_code;
  int status = 0;
  waitpid(this->pid, &status, 0);
  this->RecordExit(status);
  return *this->exit_code;
}

bool Process::Running() {
  if (this->exit_code.has_value()) return false;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) return true;
  this->RecordExit(status);
  return false;
}

void Process::RecordExit(int status) {
  this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  this->term_signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
}

std::string Process::ExitDescription() const {
  if (!this->exit_code.has_value()) return "not ended";
  if (this->term_signal == 0) {
    return "exit code " + std::to_string(*this->exit_code);
  }
  return "signal " + std::to_string(this->term_signal) + " (" +
         strsignal(this->term_signal) + ")";
}

}  // namespace dragonflyglade
