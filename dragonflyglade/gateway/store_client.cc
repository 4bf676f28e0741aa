#include "dragonflyglade/gateway/store_client.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/target_exchange.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A response that has begun may be long, and many instances may call at the
// same time, so the call continues while bytes arrive. With a single timeout
// for the whole response, an instance on a slow link repeated its call forever
// and never received a complete response.
constexpr absl::Duration kStallTimeout = absl::Milliseconds(400);

/// The value of the metric label kind for each call.
struct CallKind {
  std::string_view operator()(const StoreList&) const { return "list"; }
  std::string_view operator()(const StoreWatch&) const { return "watch"; }
  std::string_view operator()(const StoreTransaction&) const {
    return "transaction";
  }
  std::string_view operator()(const StoreLeaseGrant&) const { return "grant"; }
  std::string_view operator()(const StoreLeaseRenewal&) const {
    return "renewal";
  }
  std::string_view operator()(const StoreLeaseRevoke&) const {
    return "lease end";
  }
};

}  // namespace

StoreClient::StoreClient(asio::io_context& context, Endpoint store,
                         const WireFormat& wire, Metrics& metrics, Clock clock)
    : context(context),
      address(store.ToString()),
      wire(wire),
      metrics(metrics),
      clock(std::move(clock)) {}

asio::awaitable<StoreResponse> StoreClient::Call(StoreCall call,
                                                 absl::Duration timeout) {
  OutgoingHttpRequest text = this->wire.encode_store_call(call);
  TargetExchange exchange(this->context, this->connections, this->wire,
                          this->clock);
  const Instant started_at = this->clock.Now();
  std::string head = RequestHeadText(text, this->address, text.body.size());
  exchange.SetStallTimeout(kStallTimeout);
  const auto body = std::make_shared<const std::string>(std::move(text.body));
  const ExchangeOutcome outcome = co_await exchange.Run(
      this->address, "", std::move(head), body, started_at + timeout);
  StoreResponse response = StoreOutcomeUnknown{};
  std::string_view result = "unknown";
  std::size_t bytes = 0;
  if (const auto* complete = std::get_if<CompleteResponse>(&outcome)) {
    bytes = complete->body.size();
    response = this->wire.decode_store_response(call, complete->head.status,
                                                complete->body);
    result = "answered";
  } else if (const auto* lost = std::get_if<OutcomeUnknown>(&outcome)) {
    response = StoreOutcomeUnknown{lost->why};
  } else if (std::holds_alternative<NotSent>(outcome)) {
    response = StoreRefused{};
    result = "not sent";
  }
  const std::string_view kind = std::visit(CallKind(), call);
  this->metrics.Count("store_calls",
                      fmt::format("kind=\"{}\",result=\"{}\"", kind, result));
  this->metrics.Count("store_bytes", fmt::format("kind=\"{}\"", kind),
                      static_cast<double>(bytes));
  co_return response;
}

}  // namespace dragonflyglade::gateway
