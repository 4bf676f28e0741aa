#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <vector>

#include "dragonflyglade/gateway/peek_socket.h"

namespace dragonflyglade {
namespace {

using boost::asio::ip::tcp;
using gateway::PeekSocket;
using gateway::SocketState;

struct LookCase {
  const char* what;
  std::function<void(tcp::socket& own, tcp::socket& other)> happens;
  SocketState state;
};

void Reset(tcp::socket& socket) {
  socket.set_option(tcp::socket::linger(true, 0));
  socket.close();
}

class UnitPeekSocketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnitPeekSocketTest);
  CPPUNIT_TEST(TellsAnEndFromNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A caller that says nothing was taken for one that left.
  void TellsAnEndFromNothing() {
    const std::vector<LookCase> cases = {
        {"nothing", [](tcp::socket&, tcp::socket&) {}, SocketState::kNoData},
        {"bytes",
         [](tcp::socket&, tcp::socket& other) {
           boost::asio::write(other, boost::asio::buffer("x", 1));
         },
         SocketState::kBytes},
        {"bytes before an end",
         [](tcp::socket&, tcp::socket& other) {
           boost::asio::write(other, boost::asio::buffer("x", 1));
           other.close();
         },
         SocketState::kBytes},
        {"the other end closed",
         [](tcp::socket&, tcp::socket& other) { other.close(); },
         SocketState::kClosed},
        {"the other end reset",
         [](tcp::socket&, tcp::socket& other) { Reset(other); },
         SocketState::kFailed},
        {"closed here", [](tcp::socket& own, tcp::socket&) { own.close(); },
         SocketState::kFailed},
    };
    for (const LookCase& item : cases) {
      boost::asio::io_context context;
      const auto loopback = boost::asio::ip::address_v4::loopback();
      tcp::acceptor acceptor(context, tcp::endpoint(loopback, 0));
      tcp::socket other(context);
      other.connect(acceptor.local_endpoint());
      tcp::socket own = acceptor.accept();
      item.happens(own, other);
      CPPUNIT_ASSERT_MESSAGE(item.what, item.state == PeekSocket(own));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UnitPeekSocketTest, "unit-peek-socket");

}  // namespace
}  // namespace dragonflyglade
