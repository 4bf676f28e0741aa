#include "dragonflyglade/gateway/store_link.h"

#include <fmt/format.h>

#include <utility>

#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/target_exchange.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

StoreLink::StoreLink(asio::io_context& context, Endpoint store,
                     const WireFormat& wire, Metrics& metrics, Clock clock)
    : context(context),
      address(store.ToString()),
      wire(wire),
      metrics(metrics),
      clock(std::move(clock)) {}

asio::awaitable<StoreReply> StoreLink::Call(StoreCall call,
                                            absl::Duration timeout) {
  const HttpCallText text = this->wire.encode_store_call(call);
  TargetExchange exchange(this->context, this->connections, this->wire,
                          this->clock);
  const Instant begun = this->clock.Now();
  std::string head = RequestText(text, this->address);
  const ExchangeOutcome outcome = co_await exchange.Run(
      this->address, "", std::move(head), text.body, begun + timeout);
  StoreReply reply = StoreUnknown{};
  std::string_view result = "unknown";
  if (const auto* whole = std::get_if<WholeAnswer>(&outcome)) {
    reply =
        this->wire.decode_store_reply(call, whole->head.status, whole->body);
    result = "answered";
  } else if (const auto* lost = std::get_if<Lost>(&outcome)) {
    reply = StoreUnknown{lost->why};
  } else if (std::holds_alternative<NotSent>(outcome)) {
    reply = StoreRefused{};
    result = "not sent";
  }
  this->metrics.Count("store_calls", fmt::format("result=\"{}\"", result));
  co_return reply;
}

}  // namespace dragonflyglade::gateway
