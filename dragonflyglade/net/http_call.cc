#include "dragonflyglade/net/http_call.h"

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <exception>
#include <limits>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "dragonflyglade/net/connection_end.h"
#include "dragonflyglade/net/http_status.h"
#include "dragonflyglade/net/socket_options.h"

namespace dragonflyglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeadBytes = 64u << 10;
constexpr std::size_t kReadBytes = 16u << 10;
// A head, or what frames the chunks of a body.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeadBytes + kReadBytes;
constexpr unsigned kHttp11 = 11;
constexpr int kFirstFinalStatus = 200;

// Percent-encodes what would end or split the request line.
std::string EncodeTarget(std::string_view path) {
  std::string target;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > 0x20 && byte < 0x7f) {
      target.push_back(c);
    } else {
      absl::StrAppend(&target, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return target;
}

http::request<http::string_body> ToLibraryRequest(const HttpRequest& request,
                                                  const Endpoint& endpoint) {
  http::request<http::string_body> library_request;
  library_request.version(kHttp11);
  library_request.method_string(request.method);
  library_request.target(EncodeTarget(request.path));
  library_request.set(http::field::host, endpoint.ToString());
  library_request.set(http::field::accept, "*/*");
  for (const auto& [name, value] : request.headers) {
    library_request.insert(name, value);
  }
  if (!request.body.empty()) {
    library_request.set(http::field::content_type, request.content_type);
  }
  library_request.body() = request.body;
  library_request.keep_alive(false);
  library_request.prepare_payload();
  return library_request;
}

HttpResponseHead ToHead(const http::response_header<>& response) {
  HttpResponseHead head;
  head.status = static_cast<int>(response.result_int());
  head.content_type = response[http::field::content_type].to_string();
  head.request_id = response["X-Request-Id"].to_string();
  head.retry_after = response[http::field::retry_after].to_string();
  return head;
}

}  // namespace

struct HttpCall::Impl {
  using Parser = http::response_parser<http::buffer_body>;

  Impl(Endpoint endpoint, HttpOptions options, std::string_view peer)
      : endpoint(std::move(endpoint)),
        options(options),
        peer(absl::StrCat(absl::string_view(peer.data(), peer.size()), " ",
                          this->endpoint.ToString())),
        stream(this->context),
        buffer(kMaxUnparsedBytes) {}

  asio::awaitable<Status> Exchange(const HttpRequest& request,
                                   const OnHead& on_head,
                                   const OnData& on_data);
  asio::awaitable<error_code> Connect();
  asio::awaitable<error_code> ReadHead(Parser& parser);
  asio::awaitable<Status> ReadBody(Parser& parser, const OnData& on_data,
                                   bool sent_all);
  Failure FailureFor(const error_code& error, Errc code) const;

  const Endpoint endpoint;
  const HttpOptions options;
  const std::string peer;
  asio::io_context context;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::atomic<bool> cancelled{false};
};

// @param code what it means if neither a timeout nor Cancel ended the call
Failure HttpCall::Impl::FailureFor(const error_code& error, Errc code) const {
  const std::string detail = error.message();
  if (this->cancelled) {
    return MakeFailure(Errc::kCancelled, "call", this->peer, detail);
  }
  if (code == Errc::kConnectFailed) {
    return MakeFailure(code, "connect", this->peer, detail);
  }
  if (error == beast::error::timeout) code = Errc::kTimeout;
  return MakeFailure(code, "read response", this->peer, detail);
}

asio::awaitable<error_code> HttpCall::Impl::Connect() {
  error_code error;
  const auto address = asio::ip::make_address(this->endpoint.address, error);
  if (error) co_return error;
  const asio::ip::tcp::endpoint remote(
      address, static_cast<unsigned short>(this->endpoint.port));
  this->stream.expires_after(
      absl::ToChronoMilliseconds(this->options.connect_timeout));
  co_await this->stream.async_connect(
      remote, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return error;
  error_code ignored;
  this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(this->stream.socket().native_handle());
  co_return error;
}

asio::awaitable<error_code> HttpCall::Impl::ReadHead(Parser& parser) {
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  this->stream.expires_after(
      absl::ToChronoMilliseconds(this->options.read_timeout));
  error_code error;
  co_await http::async_read_header(
      this->stream, this->buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

// The body is whole when its framing says so. What ends a chunked body is its
// last chunk, and nothing else; what ends one without framing is the end of the
// connection, if it is no reset.
asio::awaitable<Status> HttpCall::Impl::ReadBody(Parser& parser,
                                                 const OnData& on_data,
                                                 bool sent_all) {
  std::array<char, kReadBytes> bytes;
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    this->stream.expires_after(
        absl::ToChronoMilliseconds(this->options.read_timeout));
    error_code error;
    co_await http::async_read_some(
        this->stream, this->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    const bool is_cut = parser.is_done() && parser.get().need_eof() &&
                        !EndedInOrder(this->stream.socket(), sent_all);
    if (is_cut) {
      co_return this->FailureFor(asio::error::connection_reset,
                                 Errc::kTruncated);
    }
    const std::size_t count = bytes.size() - body.size;
    const bool goes_on =
        count == 0 || on_data(std::string_view(bytes.data(), count));
    if (this->cancelled || !goes_on) {
      co_return MakeFailure(Errc::kCancelled, "call", this->peer, "stopped");
    }
    if (error && error != http::error::need_buffer) {
      co_return this->FailureFor(error, Errc::kTruncated);
    }
  }
  co_return Done{};
}

asio::awaitable<Status> HttpCall::Impl::Exchange(const HttpRequest& request,
                                                 const OnHead& on_head,
                                                 const OnData& on_data) {
  error_code error = co_await this->Connect();
  if (error || this->cancelled) {
    co_return this->FailureFor(error, Errc::kConnectFailed);
  }
  const auto library_request = ToLibraryRequest(request, this->endpoint);
  this->stream.expires_after(
      absl::ToChronoMilliseconds(this->options.write_timeout));
  error_code write_error;
  co_await http::async_write(
      this->stream, library_request,
      asio::redirect_error(asio::use_awaitable, write_error));
  // A target may answer and close before it has read the whole request.
  std::optional<Parser> parser;
  do {
    parser.emplace();
    error = co_await this->ReadHead(*parser);
    if (error) {
      co_return this->FailureFor(write_error ? write_error : error,
                                 Errc::kConnectionLost);
    }
    if (!IsAnswerStatus(parser->get().result_int())) {
      co_return MakeFailure(Errc::kMalformedResponse, "read response",
                            this->peer, "the status is none of an answer");
    }
  } while (parser->get().result_int() < kFirstFinalStatus);
  if (this->cancelled || !on_head(ToHead(parser->get().base()))) {
    co_return MakeFailure(Errc::kCancelled, "call", this->peer, "stopped");
  }
  co_return co_await this->ReadBody(*parser, on_data, !write_error);
}

HttpCall::HttpCall(Endpoint endpoint, HttpOptions options,
                   std::string_view peer)
    : impl(std::make_unique<Impl>(std::move(endpoint), options, peer)) {}

HttpCall::~HttpCall() = default;

void HttpCall::Cancel() {
  this->impl->cancelled = true;
  asio::post(this->impl->context, [this] { this->impl->stream.close(); });
}

Status HttpCall::Stream(const HttpRequest& request, const OnHead& on_head,
                        const OnData& on_data) {
  Impl& impl = *this->impl;
  if (impl.cancelled) {
    return MakeFailure(Errc::kCancelled, "call", impl.peer, "stopped");
  }
  Status status = Done{};
  std::exception_ptr thrown;
  asio::co_spawn(
      impl.context,
      [&]() -> asio::awaitable<void> {
        status = co_await impl.Exchange(request, on_head, on_data);
      },
      [&](std::exception_ptr exception) { thrown = std::move(exception); });
  impl.context.run();
  error_code ignored;
  impl.stream.socket().close(ignored);
  if (thrown != nullptr) std::rethrow_exception(thrown);
  return status;
}

Result<HttpResponse> HttpCall::Run(const HttpRequest& request) {
  HttpResponse reply;
  bool too_large = false;
  const auto on_head = [&](const HttpResponseHead& head) {
    reply.head = head;
    return true;
  };
  const auto on_data = [&](std::string_view data) {
    too_large = reply.body.size() + data.size() > this->impl->options.max_body;
    if (too_large) return false;
    reply.body.append(data);
    return true;
  };
  const Status status = this->Stream(request, on_head, on_data);
  if (too_large) {
    return MakeFailure(Errc::kMalformedResponse, "read response",
                       this->impl->peer, "the body exceeds the size limit");
  }
  if (!status.Ok()) return status.Error();
  return reply;
}

}  // namespace dragonflyglade
