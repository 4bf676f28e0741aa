#include "dragonflyglade/gateway/connection_limit.h"

#include <iterator>
#include <utility>

#include "absl/time/time.h"

namespace dragonflyglade::gateway {
namespace {

// Callers that send and read as they should keep an instance waiting for
// milliseconds within a request or a response.
constexpr absl::Duration kUsualWait = absl::Milliseconds(250);

}  // namespace

ConnectionLimit::Entry::Entry(ConnectionLimit& connections,
                              std::function<void()> end)
    : connections(connections), end(std::move(end)) {
  this->connections.open += 1;
}

ConnectionLimit::Entry::~Entry() {
  this->EndWait();
  if (!this->ended) this->connections.open -= 1;
}

void ConnectionLimit::Entry::BeginWait(CallerWait wait) {
  this->EndWait();
  if (this->ended) return;
  List& list = this->connections.waiting.at(static_cast<std::size_t>(wait));
  this->waits = &list;
  this->position = list.insert(list.end(), this);
  this->since = this->connections.clock.Now();
}

void ConnectionLimit::Entry::EndWait() {
  if (this->waits == nullptr) return;
  this->waits->erase(this->position);
  this->waits = nullptr;
}

ConnectionLimit::Entry* ConnectionLimit::LongestWait(CallerWait wait) const {
  const std::list<Entry*>& list =
      this->waiting.at(static_cast<std::size_t>(wait));
  if (list.empty()) return nullptr;
  Entry* longest = list.front();
  const bool is_usual = wait != CallerWait::kRequest &&
                        this->clock.Now() - longest->since < kUsualWait;
  return is_usual ? nullptr : longest;
}

// A caller loses nothing by the end of an idle connection, and may repeat a
// request that was not read whole. The newest connection is spared: it is most
// likely to be of a caller who is about to send.
bool ConnectionLimit::MakeRoom() {
  if (this->open < this->most) return true;
  for (const CallerWait wait :
       {CallerWait::kRequest, CallerWait::kRestOfRequest,
        CallerWait::kResponseIsRead}) {
    Entry* longest = this->LongestWait(wait);
    if (longest == nullptr) continue;
    this->End(*longest);
    return true;
  }
  return false;
}

void ConnectionLimit::End(Entry& entry) {
  entry.EndWait();
  entry.ended = true;
  this->open -= 1;
  entry.end();
}

}  // namespace dragonflyglade::gateway
