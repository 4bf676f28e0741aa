#include "dragonflyglade/gateway/large_change_sender.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// The rest is left to requests, whose streams must not stall.
constexpr double kLinkShare = 0.5;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr absl::Duration kSendInterval = absl::Milliseconds(10);
// The configuration and the version before it, for instances that request
// either.
constexpr std::size_t kCachedChanges = 4;
// Bound on what foreign datagrams can make this instance keep and send.
constexpr std::size_t kMaxQueuedParts = 20000;

}  // namespace

LargeChangeSender::LargeChangeSender(asio::io_context& context,
                                     const FleetState& fleet, double link_mbps,
                                     Metrics& metrics, Clock clock)
    : context(context),
      fleet(fleet),
      bytes_per_second(link_mbps * kBytesPerMegabit * kLinkShare),
      metrics(metrics),
      clock(std::move(clock)),
      queue_grew(context) {}

std::shared_ptr<const PackedChange> LargeChangeSender::Pack(
    const StoreEvent& event) {
  for (const CachedChange& cached : this->cache) {
    if (cached.revision == event.item.revision &&
        cached.key == event.item.key) {
      return cached.change;
    }
  }
  auto change = std::make_shared<const PackedChange>(event);
  this->cache.push_front({event.item.key, event.item.revision, change});
  if (this->cache.size() > kCachedChanges) this->cache.pop_back();
  return change;
}

void LargeChangeSender::Receive(const wire::PartRequest& request) {
  const StoreEvent* event = this->fleet.RecentUrgentChanges().Find(
      request.key, static_cast<std::uint64_t>(request.revision));
  if (event == nullptr) return;
  const std::shared_ptr<const PackedChange> change = this->Pack(*event);
  if (change->Checksum() != static_cast<std::uint64_t>(request.checksum)) {
    return;
  }
  for (const std::int32_t number : request.parts) {
    if (number < 0 || static_cast<std::size_t>(number) >= change->Parts()) {
      continue;
    }
    if (this->queue.size() >= kMaxQueuedParts) break;
    QueuedPart part{request.address, change, static_cast<std::size_t>(number)};
    if (!this->queued.insert(IdOf(part)).second) continue;
    this->queue.push_back(std::move(part));
  }
  this->queue_grew.Notify();
}

asio::awaitable<void> LargeChangeSender::Run() {
  while (true) {
    if (this->queue.empty()) {
      co_await this->queue_grew.Wait(absl::Seconds(1));
    } else {
      co_await Sleep(this->context, kSendInterval);
    }
    this->SendDue();
  }
}

void LargeChangeSender::SendDue() {
  const Instant now = this->clock.Now();
  const double earned =
      absl::ToDoubleSeconds(now - this->last_sent) * this->bytes_per_second;
  const double burst =
      absl::ToDoubleSeconds(kSendInterval) * this->bytes_per_second;
  this->available_bytes = std::min(this->available_bytes + earned, burst);
  this->last_sent = now;
  while (!this->queue.empty() && this->available_bytes > 0) {
    const QueuedPart part = std::move(this->queue.front());
    this->queue.pop_front();
    this->queued.erase(IdOf(part));
    wire::ChangePart message_part;
    message_part.checksum = static_cast<std::int64_t>(part.change->Checksum());
    message_part.number = static_cast<std::int32_t>(part.number);
    message_part.bytes = std::string(part.change->Part(part.number));
    this->available_bytes -= static_cast<double>(message_part.bytes.size());
    wire::FleetMessage message;
    message.__set_change_part(std::move(message_part));
    this->send(message, part.address);
    this->metrics.Count("change_parts_sent");
  }
}

LargeChangeSender::QueuedPartId LargeChangeSender::IdOf(
    const QueuedPart& part) {
  return {part.address, part.change->Checksum(), part.number};
}

}  // namespace dragonflyglade::gateway
