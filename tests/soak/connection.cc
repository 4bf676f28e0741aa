#include "tests/soak/connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "tests/fleet/tcp_connect.h"

namespace dragonflyglade::soak {
namespace {

// Longer than the timeout of any route, so that a response that does not come
// in this time is a fault of the gateway.
constexpr timeval kSocketTimeout = {5, 0};

// Returns the value of a header field, or an empty string.
std::string HeaderField(const std::string& head, const std::string& name) {
  return RawRequest{head, ""}.Field(name);
}

// Returns the timeout of a field "Keep-Alive: timeout=SECONDS", or zero.
absl::Duration KeepAliveTimeout(const std::string& head) {
  const std::string field = HeaderField(head, "Keep-Alive");
  const std::size_t equals = field.find('=');
  if (equals == std::string::npos) return absl::ZeroDuration();
  return absl::Seconds(std::stoi(field.substr(equals + 1)));
}

}  // namespace

std::string PathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kNonIdempotent:
      return "/once/x";
    case RequestKind::kIdempotent:
      return "/any/x";
    case RequestKind::kStream:
      return "/stream/x";
    case RequestKind::kResumable:
      return "/resumed/x";
  }
  return "/";
}

Connection::Connection(const Endpoint& endpoint) : last_used(absl::Now()) {
  this->fd = ConnectTcp(endpoint, {kSocketTimeout, kSocketTimeout});
}

Connection::~Connection() { this->Close(); }

void Connection::Close() {
  if (this->fd >= 0) close(this->fd);
  this->fd = -1;
}

bool Connection::Receive() {
  char chunk[4096];
  errno = 0;  // recv does not set it when the peer closed the connection
  const ssize_t received = recv(this->fd, chunk, sizeof chunk, 0);
  if (received <= 0) return false;
  this->buffer.append(chunk, static_cast<std::size_t>(received));
  return true;
}

bool Connection::ReadBody(const std::string& head, Outcome& outcome) {
  const std::string length = HeaderField(head, "Content-Length");
  if (!length.empty()) {
    const std::size_t size = std::stoul(length);
    while (this->buffer.size() < size) {
      if (!this->Receive()) return false;
    }
    outcome.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return true;
  }
  while (true) {
    std::size_t line = 0;
    while ((line = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Receive()) return false;
    }
    const std::size_t size = std::stoul(this->buffer, nullptr, 16);
    while (this->buffer.size() < line + 2 + size + 2) {
      if (!this->Receive()) return false;
    }
    outcome.body += this->buffer.substr(line + 2, size);
    this->buffer.erase(0, line + 2 + size + 2);
    if (size == 0) return true;
  }
}

bool Connection::Send(const std::string& text, absl::Duration pause,
                      Outcome& outcome) {
  const absl::Time start = absl::Now();
  const auto send_part = [this](const std::string& part) {
    return send(this->fd, part.data(), part.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(part.size());
  };
  const std::size_t first =
      pause > absl::ZeroDuration() ? text.size() / 2 : text.size();
  bool sent = send_part(text.substr(0, first));
  outcome.idle_time = absl::Now() - this->last_used;
  outcome.keep_alive_timeout = this->keep_alive_timeout;
  if (sent && first < text.size()) {
    absl::SleepFor(pause);
    sent = send_part(text.substr(first));
  }
  outcome.head_time = absl::Now() - start;
  this->last_used = start;
  return sent;
}

bool Connection::ReadHead(Outcome& outcome, std::string& head) {
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (this->Receive()) continue;
    const bool timed_out = errno == EAGAIN || errno == EWOULDBLOCK;
    outcome.closed_early = !timed_out && this->buffer.empty();
    return false;
  }
  head = this->buffer.substr(0, end + 4);
  this->buffer.erase(0, end + 4);
  return true;
}

void Connection::ReadResponse(Outcome& outcome) {
  std::string head;
  if (!this->ReadHead(outcome, head)) {
    this->Close();
    return;
  }
  outcome.status = std::stoi(head.substr(head.find(' ') + 1));
  outcome.is_signed =
      !HeaderField(head, "X-Dragonflyglade-Server-Signature").empty();
  this->keep_alive_timeout = KeepAliveTimeout(head);
  outcome.complete = this->ReadBody(head, outcome);
  const bool closes =
      absl::EqualsIgnoreCase(HeaderField(head, "Connection"), "close");
  if (!outcome.complete || closes) this->Close();
}

// The parsing functions throw on bytes that are no HTTP response, which is
// reported as kMalformedStatus.
Outcome Connection::Call(const std::string& id, RequestKind kind,
                         const std::string& key, absl::Duration pause) {
  const std::string text =
      (kind == RequestKind::kIdempotent ? "GET " : "POST ") + PathOf(kind) +
      " HTTP/1.1\r\nHost: soak.example\r\nX-Dragonflyglade-Attempt-Id: " + id +
      "\r\nX-Dragonflyglade-Deadline-Ms: 4000\r\nAuthorization: Bearer " + key +
      "\r\nContent-Length: 0\r\n\r\n";
  Outcome outcome;
  if (!this->Send(text, pause, outcome)) {
    outcome.closed_early = true;
    this->Close();
    return outcome;
  }
  try {
    this->ReadResponse(outcome);
  } catch (const std::exception&) {
    this->Close();
    outcome.status = kMalformedStatus;
    outcome.body = this->buffer;
  }
  return outcome;
}

}  // namespace dragonflyglade::soak
