#include "tests/fleet/free_ports.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace dragonflyglade {

using boost::asio::ip::tcp;

// The ephemeral ports of the system begin at 32768.
int FirstTestPort() {
  constexpr int kFirst = 10000;
  constexpr int kPortsOfATest = 100;
  constexpr int kTests = 220;
  return kFirst + static_cast<int>(getpid() % kTests) * kPortsOfATest;
}

int FreePorts(int count, int& from) {
  boost::asio::io_context context;
  while (true) {
    const int first = from;
    from += count;
    bool all_free = true;
    for (int port = first; port < first + count && all_free; ++port) {
      boost::system::error_code error;
      tcp::acceptor acceptor(context);
      acceptor.open(tcp::v4());
      acceptor.bind({boost::asio::ip::address_v4::loopback(),
                     static_cast<unsigned short>(port)},
                    error);
      all_free = !error;
    }
    if (all_free) return first;
  }
}

}  // namespace dragonflyglade
