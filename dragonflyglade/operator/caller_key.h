#ifndef DRAGONFLYGLADE_OPERATOR_CALLER_KEY_H_
#define DRAGONFLYGLADE_OPERATOR_CALLER_KEY_H_

#include <string>
#include <string_view>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/operator/catalog.h"

namespace dragonflyglade {

/// A caller's key. Its text form is "dg_<id>_<secret>", both in hex.
struct CallerKey {
  std::string id;
  std::string secret;

  std::string ToString() const;
};

/// Parses a key. Errors: kInvalidArgument; the error does not repeat the text.
Result<CallerKey> ParseCallerKey(std::string_view text);

/// Generates a key from the system's random source.
CallerKey NewCallerKey();

/// Generates a salt, in hex.
std::string NewSalt();

/// The SHA-256 digest of salt and secret, in hex. The secret has 256 random
/// bits and cannot be guessed, so a fast digest is sufficient.
std::string SaltedDigest(std::string_view salt, std::string_view secret);

/// The SHA-256 digest of a text, in hex.
std::string Sha256Hex(std::string_view text);

/// Random bytes from the system, in hex.
/// Throws std::runtime_error if the random source fails.
std::string RandomHex(std::size_t bytes);

/// Why a caller's key is not accepted.
enum class KeyError { kMalformed, kUnknown, kWithdrawn };

/// Finds the record of a key that a caller presented, and checks the secret.
std::variant<KeyRecord, KeyError> FindKeyRecord(const Catalog& catalog,
                                                std::string_view text);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_CALLER_KEY_H_
