#include "dragonflyglade/gateway/target_exchange.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <utility>

#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/peek_socket.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A target in the region answers a connection request in milliseconds; one
// lost packet is sent again after a second, which is not worth the wait
// where another target can be asked.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);
// Written bytes that are not acknowledged for so long end the connection: a
// target that lost power would otherwise look like a slow one.
constexpr absl::Duration kUnacknowledged = absl::Seconds(2);
// An extra answer may stand where this request's is expected; more than one
// means that the connection is of no use.
constexpr int kMostForeignAnswers = 2;
constexpr std::size_t kReadBytes = 16384;
constexpr std::uint32_t kMostHeadBytes = 65536;
// Answers of plain services are some kilobytes.
constexpr std::uint64_t kMostBodyBytes = 16u << 20;

void SetOptions(tcp::socket& socket) {
  // Failing options change timing only, never an outcome.
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const int unacknowledged =
      static_cast<int>(absl::ToInt64Milliseconds(kUnacknowledged));
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &unacknowledged, sizeof unacknowledged);
}

}  // namespace

// What the write of the request uses. It lives as long as the write, which
// may end after the exchange when a target answers before reading all.
struct TargetExchange::Written {
  std::shared_ptr<TargetConnection> connection;
  std::string head;
  std::string body;
  bool done = false;
  error_code error;
  std::size_t bytes = 0;
};

TargetExchange::TargetExchange(asio::io_context& context, ConnectionPool& pool,
                               const WireFormat& wire, Clock clock)
    : context(context),
      pool(pool),
      wire(wire),
      clock(std::move(clock)),
      timer(context, this->clock, [this] { return this->BytesWait(); }) {}

TargetExchange::~TargetExchange() {
  if (this->connection != nullptr) {
    error_code ignored;
    this->connection->socket.close(ignored);
  }
}

bool TargetExchange::BytesWait() const {
  return this->connection != nullptr &&
         PeekSocket(this->connection->socket) == SocketState::kBytes;
}

void TargetExchange::StartStep(Instant until, std::string_view why) {
  this->timer.Start(until - this->clock.Now(), [this, why](absl::Duration) {
    this->timed_out = true;
    this->Abort(why);
  });
}

void TargetExchange::BytesCame() {
  if (!this->stalled.has_value()) return;
  const Instant next = this->clock.Now() + *this->stalled;
  this->StartStep(std::max(this->give_up, next), "the answer stalled");
}

void TargetExchange::Abort(std::string_view why) {
  if (!this->aborted_by.empty()) return;
  this->aborted_by = std::string(why);
  if (this->connection == nullptr) return;
  error_code ignored;
  this->connection->socket.close(ignored);
}

Lost TargetExchange::LostBy(const error_code& error) const {
  if (!this->aborted_by.empty()) return {this->aborted_by, this->timed_out};
  return {error.message(), false};
}

asio::awaitable<std::optional<NotSent>> TargetExchange::Connect(
    std::string_view address, Instant give_up) {
  const Instant now = this->clock.Now();
  this->connection = this->pool.Take(now);
  if (this->connection != nullptr) {
    this->reused = true;
    co_return std::nullopt;
  }
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.Ok()) co_return NotSent{endpoint.Error().ToString()};
  this->connection = std::make_shared<TargetConnection>(this->context);
  this->StartStep(std::min(now + kConnectTimeout, give_up), "connect timeout");
  error_code error;
  const asio::ip::address ip =
      asio::ip::make_address(endpoint.Value().address, error);
  if (error) co_return NotSent{error.message()};
  const tcp::endpoint peer(ip,
                           static_cast<unsigned short>(endpoint.Value().port));
  co_await this->connection->socket.async_connect(
      peer, asio::redirect_error(asio::use_awaitable, error));
  this->timer.Stop();
  if (!this->aborted_by.empty()) co_return NotSent{this->aborted_by};
  if (error) {
    const bool refused = error == asio::error::connection_refused;
    co_return NotSent{error.message(), refused};
  }
  SetOptions(this->connection->socket);
  co_return std::nullopt;
}

void TargetExchange::StartWriting(std::string head, std::string_view body) {
  this->written = std::make_shared<Written>();
  this->written->connection = this->connection;
  this->written->head = std::move(head);
  // The caller's body outlives neither the exchange nor the write for sure.
  this->written->body = std::string(body);
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(this->written->head), asio::buffer(this->written->body)};
  // The answer is read at the same time: a target may answer before it has
  // read a long body, and would block the write while nobody reads.
  asio::async_write(
      this->connection->socket, buffers,
      [written = this->written](const error_code& error, std::size_t bytes) {
        written->done = true;
        written->error = error;
        written->bytes = bytes;
      });
}

asio::awaitable<std::optional<Lost>> TargetExchange::ReadOneHead() {
  this->parser.emplace();
  this->parser->header_limit(kMostHeadBytes);
  // Whole bodies are bounded where they are collected; streams need not be.
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  error_code error;
  co_await http::async_read_header(
      this->connection->socket, this->connection->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return this->LostBy(error);
  // Interim answers carry nothing that is passed on.
  this->head = this->wire.decode_response_head(
      HeadText<false>(this->parser->get().base(), this->parser->keep_alive()));
  co_return std::nullopt;
}

asio::awaitable<std::optional<Lost>> TargetExchange::ReadHead(
    std::string_view request_id) {
  for (int foreign = 0; foreign <= kMostForeignAnswers; ++foreign) {
    std::optional<Lost> lost = co_await this->ReadOneHead();
    if (lost.has_value()) co_return lost;
    constexpr int kFirstFinalStatus = 200;
    if (this->head.status < kFirstFinalStatus) continue;
    const bool named = !this->head.request_id.empty();
    if (!named || this->head.request_id == request_id) co_return std::nullopt;
    // The late second answer to an earlier request on this connection. It is
    // read to its end and dropped; this request's own answer follows.
    std::string dropped;
    lost = co_await this->ReadBody(dropped);
    if (lost.has_value()) co_return lost;
  }
  co_return Lost{"answers to other requests", false};
}

asio::awaitable<std::optional<Lost>> TargetExchange::ReadBody(
    std::string& body) {
  std::array<char, kReadBytes> space;
  while (!this->parser->is_done()) {
    auto& buffer = this->parser->get().body();
    buffer.data = space.data();
    buffer.size = space.size();
    buffer.more = true;
    error_code error;
    co_await http::async_read_some(
        this->connection->socket, this->connection->buffer, *this->parser,
        asio::redirect_error(asio::use_awaitable, error));
    body.append(space.data(), space.size() - buffer.size);
    if (error && error != http::error::need_buffer) {
      co_return this->LostBy(error);
    }
    this->BytesCame();
    if (body.size() > kMostBodyBytes) co_return Lost{"answer too long", false};
  }
  co_return std::nullopt;
}

asio::awaitable<ExchangeOutcome> TargetExchange::Run(
    std::string_view address, std::string_view request_id, std::string head,
    std::string_view body, Instant give_up) {
  std::optional<NotSent> not_sent = co_await this->Connect(address, give_up);
  if (not_sent.has_value()) co_return *not_sent;
  this->give_up = give_up;
  this->StartStep(give_up, "no answer in time");
  this->StartWriting(std::move(head), body);
  std::optional<Lost> lost = co_await this->ReadHead(request_id);
  if (lost.has_value()) {
    if (this->written->done && this->written->bytes == 0) {
      co_return NotSent{"nothing could be written: " + lost->why};
    }
    co_return *lost;
  }
  if (this->head.event_stream && !this->head.not_executed) {
    co_return StreamHead{this->head};
  }
  std::string answer;
  lost = co_await this->ReadBody(answer);
  if (this->head.not_executed) {
    // The mark alone decides; the body says nothing that is passed on.
    if (!lost.has_value()) this->Finish();
    co_return Declined{this->head};
  }
  if (lost.has_value()) co_return *lost;
  this->Finish();
  co_return WholeAnswer{this->head, std::move(answer)};
}

asio::awaitable<StreamReadResult> TargetExchange::Read() {
  if (this->parser->is_done()) {
    this->Finish();
    co_return EndOfStream{};
  }
  this->piece.resize(kReadBytes);
  auto& buffer = this->parser->get().body();
  buffer.data = this->piece.data();
  buffer.size = this->piece.size();
  buffer.more = true;
  error_code error;
  co_await http::async_read_some(
      this->connection->socket, this->connection->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  const std::size_t got = this->piece.size() - buffer.size;
  if (got > 0) {
    // An error that came with bytes shows again at the next read.
    co_return StreamBytes{std::string_view(this->piece.data(), got)};
  }
  if (error && error != http::error::need_buffer) {
    co_return this->LostBy(error);
  }
  co_return StreamBytes{};
}

void TargetExchange::Finish() {
  this->timer.Stop();
  const bool sound = this->parser->is_done() && this->written->done &&
                     !this->written->error && !this->head.closes &&
                     this->connection->buffer.size() == 0 &&
                     this->aborted_by.empty();
  if (sound) {
    this->pool.Return(std::move(this->connection), this->head.keep_alive,
                      this->clock.Now());
  }
  this->connection = nullptr;
}

}  // namespace dragonflyglade::gateway
