#include "dragonflyglade/gateway/request_trials.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

constexpr absl::Duration kStoreTimeout = absl::Milliseconds(400);
// A trial that led to nothing is given back; until then the store is not asked
// again.
constexpr absl::Duration kTriedTime = absl::Seconds(10);
constexpr std::size_t kMaxTried = 1000;

}  // namespace

RequestTrials::RequestTrials(const RefusedSuspects& refused, StoreClient& store,
                             std::string self, EventLog& log, Clock clock)
    : refused(refused),
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
  const auto tried = this->tried_at.find(digest);
  state.was_tried =
      tried != this->tried_at.end() && now - tried->second < kTriedTime;
  return state;
}

bool RequestTrials::MayClaim(const std::string& digest) const {
  return MayTry(this->StateOf(digest));
}

absl::Duration RequestTrials::RetryAfter(const std::string& digest) const {
  return RetryAfterOf(this->StateOf(digest));
}

// The trial of a request that is held again later has the same key: an answer
// removes it with the record.
asio::awaitable<bool> RequestTrials::Claim(std::string digest) {
  if (!this->MayClaim(digest)) co_return false;
  if (this->tried_at.size() >= kMaxTried) {
    this->tried_at.erase(
        std::min_element(this->tried_at.begin(), this->tried_at.end(),
                         [](const auto& one, const auto& other) {
                           return one.second < other.second;
                         }));
  }
  this->tried_at[digest] = this->clock.Now();
  StoreTransaction transaction;
  const std::string key = TrialKey(digest);
  transaction.preconditions.push_back({key, 0});
  transaction.puts.push_back({key, this->self, 0});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kStoreTimeout);
  const bool claimed = std::holds_alternative<StoreCommitted>(response);
  this->log.Write("parts", "trial", {{"digest", digest}, {"claimed", claimed}});
  co_return claimed;
}

asio::awaitable<void> RequestTrials::Release(std::string digest) {
  StoreTransaction transaction;
  transaction.deletes.push_back(TrialKey(digest));
  StoreCall call = std::move(transaction);
  co_await this->store.Call(std::move(call), kStoreTimeout);
}

}  // namespace dragonflyglade::gateway
