#include "dragonflyglade/gateway/target_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/peek_socket.h"
#include "dragonflyglade/gateway/target_socket.h"
#include "dragonflyglade/gateway/tunnel_query.h"
#include "dragonflyglade/net/connection_end.h"
#include "dragonflyglade/net/http_status.h"
#include "dragonflyglade/operator/caller_key.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// The other instance responds after its own attempt to connect to the target.
constexpr absl::Duration kTunnelTimeout = absl::Milliseconds(600);
// Interim responses and responses to other requests that are skipped before the
// connection is given up. A single late duplicate may precede the expected
// response; more of them mean that the connection is unusable.
constexpr int kMaxSkippedResponses = 2;
constexpr std::size_t kReadBytes = 16384;
constexpr std::size_t kTunnelIdBytes = 8;
// Of a response that is not forwarded. It is read for the connection's sake.
constexpr std::size_t kMaxUnusedBodyBytes = 64u << 10;
constexpr absl::Duration kUnusedBodyTime = absl::Milliseconds(200);
// For how long a response may go on past its deadline, while its bytes arrive.
constexpr absl::Duration kMaxStallExtension = absl::Seconds(30);

// Of an instance's refusal to open a tunnel. Zero if it cannot be read: then
// the next attempt is refused in turn.
absl::Duration RestIn(const http::fields& fields) {
  const std::string text{fields[http::field::retry_after]};
  double seconds = 0;
  if (!absl::SimpleAtod(text, &seconds)) return absl::ZeroDuration();
  return absl::Seconds(seconds);
}

bool HoldsStatusLine(boost::string_view text) {
  constexpr boost::string_view kVersion = "HTTP/1.";
  // After the minor version and a space, the status follows.
  constexpr std::size_t kStatusAt = kVersion.size() + 2;
  for (std::size_t at = text.find(kVersion); at != boost::string_view::npos;) {
    const boost::string_view line = text.substr(at);
    if (line.size() > kStatusAt && absl::ascii_isdigit(line[kStatusAt])) {
      return true;
    }
    text = line.substr(kVersion.size());
    at = text.find(kVersion);
  }
  return false;
}

// Failure: extra bytes of a target end within a head, and the next response on
// the connection completes it. With the status of the one and the id of the
// other it would be a refusal of a request that runs. Wherever the first head
// ends, what it was about to say takes in the status line of the second one, or
// neither can be read.
bool IsJoinedHead(const http::response_header<>& head) {
  if (HoldsStatusLine(head.reason())) return true;
  return std::any_of(head.begin(), head.end(), [](const auto& field) {
    return HoldsStatusLine(field.value());
  });
}

}  // namespace

// State of the write operation of the request. It is shared with the write's
// handler, since the write may outlast the exchange if a target responds before
// it has read the whole request.
struct TargetExchange::RequestWrite {
  std::shared_ptr<TargetConnection> connection;
  std::string head;
  SharedBody body;  ///< null if there is none
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
      timer(context, this->clock, [this] { return this->HasUnreadBytes(); }) {}

TargetExchange::~TargetExchange() {
  if (this->connection != nullptr) {
    error_code ignored;
    this->connection->socket.close(ignored);
  }
}

bool TargetExchange::HasUnreadBytes() const {
  return this->connection != nullptr &&
         PeekSocket(this->connection->socket) == SocketState::kBytes;
}

void TargetExchange::StartStep(Instant until, std::string_view why) {
  this->timer.Start(until - this->clock.Now(), [this, why](absl::Duration) {
    this->timed_out = true;
    this->Abort(why);
  });
}

void TargetExchange::RestartStallTimeout() {
  if (!this->stall_timeout.has_value()) return;
  const Instant next = std::min(this->clock.Now() + *this->stall_timeout,
                                this->deadline + kMaxStallExtension);
  this->StartStep(std::max(this->deadline, next), "the answer stalled");
}

// A silent target is not the end of the request's time.
void TargetExchange::StartSilenceLimit() {
  if (!this->silence_limit.has_value()) return;
  const absl::Duration left = this->deadline - this->clock.Now();
  if (*this->silence_limit >= left) return;
  this->timer.Start(*this->silence_limit, [this](absl::Duration) {
    this->silent = true;
    this->Abort("the stream is silent");
  });
}

void TargetExchange::StopSilenceLimit() {
  if (!this->silence_limit.has_value()) return;
  this->StartStep(this->deadline, "no answer in time");
}

void TargetExchange::Abort(std::string_view why) {
  if (!this->aborted_by.empty()) return;
  this->aborted_by = std::string(why);
  if (this->receipt != nullptr) this->receipt->StopWaiting();
  if (this->connection == nullptr) return;
  error_code ignored;
  this->connection->socket.close(ignored);
}

void TargetExchange::CutOff() {
  this->no_memory = true;
  this->Abort("no memory for the response");
}

OutcomeUnknown TargetExchange::UnknownOutcomeAfter(
    const error_code& error) const {
  if (!this->aborted_by.empty()) {
    return {.why = this->aborted_by,
            .timed_out = this->timed_out,
            .silent = this->silent,
            .no_memory = this->no_memory};
  }
  const bool closed_by_peer = error == asio::error::eof ||
                              error == asio::error::connection_reset ||
                              error == http::error::end_of_stream ||
                              error == http::error::partial_message;
  // Bytes that are no response say nothing about the connection.
  const bool is_malformed =
      error.category() ==
      http::make_error_code(http::error::bad_chunk).category();
  return {.why = error.message(),
          .connection_ended = closed_by_peer || !is_malformed,
          .closed_by_peer = closed_by_peer};
}

asio::awaitable<std::optional<NotSent>> TargetExchange::Connect(
    std::string_view address, std::string_view request_id, Instant deadline) {
  const Instant now = this->clock.Now();
  this->connection = this->pool.Acquire(
      now, {.excluded = this->used, .by_request_id = !request_id.empty()});
  if (this->connection != nullptr) {
    this->reused = true;
    co_return std::nullopt;
  }
  co_return co_await this->ConnectAnew(address, deadline);
}

asio::awaitable<std::optional<NotSent>> TargetExchange::ConnectAnew(
    std::string_view address, Instant deadline) {
  std::optional<NotSent> failure = co_await this->TryConnect(address, deadline);
  const bool is_evidence = !failure.has_value() || failure->peer_failed ||
                           failure->peer_rest > absl::ZeroDuration() ||
                           failure->connect_error.has_value();
  if (this->observer && is_evidence) {
    this->observer(failure.has_value() ? &*failure : nullptr);
  }
  co_return failure;
}

asio::awaitable<std::optional<NotSent>> TargetExchange::TryConnect(
    std::string_view address, Instant deadline) {
  const bool tunneled = this->tunnel.has_value();
  this->connection = std::make_shared<TargetConnection>(this->context);
  const std::optional<ConnectFailure> failure = co_await ConnectTargetSocket(
      this->connection->socket, tunneled ? this->tunnel->peer : address,
      this->timer, deadline - this->clock.Now());
  if (!this->aborted_by.empty()) co_return NotSent{this->aborted_by, {}, false};
  if (failure.has_value()) {
    co_return NotSent{failure->why, failure->error, tunneled};
  }
  if (!tunneled) co_return std::nullopt;
  co_return co_await this->EstablishTunnel(deadline);
}

asio::awaitable<std::optional<NotSent>> TargetExchange::EstablishTunnel(
    Instant deadline) {
  this->StartStep(std::min(this->clock.Now() + kTunnelTimeout, deadline),
                  "tunnel timeout");
  this->connection->tunnel_id = RandomHex(kTunnelIdBytes);
  this->connection->tunnel_peer = this->tunnel->peer;
  const HeaderFields fields = {{kTunnelIdField, this->connection->tunnel_id},
                               {kTunnelInstanceField, this->tunnel->self}};
  const std::string request = RequestHeadText(
      {"CONNECT", this->tunnel->target, fields, ""}, this->tunnel->target, 0);
  error_code error;
  co_await asio::async_write(this->connection->socket, asio::buffer(request),
                             asio::redirect_error(asio::use_awaitable, error));
  http::response_parser<http::empty_body> response;
  response.skip(true);
  if (!error) {
    co_await http::async_read_header(
        this->connection->socket, this->connection->buffer, response,
        asio::redirect_error(asio::use_awaitable, error));
  }
  this->timer.Stop();
  if (!this->aborted_by.empty()) {
    co_return NotSent{this->aborted_by, {}, this->timed_out};
  }
  if (error) co_return NotSent{error.message(), {}, true};
  switch (response.get().result()) {
    case http::status::ok:
      co_return std::nullopt;
    case http::status::bad_gateway:
      co_return NotSent{"refused", ConnectError::kRefused, false};
    case http::status::too_many_requests:
      co_return NotSent{.why = "the other instance must let the target rest",
                        .peer_rest = RestIn(response.get().base())};
    case http::status::gateway_timeout:
      co_return NotSent{"connect timeout", ConnectError::kTimedOut, false};
    default:
      co_return NotSent{"no tunnel", {}, true};
  }
}

asio::awaitable<std::optional<NotSent>> TargetExchange::OpenConnection(
    std::string_view address, Instant deadline) {
  std::optional<NotSent> failure =
      co_await this->ConnectAnew(address, deadline);
  if (failure.has_value()) co_return failure;
  this->pool.Release(std::move(this->connection), std::nullopt,
                     this->clock.Now());
  co_return std::nullopt;
}

// Called when the end was just read: the target may reset the connection later,
// when more of a long request arrives.
void TargetExchange::RecordEndOfBody() {
  if (!this->parser->is_done() || !this->parser->get().need_eof()) return;
  if (this->ended_in_order.has_value()) return;
  const bool sent_all = this->write->done && !this->write->error;
  this->ended_in_order = EndedInOrder(this->connection->socket, sent_all);
}

// The response's end is the end of the connection. If the other instance's
// process is killed, the connection ends as if the target had closed it.
asio::awaitable<bool> TargetExchange::EndsWithoutProof() {
  if (!this->parser->get().need_eof()) co_return false;
  if (!this->ended_in_order.value_or(false)) co_return true;
  if (!this->tunnel.has_value()) co_return false;
  const bool closed_by_target = co_await DidTargetCloseTunnel(
      this->context, this->connection->tunnel_peer, this->connection->tunnel_id,
      this->clock);
  co_return !closed_by_target;
}

void TargetExchange::StartWriting(std::string head, SharedBody body) {
  if (this->used != nullptr) this->used->Add(this->connection);
  this->earlier_exchanges = this->connection->exchanges;
  this->connection->exchanges += 1;
  this->write = std::make_shared<RequestWrite>();
  this->write->connection = this->connection;
  this->write->head = std::move(head);
  // Shared, since the write may outlast the caller's request.
  this->write->body = std::move(body);
  std::array<asio::const_buffer, 2> buffers = {asio::buffer(this->write->head)};
  if (this->write->body != nullptr) {
    buffers[1] = asio::buffer(*this->write->body);
  }
  // The write is not awaited: the response is read concurrently, because a
  // target that responds before it has read a long body may block the write
  // until its response is read.
  asio::async_write(
      this->connection->socket, buffers,
      [write = this->write](const error_code& error, std::size_t bytes) {
        write->done = true;
        write->error = error;
        write->bytes = bytes;
      });
}

asio::awaitable<std::optional<OutcomeUnknown>> TargetExchange::ReadOneHead() {
  this->parser.emplace();
  this->parser->header_limit(kMaxHeadBytes);
  // ReadBody limits the size of complete bodies; streams have no limit.
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  error_code error;
  co_await http::async_read_header(
      this->connection->socket, this->connection->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return this->UnknownOutcomeAfter(error);
  if (IsJoinedHead(this->parser->get().base())) {
    co_return OutcomeUnknown{"two heads in one"};
  }
  if (!IsAnswerStatus(this->parser->get().result_int())) {
    co_return OutcomeUnknown{"the status is none of an answer"};
  }
  this->head = this->wire.decode_response_head(ConvertHead<false>(
      this->parser->get().base(), this->parser->keep_alive()));
  if (this->head_observer) this->head_observer(this->head);
  co_return std::nullopt;
}

asio::awaitable<std::optional<OutcomeUnknown>> TargetExchange::ReadHead(
    std::string_view request_id) {
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    std::optional<OutcomeUnknown> failure = co_await this->ReadOneHead();
    if (failure.has_value()) co_return failure;
    constexpr int kFirstFinalStatus = 200;
    // Interim responses (1xx) carry nothing that is forwarded.
    if (this->head.status < kFirstFinalStatus) continue;
    if (this->AnswersRequest(request_id)) {
      if (!request_id.empty()) {
        this->is_unnamed = this->head.request_id.empty();
        this->pool.RecordResponse(!this->is_unnamed);
      }
      co_return std::nullopt;
    }
    // A late duplicate response to an earlier request on this connection, or
    // one to no request. It is read to its end and discarded; this request's
    // own response follows.
    if (this->skip_observer) this->skip_observer(this->head);
    std::string dropped;
    failure = co_await this->ReadBody(dropped, this->max_body_bytes);
    if (failure.has_value()) co_return failure;
    if (this->receipt != nullptr) this->receipt->Clear();
  }
  co_return OutcomeUnknown{"got only answers to other requests", false};
}

// Failure: a target sends a refusal twice, late, or one that names no request.
// If it were taken for the response to the next request, its caller would be
// told that a request did not run which runs. The attempts of a request share
// its id, so they share no connection (UseConnectionsOnce). A response without
// an id can only be this request's if the connection has carried nothing else.
bool TargetExchange::AnswersRequest(std::string_view request_id) const {
  if (!this->head.request_id.empty()) {
    return this->head.request_id == request_id;
  }
  return request_id.empty() || this->earlier_exchanges == 0;
}

asio::awaitable<void> TargetExchange::AwaitRoomForBody() {
  if (this->receipt == nullptr) co_return;
  const std::uint64_t length = this->parser->content_length().value_or(0);
  co_await this->receipt->AwaitRoom(
      std::min<std::uint64_t>(length, this->max_body_bytes));
}

// The head has said all. A connection whose response does not end is closed.
asio::awaitable<void> TargetExchange::ReadDeclinedBody() {
  this->StartStep(std::min(this->clock.Now() + kUnusedBodyTime, this->deadline),
                  "the refusal does not end");
  std::string dropped;
  const std::optional<OutcomeUnknown> failure =
      co_await this->ReadBody(dropped, kMaxUnusedBodyBytes);
  if (!failure.has_value()) this->Finish();
}

asio::awaitable<std::optional<OutcomeUnknown>> TargetExchange::ReadBody(
    std::string& body, std::size_t max_bytes) {
  std::array<char, kReadBytes> chunk;
  while (!this->parser->is_done()) {
    auto& buffer = this->parser->get().body();
    buffer.data = chunk.data();
    buffer.size = chunk.size();
    buffer.more = true;
    error_code error;
    co_await http::async_read_some(
        this->connection->socket, this->connection->buffer, *this->parser,
        asio::redirect_error(asio::use_awaitable, error));
    this->RecordEndOfBody();
    body.append(chunk.data(), chunk.size() - buffer.size);
    if (this->receipt != nullptr) this->receipt->Resize(body.size());
    if (error && error != http::error::need_buffer) {
      co_return this->UnknownOutcomeAfter(error);
    }
    this->RestartStallTimeout();
    if (body.size() > max_bytes)
      co_return OutcomeUnknown{"answer body too large", false};
  }
  if (co_await this->EndsWithoutProof()) {
    co_return OutcomeUnknown{"answer's end is not certain", false};
  }
  co_return std::nullopt;
}

asio::awaitable<ExchangeOutcome> TargetExchange::Run(
    std::string_view address, std::string_view request_id, std::string head,
    SharedBody body, Instant deadline) {
  std::optional<NotSent> not_sent =
      co_await this->Connect(address, request_id, deadline);
  if (not_sent.has_value()) co_return *not_sent;
  if (this->may_send && !this->may_send()) {
    this->pool.Release(std::move(this->connection), std::nullopt,
                       this->clock.Now());
    co_return NotSent{.why = "the target wants no requests", .withheld = true};
  }
  this->deadline = deadline;
  this->StartStep(deadline, "no answer in time");
  this->StartWriting(std::move(head), std::move(body));
  std::optional<OutcomeUnknown> failure = co_await this->ReadHead(request_id);
  if (failure.has_value()) {
    if (this->write->done && this->write->bytes == 0) {
      co_return NotSent{"nothing could be written: " + failure->why, {}, false};
    }
    co_return *failure;
  }
  if (this->head.event_stream && !this->head.not_executed) {
    co_return StreamHead{this->head};
  }
  if (this->head.not_executed) {
    co_await this->ReadDeclinedBody();
    co_return Declined{this->head, this->earlier_exchanges};
  }
  std::string response_body;
  co_await this->AwaitRoomForBody();
  failure = co_await this->ReadBody(response_body, this->max_body_bytes);
  if (failure.has_value()) co_return *failure;
  const bool ended_by_close = this->parser->get().need_eof();
  this->Finish();
  co_return CompleteResponse{this->head, std::move(response_body),
                             ended_by_close};
}

asio::awaitable<StreamReadResult> TargetExchange::Read() {
  if (this->parser->is_done()) {
    if (co_await this->EndsWithoutProof()) {
      co_return OutcomeUnknown{"answer's end is not certain", false};
    }
    const bool ended_by_close = this->parser->get().need_eof();
    this->Finish();
    co_return EndOfStream{ended_by_close};
  }
  this->read_buffer.resize(kReadBytes);
  auto& buffer = this->parser->get().body();
  buffer.data = this->read_buffer.data();
  buffer.size = this->read_buffer.size();
  buffer.more = true;
  error_code error;
  this->StartSilenceLimit();
  co_await http::async_read_some(
      this->connection->socket, this->connection->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  this->RecordEndOfBody();
  this->StopSilenceLimit();
  const std::size_t bytes_read = this->read_buffer.size() - buffer.size;
  if (bytes_read > 0) {
    // The next read returns an error that came together with bytes.
    co_return StreamBytes{
        std::string_view(this->read_buffer.data(), bytes_read)};
  }
  if (error && error != http::error::need_buffer) {
    co_return this->UnknownOutcomeAfter(error);
  }
  co_return StreamBytes{};
}

void TargetExchange::Finish() {
  this->timer.Stop();
  const bool reusable =
      this->parser->is_done() && this->write->done && !this->write->error &&
      !this->head.closes && !this->is_unnamed &&
      this->connection->buffer.size() == 0 && this->aborted_by.empty();
  if (reusable) {
    this->pool.Release(std::move(this->connection), this->head.keep_alive,
                       this->clock.Now());
  } else if (!this->write->done) {
    // Failure: a target answers before it has read the request, and goes on
    // reading it slowly. The write would hold the body until then.
    error_code ignored;
    this->connection->socket.close(ignored);
  }
  this->connection = nullptr;
}

}  // namespace dragonflyglade::gateway
