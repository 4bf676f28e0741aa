#include "dragonflyglade/net/worker.h"

#include <utility>

namespace dragonflyglade {

Worker::Worker(Job job) : job(std::move(job)) {}

Worker::~Worker() { this->Stop(); }

void Worker::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void Worker::Run() {
  while (true) {
    const absl::Duration pause = this->job();
    absl::MutexLock lock(&this->mutex);
    const auto interrupted = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
      return this->stopping || this->woken;
    };
    this->mutex.AwaitWithTimeout(absl::Condition(&interrupted), pause);
    if (this->stopping) return;
    this->woken = false;
  }
}

void Worker::Wake() {
  absl::MutexLock lock(&this->mutex);
  this->woken = true;
}

void Worker::Stop() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  if (this->thread.joinable()) this->thread.join();
}

bool Worker::Stopping() const {
  absl::MutexLock lock(&this->mutex);
  return this->stopping;
}

}  // namespace dragonflyglade
