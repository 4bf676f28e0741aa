// Runs the scenario file named on the command line. Exits with 1 if an
// expectation fails, with 2 if the file is not valid.

#include <signal.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tests/scenario/scenario.h"

int main(int argc, char** argv) {
  using namespace dragonflyglade;  // NOLINT: the project's own names.
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "use: dragonflyglade_scenario FILE\n";
    return 2;
  }
  std::ifstream file(argv[1]);
  std::ostringstream text;
  text << file.rdbuf();
  const auto commands = ParseScenario(argv[1], text.str());
  if (!commands.Ok()) {
    std::cerr << commands.Error().ToString() << "\n";
    return 2;
  }
  try {
    RunScenario(argv[1], commands.Value());
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
