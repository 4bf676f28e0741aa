#include "dragonflyglade/gateway/caller_buffers.h"

#include <algorithm>
#include <iterator>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Responses that a target sends slowly hold room; beside them, the others that
// wait must go on.
constexpr absl::Duration kMaxRoomWait = absl::Seconds(1);
// Writes to callers that read take milliseconds. A write that takes longer than
// this keeps no other response waiting; it may be cut off for it.
constexpr absl::Duration kReadingTime = absl::Milliseconds(250);
// The part of the total that is left to what does not wait for room: heads,
// small responses and events.
constexpr std::size_t kReserveDivisor = 8;

}  // namespace

// Keeps a receipt in the list of those that wait during its lifetime, also if
// the coroutine that waits is destroyed.
class CallerBuffers::Receipt::Turn {
 public:
  explicit Turn(Receipt& receipt)
      : receipt(receipt), condition(receipt.buffers.context) {
    std::list<Receipt*>& waiting = this->receipt.buffers.waiting;
    this->position = waiting.insert(waiting.end(), &this->receipt);
    this->receipt.turn = &this->condition;
  }
  ~Turn() {
    this->receipt.turn = nullptr;
    this->receipt.buffers.waiting.erase(this->position);
    this->receipt.buffers.WakeFirst();
  }
  Turn(const Turn&) = delete;
  Turn& operator=(const Turn&) = delete;

  asio::awaitable<void> Wait() {
    const bool is_first =
        this->receipt.buffers.waiting.front() == &this->receipt;
    return this->condition.Wait(is_first ? kReadingTime : kMaxRoomWait);
  }

 private:
  Receipt& receipt;
  AsyncCondition condition;
  std::list<Receipt*>::iterator position;
};

CallerBuffers::Write::Write(CallerBuffers& buffers, std::size_t bytes,
                            std::function<void()> end)
    : buffers(buffers) {
  this->entry.bytes = bytes;
  this->entry.end = std::move(end);
  this->buffers.Append(this->entry);
  this->buffers.EndSlowest();
}

CallerBuffers::Write::~Write() {
  this->buffers.Remove(this->entry);
  this->buffers.WakeFirst();
}

CallerBuffers::Receipt::Receipt(CallerBuffers& buffers,
                                std::function<void()> end)
    : buffers(buffers) {
  this->entry.end = std::move(end);
  this->entry.is_receipt = true;
}

void CallerBuffers::Receipt::Resize(std::size_t bytes) {
  if (this->entry.ended) return;
  this->buffers.Remove(this->entry);
  this->entry.bytes = bytes;
  if (bytes > 0) this->buffers.Append(this->entry);
  this->buffers.EndSlowest();
}

void CallerBuffers::Receipt::Clear() {
  this->buffers.Remove(this->entry);
  this->entry.bytes = 0;
  this->buffers.expected_bytes -= this->expected;
  this->expected = 0;
  this->buffers.WakeFirst();
}

bool CallerBuffers::Receipt::MayBegin(std::size_t length) const {
  const CallerBuffers& all = this->buffers;
  if (this->wait_stopped) return true;
  if (all.waiting.front() != this) return false;
  const bool is_stuck = all.clock.Now() - all.last_admission >= kMaxRoomWait;
  return is_stuck || all.Fits(length);
}

// Without this, many long responses that arrive together fill the memory in
// part, and nearly all of them are cut off although their callers read.
asio::awaitable<void> CallerBuffers::Receipt::AwaitRoom(std::size_t length) {
  if (length <= kSmallResponseBytes) co_return;
  {
    // Its end wakes the next one.
    Turn turn(*this);
    while (!this->MayBegin(length)) co_await turn.Wait();
    if (this->wait_stopped) co_return;
    this->expected = length;
    this->buffers.expected_bytes += length;
    this->buffers.last_admission = this->buffers.clock.Now();
  }
}

void CallerBuffers::Receipt::StopWaiting() {
  this->wait_stopped = true;
  if (this->turn != nullptr) this->turn->Notify();
}

bool CallerBuffers::Fits(std::size_t length) const {
  const std::size_t others = this->expected_bytes + this->RecentWriteBytes();
  const std::size_t total = this->limits().total_bytes;
  return others == 0 || others + length <= total - total / kReserveDivisor;
}

std::size_t CallerBuffers::RecentWriteBytes() const {
  const Instant oldest = this->clock.Now() - kReadingTime;
  std::size_t sum = 0;
  for (auto it = this->entries.rbegin(); it != this->entries.rend(); ++it) {
    if ((*it)->since < oldest) break;
    if (!(*it)->is_receipt) sum += (*it)->bytes;
  }
  return sum;
}

void CallerBuffers::WakeFirst() {
  if (!this->waiting.empty()) this->waiting.front()->turn->Notify();
}

void CallerBuffers::Append(Entry& entry) {
  entry.since = this->clock.Now();
  this->entries.push_back(&entry);
  entry.position = std::prev(this->entries.end());
  entry.listed = true;
  this->bytes += entry.bytes;
  if (entry.is_receipt) this->received_bytes += entry.bytes;
}

void CallerBuffers::Remove(Entry& entry) {
  if (!entry.listed) return;
  this->entries.erase(entry.position);
  entry.listed = false;
  this->bytes -= entry.bytes;
  if (entry.is_receipt) this->received_bytes -= entry.bytes;
}

// The first entry has waited longest for its caller to read, or for its target
// to send. Writes to callers that read take milliseconds. Small receipts are
// spared while there is another entry: they free next to nothing.
CallerBuffers::Entry& CallerBuffers::Slowest() const {
  const auto found = std::find_if(
      this->entries.begin(), this->entries.end(), [](const Entry* entry) {
        return !entry->is_receipt || entry->bytes > kSmallResponseBytes;
      });
  return found == this->entries.end() ? *this->entries.front() : **found;
}

void CallerBuffers::EndSlowest() {
  while (this->bytes > this->limits().total_bytes && !this->entries.empty()) {
    Entry& slowest = this->Slowest();
    slowest.ended = true;
    this->Remove(slowest);
    slowest.end();
  }
}

}  // namespace dragonflyglade::gateway
