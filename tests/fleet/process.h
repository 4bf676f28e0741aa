#ifndef DRAGONFLYGLADE_TESTS_FLEET_PROCESS_H_
#define DRAGONFLYGLADE_TESTS_FLEET_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyglade {

/// A program that a test runs. Killed when it goes out of scope.
class Process {
 public:
  /// Where standard output goes: to ReadLine, through a pipe that fills up
  /// if nobody reads, or to the same file as standard error.
  enum class Output { kPipe, kLog };

  /// Starts the program; what it writes to standard error goes to a file.
  Process(const std::vector<std::string>& command, const std::string& log,
          Output output = Output::kPipe);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line of its output.
  std::string ReadLine();
  void Signal(int signal);
  /// Waits for its end. Returns the exit code, or -1 if a signal ended it.
  int Wait();
  bool Running();
  /// How it ended, e.g. "exit code 1" or "signal 6 (Aborted)".
  std::string HowEnded() const;

 private:
  void Ended(int status);

  pid_t pid = -1;
  int output = -1;
  std::optional<int> exit_code;
  int ended_by = 0;  ///< a signal, or 0
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_FLEET_PROCESS_H_
