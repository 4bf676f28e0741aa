#include "dragonflyglade/net/worker.h"

#include <exception>
#include <utility>

#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

// The cause of an exception usually lasts longer than a job's normal pause.
constexpr absl::Duration kPauseAfterException = absl::Seconds(1);

}  // namespace

Worker::Worker(Job job) : job(std::move(job)) {}

Worker::~Worker() { this->Stop(); }

void Worker::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

absl::Duration Worker::RunJobOnce() const {
  try {
    return this->job();
  } catch (const std::exception& error) {
    LogFor(LogPart::kInstance)
        .error("A periodic job threw an exception: {}.", error.what());
    return kPauseAfterException;
  }
}

void Worker::Run() {
  while (true) {
    const absl::Duration pause = this->RunJobOnce();
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
