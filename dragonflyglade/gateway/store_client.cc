#include "dragonflyglade/gateway/store_client.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>
#include <variant>

#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/target_exchange.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// An answer that has begun may be long, and many instances may ask at the same
// moment: it is waited for while bytes come. With one limit for the whole, an
// instance on a slow link asked again for ever more, and got nothing.
constexpr absl::Duration kStalled = absl::Milliseconds(400);

/// The calls by kind, as the metrics name them.
struct KindOfCall {
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
  const OutgoingHttpRequest text = this->wire.encode_store_call(call);
  TargetExchange exchange(this->context, this->connections, this->wire,
                          this->clock);
  const Instant begun = this->clock.Now();
  std::string head = RequestHeadText(text, this->address);
  exchange.SetStallTimeout(kStalled);
  const ExchangeOutcome outcome = co_await exchange.Run(
      this->address, "", std::move(head), text.body, begun + timeout);
  StoreResponse reply = StoreOutcomeUnknown{};
  std::string_view result = "unknown";
  std::size_t bytes = 0;
  if (const auto* whole = std::get_if<WholeAnswer>(&outcome)) {
    bytes = whole->body.size();
    reply =
        this->wire.decode_store_response(call, whole->head.status, whole->body);
    result = "answered";
  } else if (const auto* lost = std::get_if<Lost>(&outcome)) {
    reply = StoreOutcomeUnknown{lost->why};
  } else if (std::holds_alternative<NotSent>(outcome)) {
    reply = StoreRefused{};
    result = "not sent";
  }
  const std::string_view kind = std::visit(KindOfCall(), call);
  this->metrics.Count("store_calls",
                      fmt::format("kind=\"{}\",result=\"{}\"", kind, result));
  this->metrics.Count("store_bytes", fmt::format("kind=\"{}\"", kind),
                      static_cast<double>(bytes));
  co_return reply;
}

}  // namespace dragonflyglade::gateway
