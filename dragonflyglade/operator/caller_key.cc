#include "dragonflyglade/operator/caller_key.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <stdexcept>
#include <vector>

#include "absl/strings/escaping.h"

namespace dragonflyglade {
namespace {

constexpr std::string_view kKeyPrefix = "dg_";
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSaltBytes = 16;

bool IsHex(std::string_view text, std::size_t bytes) {
  if (text.size() != 2 * bytes) return false;
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string ToHex(const unsigned char* data, std::size_t size) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(data), size));
}

}  // namespace

std::string CallerKey::ToString() const {
  return std::string(kKeyPrefix) + this->id + "_" + this->secret;
}

Result<CallerKey> ParseCallerKey(std::string_view text) {
  const Failure malformed = MakeFailure(Errc::kInvalidArgument, "read key",
                                        "caller", "not of the form of a key");
  if (text.substr(0, kKeyPrefix.size()) != kKeyPrefix) return malformed;
  text.remove_prefix(kKeyPrefix.size());
  const std::size_t separator = text.find('_');
  if (separator == std::string_view::npos) return malformed;
  const std::string_view id = text.substr(0, separator);
  const std::string_view secret = text.substr(separator + 1);
  if (!IsHex(id, kIdBytes) || !IsHex(secret, kSecretBytes)) return malformed;
  return CallerKey{std::string(id), std::string(secret)};
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
    // Without randomness a key could be guessed and a nonce could repeat.
    throw std::runtime_error("the system's random source failed");
  }
  return ToHex(buffer.data(), buffer.size());
}

CallerKey NewCallerKey() {
  return CallerKey{RandomHex(kIdBytes), RandomHex(kSecretBytes)};
}

std::string NewSalt() { return RandomHex(kSaltBytes); }

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string SaltedDigest(std::string_view salt, std::string_view secret) {
  return Sha256Hex(std::string(salt) + std::string(secret));
}

// Failure: a response that is faster for a wrong first byte lets a caller guess
// a digest byte by byte, and one that is faster for an unknown id reveals which
// ids exist. So the whole digest is always computed and compared; for an
// unknown id, it is compared with a digest that no secret has.
std::variant<KeyRecord, KeyError> FindKeyRecord(const Catalog& catalog,
                                                std::string_view text) {
  const Result<CallerKey> key = ParseCallerKey(text);
  if (!key.Ok()) return KeyError::kMalformed;
  const KeyRecord* record = FindRecord(catalog.keys, key.Value().id);
  static const std::string kPlaceholderDigest(
      std::size_t{2} * SHA256_DIGEST_LENGTH, '0');
  const std::string salt =
      record == nullptr ? kPlaceholderDigest : record->salt;
  const std::string expected =
      record == nullptr ? kPlaceholderDigest : record->digest;
  const std::string digest = SaltedDigest(salt, key.Value().secret);
  const bool digests_match =
      expected.size() == digest.size() &&
      CRYPTO_memcmp(digest.data(), expected.data(), digest.size()) == 0;
  if (record == nullptr || !digests_match) return KeyError::kUnknown;
  if (record->withdrawn) return KeyError::kWithdrawn;
  return *record;
}

}  // namespace dragonflyglade
