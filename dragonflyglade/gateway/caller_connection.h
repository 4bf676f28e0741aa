#ifndef DRAGONFLYGLADE_GATEWAY_CALLER_CONNECTION_H_
#define DRAGONFLYGLADE_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/caller_buffers.h"
#include "dragonflyglade/gateway/connection_limit.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/request_memory.h"
#include "dragonflyglade/gateway/step_timer.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// The head and body of a received request.
struct ReceivedRequest {
  HttpMessageHead head;
  std::string method;          ///< storage that head.method refers to
  std::string path_and_query;  ///< storage that head.path_and_query refers to
  SharedBody body;             ///< counted in RequestMemory
};
/// A head for which there is no memory. It was not read whole, so the
/// connection closes after the response.
struct HeadRefused {};
/// A request whose body would exceed the limit of RequestMemory. What is left
/// of the body was not read, so the connection closes after the response.
struct BodyRefused {
  ReceivedRequest request;  ///< without the body
  std::uint64_t bytes = 0;  ///< of the body, as far as known
};
/// Bytes that are not a valid request. The gateway responds with the status and
/// closes the connection.
struct MalformedRequest {
  int status = 400;
};
/// The caller closed the connection, or a timeout ended it.
struct CallerDisconnected {};
using ReadResult = std::variant<ReceivedRequest, HeadRefused, BodyRefused,
                                MalformedRequest, CallerDisconnected>;

/// Returns the limits of the current configuration.
using CallerLimitsProvider = std::function<CallerLimits()>;

/// What the connections of an instance's callers share.
struct CallerResources {
  ConnectionLimit& connections;
  RequestMemory& heads;
  RequestMemory& bodies;
  CallerBuffers& buffers;
};

/// A caller's connection: reads requests, writes responses, and detects that
/// the caller disconnects while a request is in progress. Runs on one event
/// loop.
class CallerConnection {
 public:
  CallerConnection(boost::asio::io_context& context,
                   boost::asio::ip::tcp::socket socket,
                   CallerLimitsProvider limits, CallerResources resources,
                   Clock clock);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Reads the next request, within the limits on size and time.
  boost::asio::awaitable<ReadResult> Read();

  /// Writes a complete response. The body must stay valid until then.
  /// @return false if the write failed or the caller has disconnected
  boost::asio::awaitable<bool> WriteResponse(int status, HeaderFields fields,
                                             std::string_view body);

  /// Writes the head of a chunked response and its first bytes, if any.
  /// @return false if the write failed or the caller has disconnected
  boost::asio::awaitable<bool> BeginStream(int status, HeaderFields fields,
                                           std::string_view first);
  /// Writes further bytes of the stream; results as BeginStream.
  boost::asio::awaitable<bool> WritePart(std::string_view bytes);
  /// Writes the last chunk; results as BeginStream.
  boost::asio::awaitable<bool> EndStream();

  /// Calls back once if the caller disconnects while no read is in progress.
  void WatchForDisconnect(std::function<void()> on_disconnect);
  void StopWatching();

  /// Whether the connection stays open after the next response.
  void SetKeepAlive(bool keep) { this->keep_alive = keep; }
  bool KeepAlive() const { return this->keep_alive; }
  /// Whether the caller has disconnected.
  bool IsDisconnected() const { return this->disconnected; }
  /// Whether the head of a stream was written for the current request. No other
  /// response can be sent then.
  bool StreamStarted() const { return this->stream_started; }

  /// Closes the connection at once, so that a partly written response does not
  /// look complete.
  /// @param why reason; a literal, or other text of static lifetime
  void Abort(std::string_view why);

  /// Why the connection ended; empty while it is open.
  std::string_view EndReason() const { return this->end_reason; }
  /// How long the last write waited for the caller to read.
  absl::Duration LastWriteTime() const { return this->last_write_time; }
  /// How late the timer fired that ended the connection.
  absl::Duration TimerLateness() const { return this->timer_lateness; }
  /// Duration of the last wait for a request.
  absl::Duration IdleTime() const;
  /// Whether a response to the last request was written, at least its head.
  bool Responded() const { return this->responded; }

  /// Closes the connection after the last response. Stops sending first and
  /// reads until the caller closes: a close with unread bytes would make TCP
  /// reset the connection, and the caller could lose the response.
  boost::asio::awaitable<void> CloseGracefully();

 private:
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<ReadResult> ReadRequest();
  boost::asio::awaitable<bool> WaitForRequest();
  void LimitBuffer(std::size_t max_header_bytes);
  boost::asio::awaitable<boost::system::error_code> ReadHead(
      RequestParser& parser);
  boost::system::error_code ParseHead(RequestParser& parser);
  boost::asio::awaitable<boost::system::error_code> ReadMore();
  boost::asio::awaitable<boost::system::error_code> ReadBody(
      RequestParser& parser, RequestBody& body,
      RequestMemory::Arrival& arrival);
  ReadResult RefuseHead();
  ReadResult RefuseBody(ReceivedRequest request, std::uint64_t bytes);
  void BeginRequest(bool keep);
  void AwaitDisconnect(std::function<void()> on_disconnect);
  boost::asio::awaitable<bool> Write(std::string text, absl::Duration timeout,
                                     std::string_view body = {});
  void StartTimeout(absl::Duration time, std::string_view why);
  void StartIdleTimeout(absl::Duration max_idle_time);
  void OnTimeout(std::string_view why, absl::Duration late);
  std::optional<absl::Duration> KeepAliveTimeout() const;
  ReadResult ReadFailure(const boost::system::error_code& error);

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  const CallerLimitsProvider limits;
  RequestMemory& bodies;
  CallerBuffers& buffers;
  const Clock clock;
  ConnectionLimit::Entry entry;
  RequestMemory::Hold head_hold;  ///< of the request that is read or served
  StepTimer timer;
  std::string_view end_reason;  ///< text of static lifetime
  absl::Duration timer_lateness;
  absl::Duration last_write_time;
  Instant wait_start;  ///< of the last wait for a request
  std::optional<Instant> wait_end;
  bool responded = false;
  bool keep_alive = true;
  bool disconnected = false;
  bool stream_started = false;
  int watch = 0;    ///< number of the active watch; 0: none is active
  int watches = 0;  ///< number of watches started
  /// Shared with the watch's handler, which may run after the destructor.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CALLER_CONNECTION_H_
