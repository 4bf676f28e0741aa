#include "dragonflyglade/net/periodic_worker.h"

#include <exception>
#include <utility>

#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

// The cause of an exception usually lasts longer than a job's normal pause.
constexpr absl::Duration kPauseAfterException = absl::Seconds(1);

}  // namespace

PeriodicWorker::PeriodicWorker(Job job) : job(std::move(job)) {}

PeriodicWorker::~PeriodicWorker() { this->Stop(); }

void PeriodicWorker::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

absl::Duration PeriodicWorker::RunJobOnce() const {
  try {
    return this->job();
  } catch (const std::exception& error) {
    LogFor(LogPart::kInstance)
        .error("A periodic job threw an exception: {}.", error.what());
    return kPauseAfterException;
  }
}

void PeriodicWorker::Run() {
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

void PeriodicWorker::Wake() {
  absl::MutexLock lock(&this->mutex);
  this->woken = true;
}

void PeriodicWorker::Stop() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  if (this->thread.joinable()) this->thread.join();
}

bool PeriodicWorker::Stopping() const {
  absl::MutexLock lock(&this->mutex);
  return this->stopping;
}

}  // namespace dragonflyglade
