#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_EXCHANGE_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/step_timer.h"
#include "dragonflyglade/gateway/target_connection.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// Not one byte of the request left this instance: it did not run.
struct NotSent {
  std::string why;
  bool refused = false;  ///< nobody listens there: the process has ended
};
/// The target says itself that it did not run the request.
struct Declined {
  ResponseHead head;
};
/// The request left and no sound answer came: it may have run.
struct Lost {
  std::string why;
  bool timed_out = false;
};
/// A whole answer, of the length that it states, to this request.
struct WholeAnswer {
  ResponseHead head;
  std::string body;
};
/// The head of a stream of events; its bytes are read one by one.
struct StreamHead {
  ResponseHead head;
};
using ExchangeOutcome =
    std::variant<NotSent, Declined, Lost, WholeAnswer, StreamHead>;

/// The next bytes of a stream.
struct StreamBytes {
  std::string_view bytes;  ///< valid until the next read
};
/// The stream ended as its framing says it should.
struct EndOfStream {};
using StreamReadResult = std::variant<StreamBytes, EndOfStream, Lost>;

/// One request to one target on one connection. One event loop.
///
/// The connection goes back to the pool only if all of the request was
/// written, the answer ended by its own framing, and nothing followed it.
class TargetExchange {
 public:
  TargetExchange(boost::asio::io_context& context, ConnectionPool& pool,
                 const WireFormat& wire, Clock clock);
  ~TargetExchange();
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  /// Sends the request and reads the answer, or the head of a stream.
  /// @param address IP number and port
  /// @param give_up when to stop waiting for the whole exchange
  boost::asio::awaitable<ExchangeOutcome> Run(std::string_view address,
                                              std::string_view request_id,
                                              std::string head,
                                              std::string_view body,
                                              Instant give_up);

  /// From the head on, Run waits past its end for as long as bytes of the
  /// answer come, none later than this after the one before. Called before Run.
  void SetStallTimeout(absl::Duration stalled) { this->stalled = stalled; }

  /// The next part of a stream, after Run gave a StreamHead.
  boost::asio::awaitable<StreamReadResult> Read();

  /// Ends the exchange from outside: closes the connection.
  void Abort(std::string_view why);

  /// Whether the exchange took a connection that was kept from another one.
  bool Reused() const { return this->reused; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  struct Written;

  boost::asio::awaitable<std::optional<NotSent>> Connect(
      std::string_view address, Instant give_up);
  void StartWriting(std::string head, std::string_view body);
  boost::asio::awaitable<std::optional<Lost>> ReadHead(
      std::string_view request_id);
  boost::asio::awaitable<std::optional<Lost>> ReadOneHead();
  boost::asio::awaitable<std::optional<Lost>> ReadBody(std::string& body);
  void StartStep(Instant until, std::string_view why);
  void BytesCame();
  bool BytesWait() const;
  Lost LostBy(const boost::system::error_code& error) const;
  void Finish();

  boost::asio::io_context& context;
  ConnectionPool& pool;
  const WireFormat& wire;
  const Clock clock;
  StepTimer timer;
  std::shared_ptr<TargetConnection> connection;
  std::shared_ptr<Written> written;
  std::optional<Parser> parser;
  std::string piece;
  ResponseHead head;
  std::string aborted_by;  ///< empty: not aborted
  Instant give_up;
  std::optional<absl::Duration> stalled;
  bool timed_out = false;
  bool reused = false;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_EXCHANGE_H_
