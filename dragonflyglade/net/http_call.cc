#include "dragonflyglade/net/http_call.h"

#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>

#include "dragonflyglade/net/socket_options.h"

namespace dragonflyglade {
namespace {

HttpResponseHead ToHead(const httplib::Response& response) {
  HttpResponseHead head;
  head.status = response.status;
  head.content_type = response.get_header_value("Content-Type");
  head.request_id = response.get_header_value("X-Request-Id");
  head.retry_after = response.get_header_value("Retry-After");
  return head;
}

httplib::Request ToLibraryRequest(const HttpRequest& request) {
  httplib::Request library_request;
  library_request.method = request.method;
  library_request.path = request.path;
  library_request.body = request.body;
  for (const auto& [name, value] : request.headers) {
    library_request.headers.emplace(name, value);
  }
  if (!request.body.empty()) {
    library_request.headers.emplace("Content-Type", request.content_type);
  }
  return library_request;
}

}  // namespace

struct HttpCall::Impl {
  Impl(Endpoint endpoint, HttpOptions options, std::string_view peer)
      : options(options),
        peer(std::string(peer) + " " + endpoint.ToString()),
        client(endpoint.address, endpoint.port) {
    this->client.set_connection_timeout(
        absl::ToChronoMilliseconds(options.connect_timeout));
    this->client.set_read_timeout(
        absl::ToChronoMilliseconds(options.read_timeout));
    this->client.set_write_timeout(
        absl::ToChronoMilliseconds(options.write_timeout));
    this->client.set_keep_alive(false);
    this->client.set_tcp_nodelay(true);
    this->client.set_socket_options(
        [](int socket) { EnableDeadPeerDetection(socket); });
  }

  Failure FailureFor(httplib::Error error, bool head_seen,
                     std::chrono::steady_clock::duration silence) const;

  const HttpOptions options;
  const std::string peer;
  httplib::Client client;
  std::atomic<bool> cancelled{false};
};

Failure HttpCall::Impl::FailureFor(
    httplib::Error error, bool head_seen,
    std::chrono::steady_clock::duration silence) const {
  const std::string detail = httplib::to_string(error);
  if (this->cancelled || error == httplib::Error::Canceled) {
    return MakeFailure(Errc::kCancelled, "call", this->peer, detail);
  }
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout) {
    return MakeFailure(Errc::kConnectFailed, "connect", this->peer, detail);
  }
  if (absl::FromChrono(silence) >= this->options.read_timeout) {
    return MakeFailure(Errc::kTimeout, "read response", this->peer, detail);
  }
  return MakeFailure(head_seen ? Errc::kTruncated : Errc::kConnectionLost,
                     "read response", this->peer, detail);
}

HttpCall::HttpCall(Endpoint endpoint, HttpOptions options,
                   std::string_view peer)
    : impl(std::make_unique<Impl>(std::move(endpoint), options, peer)) {}

HttpCall::~HttpCall() = default;

void HttpCall::Cancel() {
  this->impl->cancelled = true;
  this->impl->client.stop();
}

Status HttpCall::Stream(const HttpRequest& request, const OnHead& on_head,
                        const OnData& on_data) {
  httplib::Request library_request = ToLibraryRequest(request);
  bool head_seen = false;
  auto last_progress = std::chrono::steady_clock::now();
  library_request.response_handler = [&](const httplib::Response& response) {
    head_seen = true;
    last_progress = std::chrono::steady_clock::now();
    return !this->impl->cancelled && on_head(ToHead(response));
  };
  library_request.content_receiver = [&](const char* data, std::size_t size,
                                         std::uint64_t, std::uint64_t) {
    last_progress = std::chrono::steady_clock::now();
    return !this->impl->cancelled && on_data(std::string_view(data, size));
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (this->impl->cancelled) {
    return this->impl->FailureFor(httplib::Error::Canceled, false, {});
  }
  if (this->impl->client.send(library_request, response, error)) {
    // The library does not call the response handler if there is no body.
    if (!head_seen) on_head(ToHead(response));
    return Done{};
  }
  return this->impl->FailureFor(
      error, head_seen, std::chrono::steady_clock::now() - last_progress);
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
