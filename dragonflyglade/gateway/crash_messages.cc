#include "dragonflyglade/gateway/crash_messages.h"

namespace dragonflyglade::gateway {

wire::SuspectKind::type ToWire(SuspectKind kind) {
  return kind == SuspectKind::kPart ? wire::SuspectKind::PART
                                    : wire::SuspectKind::REQUEST;
}

std::optional<SuspectKind> FromWire(wire::SuspectKind::type kind) {
  switch (kind) {
    case wire::SuspectKind::PART:
      return SuspectKind::kPart;
    case wire::SuspectKind::REQUEST:
      return SuspectKind::kRequest;
  }
  return std::nullopt;
}

wire::TargetCrash ToWire(const TargetCrash& crash) {
  wire::TargetCrash encoded;
  encoded.target = crash.target;
  encoded.born_ms = crash.born_ms;
  if (crash.version.has_value()) encoded.__set_version(*crash.version);
  return encoded;
}

TargetCrash FromWire(const wire::TargetCrash& encoded) {
  TargetCrash crash{encoded.target, encoded.born_ms, std::nullopt};
  if (encoded.__isset.version) crash.version = encoded.version;
  return crash;
}

}  // namespace dragonflyglade::gateway
