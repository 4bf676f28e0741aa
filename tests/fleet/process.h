#ifndef DRAGONFLYGLADE_TESTS_FLEET_PROCESS_H_
#define DRAGONFLYGLADE_TESTS_FLEET_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyglade {

/// A child process of a test. The destructor kills it if it still runs.
class Process {
 public:
  /// Where standard output goes: to a pipe for ReadLine, which fills up if
  /// nobody reads it, or to the same file as standard error.
  enum class Output { kPipe, kLog };

  /// Starts a program.
  /// @param command its path and arguments
  /// @param log file to which its standard error is appended
  Process(const std::vector<std::string>& command, const std::string& log,
          Output output = Output::kPipe);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line of its standard output, or for the end of it.
  std::string ReadLine();
  void Signal(int signal);
  /// Waits until the process exits. Returns the exit code, or -1 if a signal
  /// terminated it.
  int Wait();
  bool Running();
  pid_t Pid() const { return this->pid; }
  /// How the process ended, e.g. "exit code 1" or "signal 6 (Aborted)".
  std::string ExitDescription() const;

 private:
  void RecordExit(int status);

  pid_t pid = -1;
  int output = -1;
  std::optional<int> exit_code;
  int term_signal = 0;  ///< the signal that terminated it, or 0
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_FLEET_PROCESS_H_
