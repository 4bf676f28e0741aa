#ifndef DRAGONFLYGLADE_NET_HTTP_STATUS_H_
#define DRAGONFLYGLADE_NET_HTTP_STATUS_H_

namespace dragonflyglade {

/// Whether a status is one of an interim or final answer. What follows another
/// one on its connection says nothing: its bytes may read as a head and a body.
/// A change of protocol is never asked for.
constexpr bool IsAnswerStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  constexpr unsigned kSwitchingProtocols = 101;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_HTTP_STATUS_H_
