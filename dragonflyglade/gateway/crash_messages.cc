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

wire::SentAs::type ToWire(SentAs sent_as) {
  switch (sent_as) {
    case SentAs::kUnsuspected:
      return wire::SentAs::UNSUSPECTED;
    case SentAs::kRepeat:
      return wire::SentAs::REPEAT;
    case SentAs::kTrial:
      return wire::SentAs::TRIAL;
  }
  return wire::SentAs::REPEAT;
}

SentAs FromWire(wire::SentAs::type sent_as) {
  switch (sent_as) {
    case wire::SentAs::UNSUSPECTED:
      return SentAs::kUnsuspected;
    case wire::SentAs::REPEAT:
      return SentAs::kRepeat;
    case wire::SentAs::TRIAL:
      return SentAs::kTrial;
  }
  return SentAs::kRepeat;
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
