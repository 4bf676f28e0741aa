#include "dragonflyglade/gateway/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/peek_socket.h"
#include "dragonflyglade/gateway/request_head_size.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A body of some hundred kilobytes arrives in well under a second; a caller
// that takes longer than this has stopped sending.
constexpr absl::Duration kBodyTimeout = absl::Seconds(10);
// Time for which an idle connection stays open beyond the idle timeout that
// callers are told. A request sent just within that timeout travels for some
// milliseconds, longer if packets are lost. If the gateway closed the
// connection meanwhile, the caller could not know whether its request ran.
constexpr absl::Duration kIdleGrace = absl::Seconds(1);
// Read beyond a head in one step. What frames a body (the size and extensions
// of a chunk, the trailer) may have so much more than a head.
constexpr std::size_t kReadAheadBytes = 16u << 10;
constexpr std::size_t kMinReadBytes = 512;
// How long CloseGracefully waits for the caller to close its end.
constexpr absl::Duration kCloseTimeout = absl::Milliseconds(500);
// A caller that has not read a response by then is treated as disconnected.
constexpr absl::Duration kWriteTimeout = absl::Seconds(10);
// While a caller reads nothing of a stream, nothing of it is read from the
// target either, and the target cuts it off after some seconds.
constexpr absl::Duration kStreamWriteTimeout = absl::Seconds(4);

int StatusForError(const error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  // The parser keeps what frames a body until it is complete.
  if (error == http::error::buffer_overflow) return 431;
  return 400;
}

bool IsHttpError(const error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

std::string_view ViewOf(asio::const_buffer bytes) {
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

bool ExpectsContinue(const http::request_parser<http::string_body>& parser) {
  const auto expect = parser.get()[http::field::expect];
  return absl::EqualsIgnoreCase({expect.data(), expect.size()}, "100-continue");
}

// The parser does not keep the fields: they would take as much again for as
// long as the body is read. The fields of a trailer are dropped with the
// parser; what frames a request and who sends it is in its head.
ReceivedRequest TakeHead(http::request_parser<http::string_body>& parser) {
  ReceivedRequest request;
  request.head = ConvertHead<true>(parser.get().base(), parser.keep_alive());
  request.method = std::string(request.head.method);
  request.path_and_query = std::string(request.head.path_and_query);
  request.head.method = request.method;
  request.head.path_and_query = request.path_and_query;
  parser.get().clear();
  return request;
}

}  // namespace

CallerConnection::CallerConnection(asio::io_context& context,
                                   tcp::socket socket,
                                   CallerLimitsProvider limits,
                                   CallerResources resources, Clock clock)
    : socket(std::move(socket)),
      limits(std::move(limits)),
      bodies(resources.bodies),
      buffers(resources.buffers),
      clock(std::move(clock)),
      entry(resources.connections, [this] { this->Abort("no room"); }),
      head_hold(resources.heads),
      timer(context, this->clock,
            [this] { return PeekSocket(this->socket) == SocketState::kBytes; }),
      wait_start(this->clock.Now()) {
  // Errors are ignored: the options affect timing only, not the outcome.
  error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  // The kernel would keep megabytes for a caller that does not read.
  const int socket_bytes =
      static_cast<int>(this->buffers.Limits().socket_bytes);
  this->socket.set_option(tcp::socket::send_buffer_size(socket_bytes), ignored);
}

CallerConnection::~CallerConnection() {
  *this->alive = false;
  this->Abort("served");
}

void CallerConnection::Abort(std::string_view why) {
  if (this->end_reason.empty()) this->end_reason = why;
  error_code ignored;
  this->socket.close(ignored);
}

absl::Duration CallerConnection::IdleTime() const {
  return this->wait_end.value_or(this->clock.Now()) - this->wait_start;
}

void CallerConnection::StartTimeout(absl::Duration time, std::string_view why) {
  this->timer.Start(
      time, [this, why](absl::Duration late) { this->OnTimeout(why, late); });
}

void CallerConnection::OnTimeout(std::string_view why, absl::Duration late) {
  if (this->end_reason.empty()) this->timer_lateness = late;
  this->Abort(why);
}

// Callers apply the idle timeout of the configuration that is current when they
// send, so a configuration that raises the timeout applies to connections that
// are already idle, too.
void CallerConnection::StartIdleTimeout(absl::Duration max_idle_time) {
  const Instant end = this->wait_start + max_idle_time + kIdleGrace;
  const auto expired = [this, max_idle_time](absl::Duration late) {
    const absl::Duration limit = this->limits().idle_timeout;
    if (limit > max_idle_time) {
      this->StartIdleTimeout(limit);
    } else {
      this->OnTimeout("idle", late);
    }
  };
  this->timer.Start(end - this->clock.Now(), expired);
}

ReadResult CallerConnection::ReadFailure(const error_code& error) {
  if (IsHttpError(error)) return MalformedRequest{StatusForError(error)};
  const bool closed = error == http::error::end_of_stream ||
                      error == http::error::partial_message ||
                      error == asio::error::eof;
  this->Abort(closed ? "caller closed" : "caller cut off");
  return CallerDisconnected{};
}

asio::awaitable<bool> CallerConnection::WaitForRequest() {
  this->wait_start = this->clock.Now();
  this->wait_end.reset();
  this->entry.BeginWait(CallerWait::kRequest);
  if (this->buffer.size() > 0) co_return true;
  this->StartIdleTimeout(this->limits().idle_timeout);
  error_code error;
  co_await this->socket.async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  this->wait_end = this->clock.Now();
  if (error) this->Abort("caller cut off");
  co_return !error;
}

asio::awaitable<ReadResult> CallerConnection::Read() {
  ReadResult result = co_await this->ReadRequest();
  this->entry.EndWait();
  co_return result;
}

asio::awaitable<ReadResult> CallerConnection::ReadRequest() {
  this->stream_started = false;
  this->head_hold.Release();
  const bool readable = co_await this->WaitForRequest();
  if (!readable) co_return CallerDisconnected{};
  this->entry.BeginWait(CallerWait::kRestOfRequest);
  const CallerLimits limits = this->limits();
  this->StartTimeout(limits.header_timeout, "head not whole in time");
  RequestParser parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  this->LimitBuffer(limits.max_header_bytes);
  error_code error = co_await this->ReadHead(parser);
  if (error == asio::error::no_memory) co_return this->RefuseHead();
  if (error) co_return this->ReadFailure(error);
  const bool expects_continue = ExpectsContinue(parser);
  ReceivedRequest request = TakeHead(parser);
  const auto body = std::make_shared<RequestBody>(this->bodies);
  const std::uint64_t length = parser.content_length().value_or(0);
  if (!body->hold.GrowTo(length)) {
    co_return this->RefuseBody(std::move(request), length);
  }
  if (expects_continue) {
    const bool written =
        co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n", kWriteTimeout);
    if (!written) co_return CallerDisconnected{};
  }
  this->entry.BeginWait(CallerWait::kRestOfRequest);
  this->StartTimeout(kBodyTimeout, "body not whole in time");
  RequestMemory::Arrival arrival(body->hold, kBodyTimeout, [this] {
    error_code ignored;
    this->socket.cancel(ignored);
  });
  error = co_await this->ReadBody(parser, *body, arrival);
  this->timer.Stop();
  if (error == asio::error::no_memory) {
    co_return this->RefuseBody(std::move(request), parser.get().body().size());
  }
  if (error) co_return this->ReadFailure(error);
  // The timeout may have closed the connection in the same turn of the event
  // loop that read the last bytes. No response could be written then.
  if (!this->end_reason.empty()) co_return CallerDisconnected{};
  this->BeginRequest(parser.keep_alive());
  body->text = std::move(parser.get().body());
  request.body = ShareText(body);
  co_return request;
}

// Failure: the parser asks for more until the line of a chunk or the trailer is
// complete, and a caller that never ends it takes all memory.
void CallerConnection::LimitBuffer(std::size_t max_header_bytes) {
  // Requests that wait were read within an earlier limit.
  this->buffer.max_size(
      std::max(this->buffer.size(), max_header_bytes + kReadAheadBytes));
}

// Failure: the parser makes many times their length out of short fields, also
// of a head that never ends, and a crowd of such callers takes all memory. What
// the bytes are about to take is therefore counted before the parser sees them.
// @return no_memory if it exceeds the limit
asio::awaitable<error_code> CallerConnection::ReadHead(RequestParser& parser) {
  RequestHeadSize size;
  size.Add(ViewOf(this->buffer.cdata()));
  error_code error = http::error::need_more;
  while (true) {
    if (!this->head_hold.GrowTo(size.Bytes())) co_return asio::error::no_memory;
    if (this->buffer.size() > 0) error = this->ParseHead(parser);
    if (error != http::error::need_more) co_return error;
    const std::size_t known = this->buffer.size();
    error = co_await this->ReadMore();
    if (error == asio::error::eof) {
      co_return parser.got_some() ? http::error::partial_message
                                  : http::error::end_of_stream;
    }
    if (error) co_return error;
    size.Add(ViewOf(this->buffer.cdata()).substr(known));
  }
}

// @return need_more if the head is not whole yet
error_code CallerConnection::ParseHead(RequestParser& parser) {
  error_code error;
  while (!error && !parser.is_header_done()) {
    const std::size_t used = parser.put(this->buffer.cdata(), error);
    this->buffer.consume(used);
    if (!error && used == 0) error = http::error::need_more;
  }
  return error;
}

// Reads what has arrived, at least a byte.
asio::awaitable<error_code> CallerConnection::ReadMore() {
  const std::size_t known = this->buffer.size();
  const std::size_t wanted =
      std::max(kMinReadBytes, this->buffer.capacity() - known);
  const std::size_t allowed = std::min(wanted, this->buffer.max_size() - known);
  if (allowed == 0) co_return http::error::buffer_overflow;
  const auto space = this->buffer.prepare(allowed);
  error_code error;
  const std::size_t received = co_await this->socket.async_read_some(
      space, asio::redirect_error(asio::use_awaitable, error));
  this->buffer.commit(received);
  co_return error;
}

// A body that states no length is counted as it arrives.
// @return no_memory if it exceeds the limit, or others need its room
asio::awaitable<error_code> CallerConnection::ReadBody(
    RequestParser& parser, RequestBody& body, RequestMemory::Arrival& arrival) {
  error_code error;
  while (!error && !parser.is_done()) {
    co_await http::async_read_some(
        this->socket, this->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (arrival.WasEnded()) co_return asio::error::no_memory;
    const std::size_t received = parser.get().body().size();
    arrival.Record(received);
    if (!error && !body.hold.GrowTo(received)) error = asio::error::no_memory;
  }
  co_return error;
}

ReadResult CallerConnection::RefuseHead() {
  this->timer.Stop();
  if (!this->end_reason.empty()) return CallerDisconnected{};
  this->BeginRequest(false);
  return HeadRefused{};
}

ReadResult CallerConnection::RefuseBody(ReceivedRequest request,
                                        std::uint64_t bytes) {
  this->timer.Stop();
  if (!this->end_reason.empty()) return CallerDisconnected{};
  this->BeginRequest(false);
  return BodyRefused{std::move(request), bytes};
}

void CallerConnection::BeginRequest(bool keep) {
  this->keep_alive = keep;
  this->responded = false;
  this->last_write_time = absl::ZeroDuration();
}

std::optional<absl::Duration> CallerConnection::KeepAliveTimeout() const {
  if (!this->keep_alive) return std::nullopt;
  return this->limits().idle_timeout;
}

asio::awaitable<bool> CallerConnection::Write(std::string text,
                                              absl::Duration timeout,
                                              std::string_view body) {
  if (this->disconnected) co_return false;
  const CallerBuffers::Write counted(
      this->buffers, text.size() + body.size(),
      [this] { this->Abort("caller reads too slowly"); });
  this->StartTimeout(timeout, "caller takes nothing");
  this->entry.BeginWait(CallerWait::kResponseIsRead);
  const std::array<asio::const_buffer, 2> both = {
      asio::buffer(text), asio::buffer(body.data(), body.size())};
  const Instant start = this->clock.Now();
  error_code error;
  co_await asio::async_write(this->socket, both,
                             asio::redirect_error(asio::use_awaitable, error));
  this->timer.Stop();
  this->entry.EndWait();
  this->last_write_time = this->clock.Now() - start;
  if (error) {
    this->disconnected = true;
    this->Abort("caller cut off");
  }
  co_return !error;
}

asio::awaitable<bool> CallerConnection::WriteResponse(int status,
                                                      HeaderFields fields,
                                                      std::string_view body) {
  std::string text = ResponseHeadText(status, fields, BodyFraming::kLength,
                                      body.size(), this->KeepAliveTimeout());
  this->responded = co_await this->Write(std::move(text), kWriteTimeout, body);
  co_return this->responded;
}

asio::awaitable<bool> CallerConnection::BeginStream(int status,
                                                    HeaderFields fields,
                                                    std::string_view first) {
  this->stream_started = true;
  std::string text = ResponseHeadText(status, fields, BodyFraming::kChunked, 0,
                                      this->KeepAliveTimeout());
  if (!first.empty()) text += ChunkText(first);
  this->responded = co_await this->Write(std::move(text), kStreamWriteTimeout);
  co_return this->responded;
}

asio::awaitable<bool> CallerConnection::WritePart(std::string_view bytes) {
  if (bytes.empty()) co_return true;
  co_return co_await this->Write(ChunkText(bytes), kStreamWriteTimeout);
}

asio::awaitable<bool> CallerConnection::EndStream() {
  co_return co_await this->Write(std::string(kLastChunk), kStreamWriteTimeout);
}

void CallerConnection::WatchForDisconnect(std::function<void()> on_disconnect) {
  // Buffered bytes of the next request would hide the end of the connection.
  if (this->buffer.size() > 0) return;
  this->watch = ++this->watches;
  this->AwaitDisconnect(std::move(on_disconnect));
}

void CallerConnection::AwaitDisconnect(std::function<void()> on_disconnect) {
  this->socket.async_wait(
      tcp::socket::wait_read, [this, alive = this->alive, number = this->watch,
                               on_disconnect = std::move(on_disconnect)](
                                  const error_code& error) mutable {
        if (!*alive || this->watch != number || error) return;
        const SocketState state = PeekSocket(this->socket);
        if (state == SocketState::kBytes) return;
        if (state == SocketState::kNoData) {
          this->AwaitDisconnect(std::move(on_disconnect));
          return;
        }
        this->disconnected = true;
        if (this->end_reason.empty()) {
          this->end_reason = state == SocketState::kClosed ? "caller closed"
                                                           : "caller cut off";
        }
        on_disconnect();
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
  this->StartTimeout(kCloseTimeout, "served");
  this->entry.BeginWait(CallerWait::kRequest);
  std::array<char, 4096> discarded;
  while (!error) {
    co_await this->socket.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
  }
  this->timer.Stop();
  this->Abort("served");
}

}  // namespace dragonflyglade::gateway
