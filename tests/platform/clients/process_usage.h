#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_PROCESS_USAGE_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>

namespace dragonflyglade {

/// The most memory that a process has had resident, in bytes.
std::size_t PeakMemoryOf(pid_t process);

/// The number of descriptors that a process has open.
int OpenDescriptorsOf(pid_t process);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_PROCESS_USAGE_H_
