#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_EXCHANGE_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/target_reachability.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/caller_buffers.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/request_memory.h"
#include "dragonflyglade/gateway/step_timer.h"
#include "dragonflyglade/gateway/target_connection.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// No byte of the request was sent, so the target did not execute it.
struct NotSent {
  std::string why;
  /// How the connection attempt failed, if that is why.
  std::optional<ConnectError> connect_error = std::nullopt;
  /// The instance that was to forward the request failed, or has no path
  /// either. That says nothing about the target.
  bool peer_failed = false;
  /// For how long the instance that was to forward the request may send nothing
  /// to the target.
  absl::Duration peer_rest = absl::ZeroDuration();
  /// This instance itself kept the request back; see CheckBeforeSend.
  bool withheld = false;
};
/// The target states that it did not execute the request.
struct Declined {
  ResponseHead head;
  int earlier_exchanges = 0;  ///< on the connection
};
/// The request was sent, but no valid response arrived: its outcome is unknown,
/// the target may have executed it.
struct OutcomeUnknown {
  std::string why;
  bool timed_out = false;
  /// Whether the connection ended, as all do when the target's process ends.
  bool connection_ended = false;
  /// The response stayed unread for so long that the target may have cut it
  /// off.
  bool caller_was_slow = false;
  /// Whether it ended by a close or reset of the other side.
  bool closed_by_peer = false;
  bool silent =
      false;  ///< a Read waited for longer than SetSilenceLimit allows
  bool no_memory = false;  ///< CutOff ended it
};
/// A complete response to this request.
struct CompleteResponse {
  ResponseHead head;
  std::string body;
  bool ended_by_close = false;  ///< it stated no length and had no chunks
};
/// The head of an event stream; Read returns the body.
struct StreamHead {
  ResponseHead head;
};
using ExchangeOutcome = std::variant<NotSent, Declined, OutcomeUnknown,
                                     CompleteResponse, StreamHead>;

/// The next bytes of a stream's body.
struct StreamBytes {
  std::string_view bytes;  ///< valid until the next read
};
/// The stream ended, by its framing or with its connection.
struct EndOfStream {
  bool ended_by_close = false;
};
using StreamReadResult = std::variant<StreamBytes, EndOfStream, OutcomeUnknown>;

/// Exchanges one request and its response with one target on one connection.
/// Runs on one event loop.
///
/// The connection returns to the pool only if the whole request was written,
/// the response ended by its own framing, and no bytes followed it.
class TargetExchange {
 public:
  TargetExchange(boost::asio::io_context& context, ConnectionPool& pool,
                 const WireFormat& wire, Clock clock);
  ~TargetExchange();
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  /// Sends the request and reads the response, or the head of a stream.
  /// @param address IP address and port of the target
  /// @param request_id id that the response must carry, unless the connection
  ///     has carried nothing else; empty if the request has none
  /// @param head request line and header fields, with the blank line
  /// @param body may be null; held until it is written or the exchange ends
  /// @param deadline when the whole exchange times out
  boost::asio::awaitable<ExchangeOutcome> Run(std::string_view address,
                                              std::string_view request_id,
                                              std::string head, SharedBody body,
                                              Instant deadline);

  /// Makes Run connect to the target through another instance; see
  /// TunnelServer. To be called before Run.
  /// @param peer IP address and port of the other instance's tunnels
  /// @param target id of the target
  /// @param self name of this instance
  void UseTunnel(std::string peer, std::string target, std::string self) {
    this->tunnel = Tunnel{std::move(peer), std::move(target), std::move(self)};
  }

  using ConnectObserver = std::function<void(const NotSent* failure)>;
  /// Sets a function that is called with the outcome of each attempt to connect
  /// or to open a tunnel, as soon as it is known; null if it succeeded. It is
  /// not called if this instance ended the attempt itself. To be called before
  /// Run.
  void ObserveConnect(ConnectObserver observer) {
    this->observer = std::move(observer);
  }

  using HeadObserver = std::function<void(const ResponseHead& head)>;
  /// Sets a function that is called with the head of each response. To be
  /// called before Run.
  void ObserveHead(HeadObserver observer) {
    this->head_observer = std::move(observer);
  }

  /// Sets a function that is called with the head of each response that is
  /// skipped, since it is not the one to this request. To be called before Run.
  void ObserveSkipped(HeadObserver observer) {
    this->skip_observer = std::move(observer);
  }

  /// Sets a function that Run calls when it has a connection. If it returns
  /// false, nothing is sent.
  void CheckBeforeSend(std::function<bool()> may_send) {
    this->may_send = std::move(may_send);
  }

  /// Lets Run use no connection on which an earlier attempt of the request was
  /// sent, and add the one that it uses. To be called before Run.
  /// @param used must outlive Run
  void UseConnectionsOnce(UsedConnections& used) { this->used = &used; }

  /// Connects and adds the connection to the pool without using it.
  /// @return nothing if it was established
  boost::asio::awaitable<std::optional<NotSent>> OpenConnection(
      std::string_view address, Instant deadline);

  /// Lets Run continue past its deadline while the response's body arrives, as
  /// long as the gap between two reads is no longer than this timeout. To be
  /// called before Run.
  void SetStallTimeout(absl::Duration timeout) {
    this->stall_timeout = timeout;
  }

  /// Counts the bodies that Run reads, and lets them wait for room. To be
  /// called before Run.
  /// @param receipt must outlive Run
  void CountBody(CallerBuffers::Receipt& receipt) { this->receipt = &receipt; }

  /// Limits the size of a complete body that Run reads. To be called before
  /// Run.
  void SetBodyLimit(std::size_t bytes) { this->max_body_bytes = bytes; }

  /// Limits the time that each following Read waits for bytes.
  void SetSilenceLimit(absl::Duration limit) { this->silence_limit = limit; }

  /// Reads the next bytes of a stream, after Run returned a StreamHead.
  boost::asio::awaitable<StreamReadResult> Read();

  /// Closes the connection, which ends a running exchange.
  /// @param why reason, reported in the outcome
  void Abort(std::string_view why);

  /// Ends a running exchange because this instance has no memory for the
  /// response.
  void CutOff();

  /// Whether the exchange used a pooled connection.
  bool Reused() const { return this->reused; }

 private:
  /// Responses of services without engines are some kilobytes long.
  static constexpr std::size_t kMaxBodyBytes = 16u << 20;

  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  struct RequestWrite;
  struct Tunnel {
    std::string peer;
    std::string target;
    std::string self;
  };

  boost::asio::awaitable<std::optional<NotSent>> Connect(
      std::string_view address, std::string_view request_id, Instant deadline);
  boost::asio::awaitable<std::optional<NotSent>> ConnectAnew(
      std::string_view address, Instant deadline);
  boost::asio::awaitable<std::optional<NotSent>> TryConnect(
      std::string_view address, Instant deadline);
  boost::asio::awaitable<std::optional<NotSent>> EstablishTunnel(
      Instant deadline);
  void RecordEndOfBody();
  boost::asio::awaitable<bool> EndsWithoutProof();
  void StartWriting(std::string head, SharedBody body);
  boost::asio::awaitable<std::optional<OutcomeUnknown>> ReadHead(
      std::string_view request_id);
  bool AnswersRequest(std::string_view request_id) const;
  boost::asio::awaitable<std::optional<OutcomeUnknown>> ReadOneHead();
  boost::asio::awaitable<std::optional<OutcomeUnknown>> ReadBody(
      std::string& body, std::size_t max_bytes);
  boost::asio::awaitable<void> AwaitRoomForBody();
  boost::asio::awaitable<void> ReadDeclinedBody();
  void StartStep(Instant until, std::string_view why);
  void RestartStallTimeout();
  void StartSilenceLimit();
  void StopSilenceLimit();
  bool HasUnreadBytes() const;
  OutcomeUnknown UnknownOutcomeAfter(
      const boost::system::error_code& error) const;
  void Finish();

  boost::asio::io_context& context;
  ConnectionPool& pool;
  const WireFormat& wire;
  const Clock clock;
  StepTimer timer;
  std::shared_ptr<TargetConnection> connection;
  std::shared_ptr<RequestWrite> write;
  std::optional<Parser> parser;
  std::string read_buffer;
  ResponseHead head;
  std::string aborted_by;  ///< empty: not aborted
  std::optional<Tunnel> tunnel;
  ConnectObserver observer;
  HeadObserver head_observer;
  HeadObserver skip_observer;
  std::function<bool()> may_send;
  UsedConnections* used = nullptr;
  Instant deadline;
  std::optional<absl::Duration> stall_timeout;
  std::optional<absl::Duration> silence_limit;
  std::size_t max_body_bytes = kMaxBodyBytes;
  bool timed_out = false;
  bool silent = false;
  bool no_memory = false;
  CallerBuffers::Receipt* receipt = nullptr;
  bool reused = false;
  int earlier_exchanges = 0;  ///< on the connection
  /// The response does not have the id that the request has.
  bool is_unnamed = false;
  /// Set when the end of a body was read that ends with its connection.
  std::optional<bool> ended_in_order;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_EXCHANGE_H_
