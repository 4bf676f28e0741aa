#include "dragonflyglade/gateway/request_trials.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

constexpr absl::Duration kStoreTimeout = absl::Milliseconds(400);
constexpr absl::Duration kRetryPause = absl::Milliseconds(500);
// A trial that led to nothing is given back; until then the store is not asked
// again.
constexpr absl::Duration kTriedTime = absl::Seconds(10);
// After this instance has given its own trial back. No target could be reached,
// or an answer was lost.
constexpr absl::Duration kReleasedTime = absl::Seconds(1);
constexpr std::size_t kMaxTried = 1000;

}  // namespace

RequestTrials::RequestTrials(asio::io_context& context,
                             const RefusedSuspects& refused, StoreClient& store,
                             std::string self, EventLog& log, Clock clock)
    : context(context),
      refused(refused),
      store(store),
      self(std::move(self)),
      log(log),
      clock(std::move(clock)) {}

bool RequestTrials::IsHeld(const std::string& digest) const {
  return this->refused.Find({SuspectKind::kRequest, digest}) != nullptr;
}

// An operator has named the request if no target crashed.
HeldRequest RequestTrials::StateOf(const std::string& digest) const {
  const RefusedSuspect* held =
      this->refused.Find({SuspectKind::kRequest, digest});
  if (held == nullptr) return {};
  const Instant now = this->clock.Now();
  HeldRequest state;
  const std::size_t crashes = held->record.crashes.size();
  state.crashes = crashes == 0 ? kMaxCrashesOfRequest : crashes;
  state.held_for = now - held->known_since;
  const auto trial = this->known.find(digest);
  state.was_tried = trial != this->known.end() && now < trial->second.again_at;
  state.fell_together = held->record.fell_together;
  return state;
}

bool RequestTrials::MayClaim(const std::string& digest) const {
  return MayTry(this->StateOf(digest));
}

absl::Duration RequestTrials::RetryAfter(const std::string& digest) const {
  return RetryAfterOf(this->StateOf(digest));
}

bool RequestTrials::IsCertain(const std::string& digest) const {
  return dragonflyglade::IsCertain(this->StateOf(digest));
}

// The trial of a request that is held again later has the same key: an answer
// removes it with the record.
asio::awaitable<bool> RequestTrials::Claim(std::string digest) {
  if (!this->MayClaim(digest)) co_return false;
  if (this->known.size() >= kMaxTried) {
    this->known.erase(std::min_element(this->known.begin(), this->known.end(),
                                       [](const auto& one, const auto& other) {
                                         return one.second.again_at <
                                                other.second.again_at;
                                       }));
  }
  this->known[digest] = Trial{this->clock.Now() + kTriedTime};
  StoreTransaction transaction;
  const std::string key = TrialKey(digest);
  transaction.preconditions.push_back({key, 0});
  transaction.puts.push_back({key, this->self, 0});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kStoreTimeout);
  const auto* committed = std::get_if<StoreCommitted>(&response);
  const bool claimed = committed != nullptr;
  if (claimed) this->known[digest].revision = committed->revision;
  this->log.Write("parts", "trial", {{"digest", digest}, {"claimed", claimed}});
  co_return claimed;
}

// Failure: the store refuses the call, the key stays, and the request is
// refused for good although it is sound. A call that is carried out late
// removes no later claim, which has another revision.
asio::awaitable<void> RequestTrials::Release(std::string digest) {
  const auto trial = this->known.find(digest);
  if (trial == this->known.end()) co_return;
  StoreTransaction transaction;
  const std::string key = TrialKey(digest);
  transaction.preconditions.push_back({key, trial->second.revision});
  transaction.deletes.push_back(key);
  trial->second.again_at = this->clock.Now() + kReleasedTime;
  while (true) {
    StoreCall call = transaction;
    const StoreResponse response =
        co_await this->store.Call(std::move(call), kStoreTimeout);
    if (std::holds_alternative<StoreCommitted>(response) ||
        std::holds_alternative<StoreConflict>(response)) {
      co_return;
    }
    co_await Sleep(this->context, kRetryPause);
  }
}

}  // namespace dragonflyglade::gateway
