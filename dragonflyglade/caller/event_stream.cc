#include "dragonflyglade/caller/event_stream.h"

#include <utility>

namespace dragonflyglade {

EventStream::EventStream(std::size_t limit) : limit(limit) {}

bool EventStream::Ended() const {
  return this->finished || this->cancelled || this->failure.has_value();
}

bool EventStream::Push(std::string text) {
  absl::MutexLock lock(&this->mutex);
  const auto has_room = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    return this->events.size() < this->limit || this->Ended();
  };
  this->mutex.Await(absl::Condition(&has_room));
  if (this->Ended()) return false;
  this->events.push_back(std::move(text));
  return true;
}

void EventStream::Finish() {
  absl::MutexLock lock(&this->mutex);
  this->finished = true;
}

void EventStream::Fail(Refusal refusal) {
  absl::MutexLock lock(&this->mutex);
  if (!this->Ended()) this->failure = std::move(refusal);
}

void EventStream::Cancel() {
  std::function<void()> action;
  {
    absl::MutexLock lock(&this->mutex);
    if (this->cancelled || this->finished) return;
    this->cancelled = true;
    action = std::move(this->on_cancel);
  }
  if (action) action();
}

void EventStream::OnCancel(std::function<void()> action) {
  {
    absl::MutexLock lock(&this->mutex);
    if (!this->cancelled) {
      this->on_cancel = std::move(action);
      return;
    }
  }
  if (action) action();
}

bool EventStream::Cancelled() const {
  absl::MutexLock lock(&this->mutex);
  return this->cancelled;
}

StreamPart EventStream::Next(absl::Duration time_limit) {
  absl::MutexLock lock(&this->mutex);
  const auto has_part = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    return !this->events.empty() || this->Ended();
  };
  this->mutex.AwaitWithTimeout(absl::Condition(&has_part), time_limit);
  if (!this->events.empty()) {
    StreamData data{std::move(this->events.front())};
    this->events.pop_front();
    return data;
  }
  if (this->failure.has_value()) return *this->failure;
  if (this->Ended()) return StreamDone{};
  return StreamTimeout{};
}

std::optional<Refusal> EventStream::WaitForStart() {
  absl::MutexLock lock(&this->mutex);
  const auto has_started = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    return !this->events.empty() || this->Ended();
  };
  this->mutex.Await(absl::Condition(&has_started));
  if (this->events.empty()) return this->failure;
  return std::nullopt;
}

}  // namespace dragonflyglade
