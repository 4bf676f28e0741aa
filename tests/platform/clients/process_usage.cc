#include "tests/platform/clients/process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"

namespace dragonflyglade {

std::size_t PeakMemoryOf(pid_t process) {
  constexpr std::size_t kKilobyte = 1024;
  std::ifstream status(absl::StrCat("/proc/", process, "/status"));
  std::string word;
  std::size_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmHWM:") status >> kilobytes;
  }
  return kilobytes * kKilobyte;
}

int OpenDescriptorsOf(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      absl::StrCat("/proc/", process, "/fd"), error);
  return static_cast<int>(std::distance(begin(entries), end(entries)));
}

}  // namespace dragonflyglade
