#ifndef DRAGONFLYGLADE_GATEWAY_CALLER_BUFFERS_H_
#define DRAGONFLYGLADE_GATEWAY_CALLER_BUFFERS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <utility>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"

namespace dragonflyglade::gateway {

/// Limits of what an instance keeps until its callers read it.
struct CallerBufferLimits {
  /// In the socket of one connection. Callers of the same region that read get
  /// more than an instance's bandwidth with this.
  std::size_t socket_bytes = 256u << 10;
  /// In all responses that are being received from targets or written to
  /// callers. The smallest machines have 120 MB.
  std::size_t total_bytes = 32u << 20;
};

/// Counts the bytes of responses that are being received or written, and ends
/// the slowest of them while they exceed the limit. Used on one event loop.
class CallerBuffers {
 public:
  using LimitsProvider = std::function<CallerBufferLimits()>;

  /// A response of up to this many bytes is received without waiting for room.
  static constexpr std::size_t kSmallResponseBytes = 16u << 10;

  CallerBuffers(boost::asio::io_context& context, LimitsProvider limits,
                Clock clock)
      : context(context), limits(std::move(limits)), clock(std::move(clock)) {}
  CallerBuffers(const CallerBuffers&) = delete;
  CallerBuffers& operator=(const CallerBuffers&) = delete;

 private:
  /// Bytes that count, and how to end what holds them.
  struct Entry {
    std::size_t bytes = 0;
    std::function<void()> end;
    Instant since;  ///< when a write began, or a receipt last made progress
    bool is_receipt = false;
    bool ended = false;
    bool listed = false;
    std::list<Entry*>::iterator position = {};
  };

 public:
  /// Counts the bytes of one write during its lifetime.
  class Write {
   public:
    /// May end other writes and receipts, or this one.
    /// @param end ends this write; called at most once
    Write(CallerBuffers& buffers, std::size_t bytes, std::function<void()> end);
    ~Write();
    Write(const Write&) = delete;
    Write& operator=(const Write&) = delete;

   private:
    CallerBuffers& buffers;
    Entry entry;
  };

  /// Counts what was received of one response and is not being written yet,
  /// during its lifetime.
  class Receipt {
   public:
    /// @param end ends the response; called at most once
    Receipt(CallerBuffers& buffers, std::function<void()> end);
    ~Receipt() { this->Clear(); }
    Receipt(const Receipt&) = delete;
    Receipt& operator=(const Receipt&) = delete;

    /// Waits until a body of this length fits beside those that are being
    /// received, and those that are written to callers who read. Bodies of up
    /// to kSmallResponseBytes do not wait. If no body was let in for a second,
    /// the first that waits is.
    boost::asio::awaitable<void> AwaitRoom(std::size_t length);
    /// Ends a wait for room at once.
    void StopWaiting();

    /// Counts this many bytes. May end other writes and receipts, or this one.
    void Resize(std::size_t bytes);
    /// Counts nothing any more; the response was handed on, or has ended.
    void Clear();

    std::size_t Bytes() const { return this->entry.bytes; }

   private:
    friend class CallerBuffers;

    class Turn;

    bool MayBegin(std::size_t length) const;

    CallerBuffers& buffers;
    Entry entry;
    std::size_t expected = 0;  ///< stated length, while it is being received
    bool wait_stopped = false;
    AsyncCondition* turn = nullptr;  ///< of the wait for room, if it waits
  };

  CallerBufferLimits Limits() const { return this->limits(); }
  /// Bytes of the responses that are being received or written.
  std::size_t Bytes() const { return this->bytes; }
  /// Bytes of the responses that are being received.
  std::size_t ReceivedBytes() const { return this->received_bytes; }

 private:
  void Append(Entry& entry);
  void Remove(Entry& entry);
  /// Ends entries until the limit holds.
  void EndSlowest();
  Entry& Slowest() const;
  /// Whether a body of this many bytes may be received now.
  bool Fits(std::size_t length) const;
  /// Bytes of the writes that began within kReadingTime.
  std::size_t RecentWriteBytes() const;
  void WakeFirst();

  boost::asio::io_context& context;
  const LimitsProvider limits;
  const Clock clock;
  std::size_t bytes = 0;
  std::size_t received_bytes = 0;
  std::size_t expected_bytes = 0;  ///< stated lengths of admitted receipts
  std::list<Entry*> entries;    ///< the one without progress for longest first
  std::list<Receipt*> waiting;  ///< the first to come first
  Instant last_admission;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CALLER_BUFFERS_H_
