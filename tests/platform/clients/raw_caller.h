#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_RAW_CALLER_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_RAW_CALLER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// A connection of a caller that sends any bytes, or none. Its calls end after
/// some seconds at the latest, also if the other side does nothing.
class RawCaller {
 public:
  explicit RawCaller(const Endpoint& endpoint);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  /// Sends bytes until all are sent, the other side takes no more, or the
  /// connection has ended.
  /// @return whether all were sent
  bool Send(std::string_view bytes);

  /// Sends the bytes again and again, as Send does.
  /// @param total after how many bytes it ends
  void SendRepeatedly(std::string_view bytes, std::size_t total);

  /// Sends as many of the bytes as the kernels take without waiting.
  /// @return how many were sent
  std::size_t SendWithoutWaiting(std::string_view bytes);

  /// The bytes that were sent and that the other machine has not acknowledged.
  std::size_t UnsentBytes() const;

  /// Reads a response with Content-Length.
  /// @return its head and body; empty if there is none
  std::string ReadResponse();

  /// Reads until the connection ends or nothing more comes.
  std::string ReadToEnd();

  /// Sends no more; the other direction stays open.
  void CloseSending();

  /// Ends the connection by a reset.
  void Reset();

 private:
  void Close();
  bool Receive();

  int fd = -1;
  std::string received;  ///< bytes after the last response
};

/// The status code of a response; 0 if there is none.
int StatusOf(const std::string& response);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_RAW_CALLER_H_
