#include "dragonflyglade/caller/stream_registry.h"

#include <utility>
#include <vector>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {

StreamRegistry::Shard& StreamRegistry::ShardOf(std::string_view key_id) {
  return this->shards[StableHash(key_id) % kShards];
}

StreamRegistry::Entry::Entry(StreamRegistry& registry, std::string_view key_id,
                             End end)
    : registry(registry), key_id(key_id) {
  Shard& shard = registry.ShardOf(this->key_id);
  absl::MutexLock lock(&shard.mutex);
  this->number = shard.next_number++;
  shard.calls[this->key_id].emplace(this->number, std::move(end));
}

StreamRegistry::Entry::~Entry() {
  Shard& shard = this->registry.ShardOf(this->key_id);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.calls.find(this->key_id);
  if (found == shard.calls.end()) return;
  found->second.erase(this->number);
  if (found->second.empty()) shard.calls.erase(found);
}

std::size_t StreamRegistry::EndAll(std::string_view key_id) {
  std::vector<End> ends;
  {
    Shard& shard = this->ShardOf(key_id);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.calls.find(key_id);
    if (found == shard.calls.end()) return 0;
    for (const auto& [number, end] : found->second) ends.push_back(end);
  }
  // The calls are ended without the lock, since each one then removes its entry
  // and takes the lock itself.
  for (const End& end : ends) end();
  return ends.size();
}

std::vector<std::string> StreamRegistry::KeysInUse() const {
  std::vector<std::string> keys;
  for (const Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [key, calls] : shard.calls) keys.push_back(key);
  }
  return keys;
}

}  // namespace dragonflyglade
