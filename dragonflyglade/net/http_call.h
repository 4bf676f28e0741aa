#ifndef DRAGONFLYGLADE_NET_HTTP_CALL_H_
#define DRAGONFLYGLADE_NET_HTTP_CALL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request to send.
struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";  ///< with the query
  HttpHeaders headers;
  std::string body;
  std::string content_type = "application/json";
};

/// The parts of a response's head that callers of HttpCall use.
struct HttpResponseHead {
  int status = 0;
  std::string content_type;
  std::string request_id;   ///< the echoed X-Request-Id; may be empty
  std::string retry_after;  ///< may be empty
};

/// A complete response.
struct HttpResponse {
  HttpResponseHead head;
  std::string body;
};

/// The limits of one call.
struct HttpOptions {
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// The longest time without any received byte of the response.
  absl::Duration read_timeout = absl::Seconds(5);
  absl::Duration write_timeout = absl::Seconds(5);
  std::size_t max_body = 64u
                         << 20;  ///< bytes of a response body that Run keeps
};

/// One HTTP call on a connection of its own, which is closed afterwards.
///
/// Errors carry the step and the peer: kConnectFailed when nothing was sent;
/// kTimeout, kConnectionLost or kTruncated when the outcome is unknown;
/// kCancelled after Cancel or when a callback returned false.
class HttpCall {
 public:
  /// Called when the response's head has arrived; false stops the call.
  using OnHead = std::function<bool(const HttpResponseHead&)>;
  /// Called for each received chunk of the body; false stops the call.
  using OnData = std::function<bool(std::string_view)>;

  HttpCall(Endpoint endpoint, HttpOptions options, std::string_view peer);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Sends the request and passes the response on as it arrives. Call once.
  Status Stream(const HttpRequest& request, const OnHead& on_head,
                const OnData& on_data);

  /// Sends the request and returns the complete response. Call once.
  /// Errors also: kMalformedResponse if the body exceeds HttpOptions::max_body.
  Result<HttpResponse> Run(const HttpRequest& request);

  /// Ends the call; may be called from any thread.
  void Cancel();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_HTTP_CALL_H_
