#include "tests/soak/caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>

#include "absl/strings/match.h"
#include "absl/time/clock.h"

namespace dragonflyglade::soak {
namespace {

// Longer than any route's timeout, so that silence is the gateway's.
constexpr timeval kPatience = {5, 0};

// The value of a field of a head, or nothing.
std::string FieldOf(const std::string& head, const std::string& name) {
  return RawRequest{head, ""}.Field(name);
}

// "Keep-Alive: timeout=SECONDS", or nothing.
absl::Duration StatedTime(const std::string& head) {
  const std::string field = FieldOf(head, "Keep-Alive");
  const std::size_t equals = field.find('=');
  if (equals == std::string::npos) return absl::ZeroDuration();
  return absl::Seconds(std::stoi(field.substr(equals + 1)));
}

}  // namespace

std::string PathOf(Kind kind) {
  switch (kind) {
    case Kind::kOnce:
      return "/once/x";
    case Kind::kRepeatable:
      return "/any/x";
    case Kind::kStream:
      return "/stream/x";
    case Kind::kResumable:
      return "/resumed/x";
  }
  return "/";
}

Connection::Connection(const Endpoint& to) : used(absl::Now()) {
  this->fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &kPatience, sizeof kPatience);
  setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &kPatience, sizeof kPatience);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(to.port));
  inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
  const int connected = connect(
      this->fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (connected != 0) this->Close();
}

Connection::~Connection() { this->Close(); }

void Connection::Close() {
  if (this->fd >= 0) close(this->fd);
  this->fd = -1;
}

bool Connection::Receive() {
  char space[4096];
  errno = 0;  // an end leaves it as it was
  const ssize_t got = recv(this->fd, space, sizeof space, 0);
  if (got <= 0) return false;
  this->buffer.append(space, static_cast<std::size_t>(got));
  return true;
}

bool Connection::ReadBody(const std::string& head, Outcome& outcome) {
  const std::string length = FieldOf(head, "Content-Length");
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
  const absl::Time begun = absl::Now();
  const auto send_part = [this](const std::string& part) {
    return send(this->fd, part.data(), part.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(part.size());
  };
  const std::size_t first =
      pause > absl::ZeroDuration() ? text.size() / 2 : text.size();
  bool sent = send_part(text.substr(0, first));
  outcome.kept = absl::Now() - this->used;
  outcome.stated = this->stated;
  if (sent && first < text.size()) {
    absl::SleepFor(pause);
    sent = send_part(text.substr(first));
  }
  outcome.head = absl::Now() - begun;
  this->used = begun;
  return sent;
}

bool Connection::ReadHead(Outcome& outcome, std::string& head) {
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (this->Receive()) continue;
    const bool silent = errno == EAGAIN || errno == EWOULDBLOCK;
    outcome.cut = !silent && this->buffer.empty();
    return false;
  }
  head = this->buffer.substr(0, end + 4);
  this->buffer.erase(0, end + 4);
  return true;
}

void Connection::ReadAnswer(Outcome& outcome) {
  std::string head;
  if (!this->ReadHead(outcome, head)) {
    this->Close();
    return;
  }
  outcome.status = std::stoi(head.substr(head.find(' ') + 1));
  outcome.is_signed =
      !FieldOf(head, "X-Dragonflyglade-Server-Signature").empty();
  this->stated = StatedTime(head);
  outcome.whole = this->ReadBody(head, outcome);
  const bool closes =
      absl::EqualsIgnoreCase(FieldOf(head, "Connection"), "close");
  if (!outcome.whole || closes) this->Close();
}

// Bytes that are no answer end up as an exception of the parser.
Outcome Connection::Ask(const std::string& id, Kind kind,
                        const std::string& key, absl::Duration pause) {
  const std::string text =
      (kind == Kind::kRepeatable ? "GET " : "POST ") + PathOf(kind) +
      " HTTP/1.1\r\nHost: soak.example\r\nX-Dragonflyglade-Attempt-Id: " + id +
      "\r\nX-Dragonflyglade-Deadline-Ms: 4000\r\nAuthorization: Bearer " + key +
      "\r\nContent-Length: 0\r\n\r\n";
  Outcome outcome;
  if (!this->Send(text, pause, outcome)) {
    outcome.cut = true;
    this->Close();
    return outcome;
  }
  try {
    this->ReadAnswer(outcome);
  } catch (const std::exception&) {
    this->Close();
    outcome.status = kUnreadable;
    outcome.body = this->buffer;
  }
  return outcome;
}

}  // namespace dragonflyglade::soak
