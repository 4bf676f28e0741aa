#ifndef DRAGONFLYGLADE_OPERATOR_CALLER_KEY_H_
#define DRAGONFLYGLADE_OPERATOR_CALLER_KEY_H_

#include <string>
#include <string_view>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/operator/catalog.h"

namespace dragonflyglade {

/// A key as a caller shows it: "dg_<id>_<secret>", both hex.
struct CallerKey {
  std::string id;
  std::string secret;

  std::string ToString() const;
};

/// Reads a key. Errors: kInvalidArgument; the text is not repeated in them.
Result<CallerKey> ParseCallerKey(std::string_view text);

/// A new key from the system's random source.
CallerKey NewCallerKey();

/// A new salt, hex.
std::string NewSalt();

/// SHA-256 over salt and secret, hex. The secret is 256 random bits, so a
/// fast digest is enough: there is nothing to guess.
std::string DigestOf(std::string_view salt, std::string_view secret);

/// SHA-256 over a text, hex.
std::string Sha256Hex(std::string_view text);

/// Random bytes from the system, hex.
std::string RandomHex(std::size_t bytes);

/// Why a key does not let a request in.
enum class KeyError { kMalformed, kUnknown, kWithdrawn };

/// Finds the record that a shown key belongs to.
std::variant<KeyRecord, KeyError> FindKeyRecord(const Catalog& catalog,
                                                std::string_view text);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_CALLER_KEY_H_
