#include "dragonflyglade/gateway/caller_connection.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/peek_socket.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A body of some hundred kilobytes arrives in well under a second; a caller
// that takes longer than this has stopped sending.
constexpr absl::Duration kBodyTimeout = absl::Seconds(10);
// A request that a caller sends within the stated time is on its way for some
// milliseconds, longer over a link that loses packets. Closed at the stated
// time, the connection would cross it, and callers cannot know whether it ran.
constexpr absl::Duration kIdleGrace = absl::Seconds(1);
// How long a closing connection is still read from.
constexpr absl::Duration kCloseTimeout = absl::Milliseconds(500);
// A caller that takes nothing for so long is treated as gone.
constexpr absl::Duration kWriteTimeout = absl::Seconds(10);

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

bool IsHttpError(const error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

using Parser = http::request_parser<http::string_body>;

ReceivedRequest Received(Parser& parser) {
  ReceivedRequest request;
  request.head = HeadText<true>(parser.get().base(), parser.get().keep_alive());
  request.method = std::string(request.head.method);
  request.path_and_query = std::string(request.head.path_and_query);
  request.head.method = request.method;
  request.head.path_and_query = request.path_and_query;
  request.body = std::move(parser.get().body());
  return request;
}

}  // namespace

CallerConnection::CallerConnection(asio::io_context& context,
                                   tcp::socket socket,
                                   CallerLimitsProvider limits, Clock clock)
    : socket(std::move(socket)),
      limits(std::move(limits)),
      clock(std::move(clock)),
      timer(context, this->clock,
            [this] { return PeekSocket(this->socket) == SocketState::kBytes; }),
      wait_begun(this->clock.Now()) {
  // Failing options change timing only, never an outcome.
  error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
}

CallerConnection::~CallerConnection() {
  *this->alive = false;
  this->Abort("served");
}

void CallerConnection::Abort(std::string_view why) {
  if (this->ended_by.empty()) this->ended_by = why;
  error_code ignored;
  this->socket.close(ignored);
}

absl::Duration CallerConnection::Idle() const {
  return this->wait_ended.value_or(this->clock.Now()) - this->wait_begun;
}

void CallerConnection::StartStep(absl::Duration time, std::string_view why) {
  this->timer.Start(
      time, [this, why](absl::Duration late) { this->TimeOut(why, late); });
}

void CallerConnection::TimeOut(std::string_view why, absl::Duration late) {
  if (this->ended_by.empty()) this->ended_late = late;
  this->Abort(why);
}

// Callers go by the configuration of the moment at which they send, so one that
// raises the limit holds for connections that are idle already.
void CallerConnection::StartIdleStep(absl::Duration longest_limit) {
  const Instant end = this->wait_begun + longest_limit + kIdleGrace;
  const auto expired = [this, longest_limit](absl::Duration late) {
    const absl::Duration limit = this->limits().idle_timeout;
    if (limit > longest_limit) {
      this->StartIdleStep(limit);
    } else {
      this->TimeOut("idle", late);
    }
  };
  this->timer.Start(end - this->clock.Now(), expired);
}

ReadResult CallerConnection::NotRead(const error_code& error) {
  if (IsHttpError(error)) return MalformedRequest{StatusOf(error)};
  const bool closed = error == http::error::end_of_stream ||
                      error == http::error::partial_message ||
                      error == asio::error::eof;
  this->Abort(closed ? "caller closed" : "caller cut off");
  return CallerDisconnected{};
}

asio::awaitable<bool> CallerConnection::WaitForBytes() {
  this->wait_begun = this->clock.Now();
  this->wait_ended.reset();
  if (this->buffer.size() > 0) co_return true;
  this->StartIdleStep(this->limits().idle_timeout);
  error_code error;
  co_await this->socket.async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  this->wait_ended = this->clock.Now();
  if (error) this->Abort("caller cut off");
  co_return !error;
}

asio::awaitable<ReadResult> CallerConnection::Read() {
  this->stream_begun = false;
  const bool readable = co_await this->WaitForBytes();
  if (!readable) co_return CallerDisconnected{};
  const CallerLimits limits = this->limits();
  this->StartStep(limits.header_timeout, "head not whole in time");
  Parser parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  error_code error;
  co_await http::async_read_header(
      this->socket, this->buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return this->NotRead(error);
  const auto expects = parser.get()[http::field::expect];
  if (absl::EqualsIgnoreCase({expects.data(), expects.size()},
                             "100-continue")) {
    const bool written = co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n");
    if (!written) co_return CallerDisconnected{};
  }
  this->StartStep(kBodyTimeout, "body not whole in time");
  co_await http::async_read(this->socket, this->buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  this->timer.Stop();
  if (error) co_return this->NotRead(error);
  // The last bytes may have been read in the turn that timed the step out; no
  // answer could be written any more.
  if (!this->ended_by.empty()) co_return CallerDisconnected{};
  this->keep_alive = parser.get().keep_alive();
  this->answered = false;
  co_return Received(parser);
}

std::optional<absl::Duration> CallerConnection::KeepAliveTimeout() const {
  if (!this->keep_alive) return std::nullopt;
  return this->limits().idle_timeout;
}

asio::awaitable<bool> CallerConnection::Write(std::string text) {
  if (this->left) co_return false;
  this->StartStep(kWriteTimeout, "caller takes nothing");
  error_code error;
  co_await asio::async_write(this->socket, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, error));
  this->timer.Stop();
  if (error) {
    this->left = true;
    this->Abort("caller cut off");
  }
  co_return !error;
}

asio::awaitable<bool> CallerConnection::WriteResponse(int status,
                                                      HeaderFields fields,
                                                      std::string_view body) {
  std::string text = ResponseHeadText(status, fields, BodyFraming::kLength,
                                      body.size(), this->KeepAliveTimeout());
  text.append(body);
  this->answered = co_await this->Write(std::move(text));
  co_return this->answered;
}

asio::awaitable<bool> CallerConnection::BeginStream(int status,
                                                    HeaderFields fields,
                                                    std::string_view first) {
  this->stream_begun = true;
  std::string text = ResponseHeadText(status, fields, BodyFraming::kChunked, 0,
                                      this->KeepAliveTimeout());
  if (!first.empty()) text += ChunkText(first);
  this->answered = co_await this->Write(std::move(text));
  co_return this->answered;
}

asio::awaitable<bool> CallerConnection::WritePart(std::string_view bytes) {
  if (bytes.empty()) co_return true;
  co_return co_await this->Write(ChunkText(bytes));
}

asio::awaitable<bool> CallerConnection::EndStream() {
  co_return co_await this->Write(std::string(kLastChunk));
}

void CallerConnection::WatchForDisconnect(std::function<void()> on_left) {
  // Bytes of a next request hide the end of the connection.
  if (this->buffer.size() > 0) return;
  this->watch = ++this->watches;
  this->Watch(std::move(on_left));
}

void CallerConnection::Watch(std::function<void()> on_left) {
  this->socket.async_wait(
      tcp::socket::wait_read,
      [this, alive = this->alive, number = this->watch,
       on_left = std::move(on_left)](const error_code& error) mutable {
        if (!*alive || this->watch != number || error) return;
        const SocketState state = PeekSocket(this->socket);
        if (state == SocketState::kBytes) return;
        if (state == SocketState::kNoData) {
          this->Watch(std::move(on_left));
          return;
        }
        this->left = true;
        if (this->ended_by.empty()) {
          this->ended_by = state == SocketState::kClosed ? "caller closed"
                                                         : "caller cut off";
        }
        on_left();
      });
}

void CallerConnection::StopWatching() {
  if (this->watch == 0) return;
  this->watch = 0;
  error_code ignored;
  this->socket.cancel(ignored);
}

asio::awaitable<void> CallerConnection::CloseGracefully() {
  error_code error;
  this->socket.shutdown(tcp::socket::shutdown_send, error);
  this->StartStep(kCloseTimeout, "served");
  std::array<char, 4096> dropped;
  while (!error) {
    co_await this->socket.async_read_some(
        asio::buffer(dropped),
        asio::redirect_error(asio::use_awaitable, error));
  }
  this->timer.Stop();
  this->Abort("served");
}

}  // namespace dragonflyglade::gateway
