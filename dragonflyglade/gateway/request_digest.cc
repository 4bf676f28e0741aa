#include "dragonflyglade/gateway/request_digest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint>
#include <memory>

namespace dragonflyglade::gateway {
namespace {

struct FreeState {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes texts one after the other. Their sizes keep "ab", "c" and "a", "bc"
// apart.
class TextHash {
 public:
  TextHash() : state(XXH3_createState()) {
    XXH3_64bits_reset(this->state.get());
  }

  void Add(std::string_view text) {
    const std::uint64_t size = text.size();
    XXH3_64bits_update(this->state.get(), &size, sizeof(size));
    XXH3_64bits_update(this->state.get(), text.data(), text.size());
  }

  XXH64_hash_t Value() const { return XXH3_64bits_digest(this->state.get()); }

 private:
  const std::unique_ptr<XXH3_state_t, FreeState> state;
};

}  // namespace

// Header fields are left out, but for those that say what to generate: some of
// them, such as trace ids, differ from repeat to repeat.
std::string DigestOf(const CallerRequest& request, std::string_view workspace) {
  TextHash hash;
  hash.Add(request.method);
  hash.Add(request.host);
  hash.Add(request.path_and_query);
  hash.Add(workspace);
  hash.Add(request.use.model);
  hash.Add(request.use.adapter);
  for (const PromptPart& part : request.use.parts) hash.Add(part.id);
  hash.Add(request.body == nullptr ? std::string_view() : *request.body);
  return fmt::format("{:016x}", hash.Value());
}

}  // namespace dragonflyglade::gateway
