#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_CHECK_SERVES_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_CHECK_SERVES_H_

#include <cstddef>
#include <string>

#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {

/// Finds out whether a gateway has borne what clients did to it.
/// @param what the case, for the text
/// @param body_bytes length of the ordinary requests' bodies
/// @return what is wrong; empty if the process runs, its memory never exceeded
///     the bound and ordinary requests are answered
std::string FindFault(const std::string& what, GatewayProcess& gateway,
                      std::size_t memory_bound, std::size_t body_bytes = 0);

/// Fails the test if there is a fault.
void CheckServes(const std::string& what, GatewayProcess& gateway,
                 std::size_t memory_bound, std::size_t body_bytes = 0);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_CHECK_SERVES_H_
