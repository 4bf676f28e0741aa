#ifndef DRAGONFLYGLADE_GATEWAY_CALLER_CONNECTION_H_
#define DRAGONFLYGLADE_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/step_timer.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// A request's head and body as they were read.
struct ReceivedRequest {
  HttpMessageHead head;
  std::string method;          ///< what head.method views
  std::string path_and_query;  ///< what head.path_and_query views
  std::string body;
};
/// Bytes that are no proper request: answer with the status, then close.
struct MalformedRequest {
  int status = 400;
};
/// The caller closed, or was silent for too long.
struct CallerDisconnected {};
using ReadResult =
    std::variant<ReceivedRequest, MalformedRequest, CallerDisconnected>;

/// Gives the limits of the configuration in force.
using CallerLimitsProvider = std::function<CallerLimits()>;

/// A caller's connection: reads requests, writes answers, and notices while
/// an answer is being made that the caller has left. One event loop.
class CallerConnection {
 public:
  CallerConnection(boost::asio::io_context& context,
                   boost::asio::ip::tcp::socket socket,
                   CallerLimitsProvider limits, Clock clock);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Reads the next request, within the limits.
  boost::asio::awaitable<ReadResult> Read();

  /// Writes a whole answer. False if the caller cannot be written to.
  boost::asio::awaitable<bool> WriteResponse(int status, HeaderFields fields,
                                             std::string_view body);

  /// Writes the head of a stream with its first bytes, further ones, and its
  /// end.
  boost::asio::awaitable<bool> BeginStream(int status, HeaderFields fields,
                                           std::string_view first);
  boost::asio::awaitable<bool> WritePart(std::string_view bytes);
  boost::asio::awaitable<bool> EndStream();

  /// Calls back once if the caller closes while nothing is read from it.
  void WatchForDisconnect(std::function<void()> left);
  void StopWatching();

  /// Whether the next answer keeps the connection open.
  void SetKeepAlive(bool keep) { this->keep_alive = keep; }
  bool KeepAlive() const { return this->keep_alive; }
  bool Left() const { return this->left; }
  /// Whether a stream's head went out, after which no other answer can.
  bool StreamBegun() const { return this->stream_begun; }

  /// Closes at once; an unfinished answer then does not look complete.
  void Abort(std::string_view why);

  /// Why the connection ended; empty while it is open.
  std::string_view EndedBy() const { return this->ended_by; }
  /// How much later than due the timer fired that ended it.
  absl::Duration EndedLate() const { return this->ended_late; }
  /// How long the last wait for a request was.
  absl::Duration Idle() const;
  /// Whether the request that was read last got an answer, or its beginning.
  bool Answered() const { return this->answered; }

  /// Ends the connection after the last answer, reading what is still on its
  /// way: closing with unread bytes would reset it under the answer.
  boost::asio::awaitable<void> CloseGracefully();

 private:
  boost::asio::awaitable<bool> WaitForBytes();
  void Watch(std::function<void()> on_left);
  boost::asio::awaitable<bool> Write(std::string text);
  void StartStep(absl::Duration time, std::string_view why);
  void StartIdleStep(absl::Duration longest_limit);
  void TimeOut(std::string_view why, absl::Duration late);
  std::optional<absl::Duration> KeepAliveTimeout() const;
  ReadResult NotRead(const boost::system::error_code& error);

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  const CallerLimitsProvider limits;
  const Clock clock;
  StepTimer timer;
  std::string_view ended_by;  ///< text that is never freed
  absl::Duration ended_late;
  Instant wait_begun;
  std::optional<Instant> wait_ended;
  bool answered = false;
  bool keep_alive = true;
  bool left = false;
  bool stream_begun = false;
  int watch = 0;  ///< which watch is the present one; 0: none
  int watches = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CALLER_CONNECTION_H_
