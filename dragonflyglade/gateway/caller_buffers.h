#ifndef DRAGONFLYGLADE_GATEWAY_CALLER_BUFFERS_H_
#define DRAGONFLYGLADE_GATEWAY_CALLER_BUFFERS_H_

#include <cstddef>
#include <functional>
#include <iterator>
#include <list>
#include <utility>

namespace dragonflyglade::gateway {

/// Limits of what an instance keeps until its callers read it.
struct CallerBufferLimits {
  /// In the socket of one connection. Callers of the same region that read get
  /// more than an instance's bandwidth with this.
  std::size_t socket_bytes = 256u << 10;
  /// In all responses that are being written. The smallest machines have 120
  /// MB.
  std::size_t total_bytes = 32u << 20;
};

/// Counts the bytes of responses that are being written, and ends the
/// connections of the slowest callers while they exceed the limit. Used on one
/// event loop.
class CallerBuffers {
 public:
  using LimitsProvider = std::function<CallerBufferLimits()>;

  explicit CallerBuffers(LimitsProvider limits) : limits(std::move(limits)) {}
  CallerBuffers(const CallerBuffers&) = delete;
  CallerBuffers& operator=(const CallerBuffers&) = delete;

  /// Counts the bytes of one write during its lifetime.
  class Write {
   public:
    /// May end the writes of other callers, or this one.
    /// @param end ends this write; called at most once
    Write(CallerBuffers& buffers, std::size_t bytes, std::function<void()> end);
    ~Write();
    Write(const Write&) = delete;
    Write& operator=(const Write&) = delete;

   private:
    friend class CallerBuffers;

    CallerBuffers& buffers;
    const std::size_t bytes;
    const std::function<void()> end;
    bool ended = false;
    std::list<Write*>::iterator position;
  };

  CallerBufferLimits Limits() const { return this->limits(); }
  /// Bytes of the writes in progress.
  std::size_t Bytes() const { return this->bytes; }

 private:
  void Remove(Write& write);
  void EndSlowest();

  const LimitsProvider limits;
  std::size_t bytes = 0;
  std::list<Write*> writes;  ///< the oldest first
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CALLER_BUFFERS_H_
