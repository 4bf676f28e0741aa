#ifndef DRAGONFLYGLADE_NET_BOUNDED_STREAM_H_
#define DRAGONFLYGLADE_NET_BOUNDED_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace dragonflyglade {

/// An accepted connection from which the HTTP library reads requests. Reading
/// fails once a request's head, or a line that frames its body, is longer than
/// any that a caller inside the limits sends: the library keeps both until they
/// are complete.
class BoundedStream : public httplib::Stream {
 public:
  /// Of a head; callers' may have 16 KB.
  static constexpr std::size_t kMaxHeadBytes = 20u << 10;
  /// Of the line of a chunk, with its extensions, and of a trailer.
  static constexpr std::size_t kMaxLineBytes = 20u << 10;

  /// @param fd the connection's descriptor, which stays the caller's
  BoundedStream(int fd, absl::Duration read_timeout,
                absl::Duration write_timeout);

  /// Waits for a byte of the next request.
  /// @return false if none came in this time
  bool AwaitRequest(absl::Duration time) const;
  /// The next bytes are a head.
  void BeginRequest();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* bytes, std::size_t size) override;
  ssize_t write(const char* bytes, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return this->fd; }

 private:
  static constexpr std::size_t kBufferBytes = 4096;

  bool Wait(short events, absl::Duration time) const;
  bool Receive();
  /// @return false if the head or line is too long
  bool CountByteOfLine(char byte);

  const int fd;
  const absl::Duration read_timeout;
  const absl::Duration write_timeout;
  std::array<char, kBufferBytes> buffer;
  std::string_view unread;  ///< bytes of the buffer
  bool in_head = true;
  std::size_t head_bytes = 0;
  std::size_t line_bytes = 0;  ///< of the current line, with its end
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_BOUNDED_STREAM_H_
